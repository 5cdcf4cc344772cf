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

// putRecord is one put in the decoded state. Invariants: firstSeen is when this term first knew of
// the put, so the put is at least as old as firstSeen indicates; superseded means that a later put
// of the same entry exists; encoded is the stored form, [name, value, revision].
type putRecord struct {
	name       string
	value      json.RawMessage
	revision   ident.Revision
	encoded    json.RawMessage
	firstSeen  monotime.Time
	superseded bool
}

// nameAndValue is the content of a put, which identifies a repeat.
type nameAndValue struct{ name, value string }

// newPutRecord returns the record of a new put.
func newPutRecord(name string, value json.RawMessage, revision ident.Revision, now monotime.Time) *putRecord {
	encoded := append(append(json.RawMessage{'['}, operation.Encode(name)...), ',')
	encoded = append(append(encoded, value...), ',')
	encoded = append(strconv.AppendUint(encoded, uint64(revision), 10), ']')
	return &putRecord{name: name, value: value, revision: revision, encoded: encoded, firstSeen: now}
}

// decodePutRecord decodes a stored put that this term sees for the first time.
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

func (r *putRecord) toPut() Put { return Put{r.name, r.value, r.revision} }

func (r *putRecord) content() nameAndValue { return nameAndValue{r.name, string(r.value)} }

// storedBytes returns the size of the record in the stored list, with a comma.
func (r *putRecord) storedBytes() int { return len(r.encoded) + 1 }

// expired reports whether the record may be dropped. Watches receive an expired record until the
// record is dropped.
func (r *putRecord) expired(now monotime.Time, maxAge time.Duration) bool {
	return r.superseded && now.Since(r.firstSeen) > maxAge
}
