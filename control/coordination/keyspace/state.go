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

// storedState is the state on the disks. Invariants: Puts is in order of revision and holds
// the newest put of each entry and every put above CompactedThrough, the highest revision
// that was dropped; a put is dropped only when a later one of its entry exists and this term
// has seen it for longer than the history. Between two compactions a put changes only the end
// of the encoded state, so that it is sent as a short patch; therefore Latest comes after the
// list. A reader accepts the fields in any order.
type storedState struct {
	CompactedThrough ident.Revision    `json:"f"`
	Puts             []json.RawMessage `json:"l"`
	Latest           ident.Revision    `json:"n"`
}

// compactionFraction makes compaction due when 1/compactionFraction of the stored bytes has expired:
// compaction rewrites the list, so it has to be rare, but expired records take space.
const compactionFraction = 4

// decodedState is the form of the state that a term retains between operations. Invariants:
// currentByName holds the newest record of each entry, newestByContent the newest record of
// each name and value, encodedBytes what the records take when stored; it changes only
// together with the value that it is the decoded form of.
type decodedState struct {
	latest, compactedThrough ident.Revision
	records                  []*putRecord
	currentByName            map[string]*putRecord
	newestByContent          map[nameAndValue]*putRecord
	encodedBytes             int
}

// load returns the retained state, or decodes the stored one, and decodes the arguments.
func load(context proposer.Context, rawState, rawArgs json.RawMessage) (*decodedState, Args, *failure.Error) {
	var args Args
	if space, ok := context.Decoded.(*decodedState); ok {
		return space, args, operation.Decode(nil, rawArgs, nil, &args)
	}
	var stored storedState
	if err := operation.Decode(rawState, rawArgs, &stored, &args); err != nil {
		return nil, args, err
	}
	space := &decodedState{
		latest:           stored.Latest,
		compactedThrough: stored.CompactedThrough,
		currentByName:    map[string]*putRecord{},
		newestByContent:  map[nameAndValue]*putRecord{},
	}
	for _, encoded := range stored.Puts {
		record, err := decodePutRecord(encoded, context.Now)
		if err != nil {
			return nil, args, err
		}
		space.index(record)
	}
	return space, args, nil
}

// rejected returns the result of an operation that was rejected, and retains the state.
func (s *decodedState) rejected(err *failure.Error) operation.Result {
	return operation.Result{Failure: err, Decoded: s}
}

// checkRevision returns Conflict, with the current revision, if the entry is not at the
// revision that a put requires.
func (s *decodedState) checkRevision(args Args) *failure.Error {
	current := ident.Revision(0)
	if record := s.currentByName[args.Name]; record != nil {
		current = record.revision
	}
	if args.IfRevision == nil || *args.IfRevision == current {
		return nil
	}
	err := failure.New(failure.Conflict, "the entry is at revision %d", current)
	conflicting := uint64(current)
	err.CurrentRevision = &conflicting
	return err
}

// index adds a record, whose revision is the highest.
func (s *decodedState) index(record *putRecord) {
	s.records = append(s.records, record)
	if previous := s.currentByName[record.name]; previous != nil {
		previous.superseded = true
	}
	s.currentByName[record.name] = record
	s.newestByContent[record.content()] = record
	s.encodedBytes += record.storedBytes()
}

// appendRecord adds the record of a new put.
func (s *decodedState) appendRecord(record *putRecord) {
	s.latest = record.revision
	s.index(record)
}

// makeRoom reports whether a record of some bytes fits, and compacts if that is due.
func (s *decodedState) makeRoom(recordBytes int, now monotime.Time, age time.Duration) bool {
	expiredCount, expiredBytes := s.countExpired(now, age)
	if len(s.records)-expiredCount >= maxPuts || s.encodedBytes-expiredBytes+recordBytes > maxEncodedBytes {
		return false
	}
	full := len(s.records) >= maxPuts || s.encodedBytes+recordBytes > maxEncodedBytes
	if expiredBytes > 0 && (full || expiredBytes*compactionFraction >= s.encodedBytes) {
		s.compact(now, age)
	}
	return true
}

// countExpired returns the number of the records that may be dropped and what they take.
func (s *decodedState) countExpired(now monotime.Time, age time.Duration) (count, bytes int) {
	for _, record := range s.records {
		if now.Since(record.firstSeen) <= age {
			break // firstSeen rises with the revision
		}
		if record.superseded {
			count++
			bytes += record.storedBytes()
		}
	}
	return count, bytes
}

// compact drops all records that may be dropped.
func (s *decodedState) compact(now monotime.Time, age time.Duration) {
	s.records = slices.DeleteFunc(s.records, func(record *putRecord) bool {
		if !record.expired(now, age) {
			return false
		}
		s.compactedThrough = max(s.compactedThrough, record.revision)
		s.encodedBytes -= record.storedBytes()
		if content := record.content(); s.newestByContent[content] == record {
			delete(s.newestByContent, content)
		}
		return true
	})
}

// recordsAfter returns the records above a revision.
func (s *decodedState) recordsAfter(revision ident.Revision) []*putRecord {
	first, _ := slices.BinarySearchFunc(s.records, revision, func(record *putRecord, revision ident.Revision) int {
		if record.revision <= revision {
			return -1
		}
		return 1
	})
	return s.records[first:]
}

// encode returns the stored form, in the layout of storedState.
func (s *decodedState) encode() json.RawMessage {
	const overhead = 64 // of the names and the two revisions
	out := make(json.RawMessage, 0, s.encodedBytes+overhead)
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
