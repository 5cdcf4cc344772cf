package keyspace

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// storedState is the state on the disks. Invariants: List is in rising order of revision and
// holds, as [name, value, revision], each cell's newest put and every put above Gone, so
// what is current is stored once. Gone is the highest revision that was forgotten; only
// what another put of its cell has followed is forgotten, and only when this term has
// seen it grow older than the history. Between two forgettings a put changes the end of
// what is stored alone, so that it travels as a short patch; Top stands behind the list
// for that. The fields may come in any order.
type storedState struct {
	CompactedThrough ident.Revision    `json:"f"`
	Puts             []json.RawMessage `json:"l"`
	Latest           ident.Revision    `json:"n"`
}

// compactionFraction is the part of the list that must be over before it is let go: a forgetting
// writes the list anew, and so has to be rare, and what is over takes room.
const compactionFraction = 4

// putRecord is one put. Invariant: seen is the time at which this term first knew of it, so
// it is never younger than it looks; beaten says that another put of its cell followed.
type putRecord struct {
	name       string
	value      json.RawMessage
	revision   ident.Revision
	encoded    json.RawMessage // as stored
	firstSeen  monotime.Time
	superseded bool
}

type nameAndValue struct{ name, value string }

func newPutRecord(name string, value json.RawMessage, revision ident.Revision, now monotime.Time) *putRecord {
	encoded := append(append(json.RawMessage{'['}, operation.Encode(name)...), ',')
	encoded = append(append(encoded, value...), ',')
	return &putRecord{name: name, value: value, revision: revision, encoded: append(strconv.AppendUint(encoded, uint64(revision), 10), ']'), firstSeen: now}
}

func (r *putRecord) public() Put { return Put{r.name, r.value, r.revision} }

// decodedState is the state as a term keeps it between operations. Invariants: now holds the
// newest put of each cell, known the newest put in list of each cell and value, bytes what
// the list takes when stored; it changes only together with the value that it is the decoded form of.
type decodedState struct {
	latest, compactedThrough ident.Revision
	records                  []*putRecord
	currentByName            map[string]*putRecord
	newestByContent          map[nameAndValue]*putRecord
	encodedBytes             int
}

// load gives the state as kept, or decodes it, and reads the args.
func load(context proposer.Context, rawState, raw json.RawMessage) (*decodedState, Args, *failure.Error) {
	var args Args
	space, ok := context.Decoded.(*decodedState)
	if ok {
		return space, args, operation.Decode(nil, raw, nil, &args)
	}
	var stored storedState
	if err := operation.Decode(rawState, raw, &stored, &args); err != nil {
		return nil, args, err
	}
	space = &decodedState{latest: stored.Latest, compactedThrough: stored.CompactedThrough, currentByName: map[string]*putRecord{}, newestByContent: map[nameAndValue]*putRecord{}}
	for _, raw := range stored.Puts {
		record := &putRecord{encoded: raw, firstSeen: context.Now}
		if err := json.Unmarshal(raw, &[]any{&record.name, &record.value, &record.revision}); err != nil {
			return nil, args, failure.New(failure.Damaged, "put: %v", err)
		}
		if record.value == nil {
			record.value = json.RawMessage("null")
		}
		space.index(record)
	}
	return space, args, nil
}

func (s *decodedState) index(record *putRecord) {
	s.records = append(s.records, record)
	if previous := s.currentByName[record.name]; previous != nil {
		previous.superseded = true
	}
	s.currentByName[record.name], s.newestByContent[nameAndValue{record.name, string(record.value)}] = record, record
	s.encodedBytes += len(record.encoded) + 1
}

func (s *decodedState) appendRecord(record *putRecord) {
	s.latest = record.revision
	s.index(record)
}

// expired tells whether a put may be forgotten; whether it has been yet is nobody's matter but
// that of watches, which are told more while it has not.
func (r *putRecord) expired(now monotime.Time, age time.Duration) bool {
	return r.superseded && now.Since(r.firstSeen) > age
}

// countExpired counts what may be forgotten, with its bytes.
func (s *decodedState) countExpired(now monotime.Time, age time.Duration) (count, bytes int) {
	for _, record := range s.records {
		if now.Since(record.firstSeen) <= age {
			break
		}
		if record.superseded {
			count++
			bytes += len(record.encoded) + 1
		}
	}
	return
}

// compact lets go of all that may be forgotten.
func (s *decodedState) compact(now monotime.Time, age time.Duration) {
	s.records = slices.DeleteFunc(s.records, func(record *putRecord) bool {
		if !record.expired(now, age) {
			return false
		}
		s.compactedThrough = max(s.compactedThrough, record.revision)
		s.encodedBytes -= len(record.encoded) + 1
		if content := (nameAndValue{record.name, string(record.value)}); s.newestByContent[content] == record {
			delete(s.newestByContent, content)
		}
		return true
	})
}

// recordsAfter gives the puts above a revision.
func (s *decodedState) recordsAfter(revision ident.Revision) []*putRecord {
	first, _ := slices.BinarySearchFunc(s.records, revision, func(record *putRecord, revision ident.Revision) int {
		if record.revision <= revision {
			return -1
		}
		return 1
	})
	return s.records[first:]
}

func (s *decodedState) encode() json.RawMessage {
	out := make(json.RawMessage, 0, s.encodedBytes+64)
	out = strconv.AppendUint(append(out, `{"f":`...), uint64(s.compactedThrough), 10)
	out = append(out, `,"l":[`...)
	for i, record := range s.records {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, record.encoded...)
	}
	out = strconv.AppendUint(append(out, `],"n":`...), uint64(s.latest), 10)
	return append(out, '}')
}
