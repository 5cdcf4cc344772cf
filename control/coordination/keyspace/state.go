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

// storedState is the stored form of the state. Invariants:
//   - Puts is ordered by revision and holds the newest put of each entry and every put above
//     CompactedThrough, the highest revision that was dropped.
//   - A put is dropped only when a later put of the same entry exists and this term has known of
//     the dropped put for longer than the retention.
//   - Between two compactions a put changes only the end of the encoded state, so that the change
//     is sent as a short patch; therefore Latest comes after Puts. A reader accepts the fields in
//     any order.
type storedState struct {
	CompactedThrough ident.Revision    `json:"f"`
	Puts             []json.RawMessage `json:"l"`
	Latest           ident.Revision    `json:"n"`
}

// compactionFraction makes a compaction due when 1/compactionFraction of the stored bytes has
// expired. Compaction rewrites the list, so it has to be rare, but expired records take space.
const compactionFraction = 4

// decodedState is the decoded form of the state that a term retains between operations. Invariants:
// currentByName holds the newest record of each entry, newestByContent the newest record of each
// name and value, and encodedBytes the stored size of the records. The decoded state changes only
// together with the stored value.
type decodedState struct {
	latest, compactedThrough ident.Revision
	records                  []*putRecord
	currentByName            map[string]*putRecord
	newestByContent          map[nameAndValue]*putRecord
	encodedBytes             int
}

// load returns the retained state, or else decodes the stored state. It also decodes the arguments.
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

// rejected returns the result of an operation that was rejected with err, and retains the state.
func (s *decodedState) rejected(err *failure.Error) operation.Result {
	return operation.Result{Failure: err, Decoded: s}
}

// checkRevision returns Conflict, with the current revision, if the entry does not have the revision
// that a put requires.
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

// index adds a record to the list and the indexes. The record must have the highest revision.
func (s *decodedState) index(record *putRecord) {
	s.records = append(s.records, record)
	if previous := s.currentByName[record.name]; previous != nil {
		previous.superseded = true
	}
	s.currentByName[record.name] = record
	s.newestByContent[record.content()] = record
	s.encodedBytes += record.storedBytes()
}

// appendRecord adds the record of a new put and advances the latest revision.
func (s *decodedState) appendRecord(record *putRecord) {
	s.latest = record.revision
	s.index(record)
}

// ensureSpace reports whether a record of recordBytes bytes fits, and compacts if a compaction is
// due.
func (s *decodedState) ensureSpace(recordBytes int, now monotime.Time, maxAge time.Duration) bool {
	expiredCount, expiredBytes := s.countExpired(now, maxAge)
	if len(s.records)-expiredCount >= maxPuts || s.encodedBytes-expiredBytes+recordBytes > maxEncodedBytes {
		return false
	}
	full := len(s.records) >= maxPuts || s.encodedBytes+recordBytes > maxEncodedBytes
	if expiredBytes > 0 && (full || expiredBytes*compactionFraction >= s.encodedBytes) {
		s.compact(now, maxAge)
	}
	return true
}

// countExpired returns the number and the stored size of the records that may be dropped.
func (s *decodedState) countExpired(now monotime.Time, maxAge time.Duration) (count, bytes int) {
	for _, record := range s.records {
		if now.Since(record.firstSeen) <= maxAge {
			break // firstSeen increases with the revision
		}
		if record.superseded {
			count++
			bytes += record.storedBytes()
		}
	}
	return count, bytes
}

// compact drops all expired records.
func (s *decodedState) compact(now monotime.Time, maxAge time.Duration) {
	s.records = slices.DeleteFunc(s.records, func(record *putRecord) bool {
		if !record.expired(now, maxAge) {
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

// recordsAfter returns the records with a higher revision.
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
	const overhead = 64 // for the field names and the two revisions
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
