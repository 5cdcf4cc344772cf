package keyspace

import (
	"encoding/json"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
)

// putRecord is one put. Invariants: firstSeen is when this term first knew of it, so the
// record is at least as old as it looks; superseded says that a later put of its entry
// exists; encoded is the stored form, [name, value, revision].
type putRecord struct {
	name       string
	value      json.RawMessage
	revision   ident.Revision
	encoded    json.RawMessage
	firstSeen  monotime.Time
	superseded bool
}

// nameAndValue is the content of a put, by which a repeat is recognised.
type nameAndValue struct{ name, value string }

// newPutRecord returns the record of a new put.
func newPutRecord(name string, value json.RawMessage, revision ident.Revision, now monotime.Time) *putRecord {
	encoded := append(append(json.RawMessage{'['}, operation.Encode(name)...), ',')
	encoded = append(append(encoded, value...), ',')
	encoded = append(strconv.AppendUint(encoded, uint64(revision), 10), ']')
	return &putRecord{name: name, value: value, revision: revision, encoded: encoded, firstSeen: now}
}

// decodePutRecord decodes a stored put, which this term sees for the first time.
func decodePutRecord(encoded json.RawMessage, now monotime.Time) (*putRecord, *failure.Error) {
	record := &putRecord{encoded: encoded, firstSeen: now}
	if err := json.Unmarshal(encoded, &[]any{&record.name, &record.value, &record.revision}); err != nil {
		return nil, failure.New(failure.Corrupted, "put: %v", err)
	}
	if record.value == nil {
		record.value = json.RawMessage("null")
	}
	return record, nil
}

func (r *putRecord) public() Put { return Put{r.name, r.value, r.revision} }

func (r *putRecord) content() nameAndValue { return nameAndValue{r.name, string(r.value)} }

// storedBytes is what the record takes in the stored list, with a comma.
func (r *putRecord) storedBytes() int { return len(r.encoded) + 1 }

// expired reports whether the record may be dropped. Until it is, watches still receive it.
func (r *putRecord) expired(now monotime.Time, age time.Duration) bool {
	return r.superseded && now.Since(r.firstSeen) > age
}
