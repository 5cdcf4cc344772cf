// Package acceptor implements the acceptor of the replicated register, one for each disk. It
// handles prepare, accept and confirm requests and returns the records that must be synced before
// the response is sent.
package acceptor

import (
	"encoding/json"
	"strings"

	"github.com/google/btree"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// Prefixes of the ring keys that store the promise and the accepted state of a control key.
const (
	promisePrefix  = "p/"
	acceptedPrefix = "c/"
)

// keyState is the record of one control key on the disk.
type keyState struct {
	key ident.Key
	quorum.Record
}

// Acceptor holds the records of one disk. Invariants: the promised ballot of a key never decreases;
// requests of another membership epoch are not served.
type Acceptor struct {
	Disk     ident.Disk
	tree     *btree.BTreeG[*keyState]
	handlers map[quorum.Kind]handler
}

// New returns an acceptor without records.
func New(disk ident.Disk) *Acceptor {
	a := &Acceptor{Disk: disk, tree: btree.NewG(16, func(a, other *keyState) bool { return a.key < other.key })}
	a.handlers = map[quorum.Kind]handler{
		quorum.Prepare:     prepare,
		quorum.Accept:      accept,
		quorum.PatchAccept: acceptPatch,
		quorum.Confirm:     confirm,
	}
	return a
}

// Load restores one record read from the disk. It returns false if the ring record does not belong
// to the acceptor.
func (a *Acceptor) Load(record ring.Record) (bool, error) {
	if key, ok := strings.CutPrefix(record.Key, promisePrefix); ok {
		var ballot ident.Ballot
		if err := json.Unmarshal(record.Data, &ballot); err != nil {
			return true, failure.Wrap(err, failure.Corrupted, "decode promise of key "+key)
		}
		entry := a.findOrCreate(ident.Key(key))
		if entry.Promised.Less(ballot) {
			entry.Promised = ballot
		}
		return true, nil
	}
	if key, ok := strings.CutPrefix(record.Key, acceptedPrefix); ok {
		var stored quorum.Record
		if err := json.Unmarshal(record.Data, &stored); err != nil {
			return true, failure.Wrap(err, failure.Corrupted, "decode accepted state of key "+key)
		}
		entry := a.findOrCreate(ident.Key(key))
		entry.Accepted, entry.Revision, entry.Value = stored.Accepted, stored.Revision, stored.Value
		if entry.Promised.Less(stored.Accepted) {
			entry.Promised = stored.Accepted
		}
		return true, nil
	}
	return false, nil
}

// findOrCreate returns the state of a key and creates it if there is none.
func (a *Acceptor) findOrCreate(key ident.Key) *keyState {
	if entry, ok := a.tree.Get(&keyState{key: key}); ok {
		return entry
	}
	entry := &keyState{key: key}
	a.tree.ReplaceOrInsert(entry)
	return entry
}

// promiseRecord returns the ring record of a key's promise.
func promiseRecord(entry *keyState) ring.Record {
	data, _ := json.Marshal(entry.Promised)
	return ring.Record{Key: promisePrefix + string(entry.key), Data: data}
}

// acceptedRecord returns the ring record of a key's accepted state.
func acceptedRecord(entry *keyState) ring.Record {
	data, _ := json.Marshal(quorum.Record{Promised: entry.Accepted, Accepted: entry.Accepted, Revision: entry.Revision})
	if len(entry.Value) > 0 {
		// Append the value by hand: json.Marshal would return the same bytes, but would also scan
		// the value, which is JSON already.
		joined := make([]byte, 0, len(data)+len(entry.Value)+8)
		data = append(append(append(append(joined, data[:len(data)-1]...), `,"v":`...), entry.Value...), '}')
	}
	return ring.Record{Key: acceptedPrefix + string(entry.key), Data: data}
}

// Step serves one request at the given membership epoch. The last result is false if no response
// is to be sent. The response may only be sent after the returned records, and those of all
// earlier steps, are synced.
func (a *Acceptor) Step(membership ident.MembershipEpoch, request quorum.Request) (quorum.Response, []ring.Record, bool) {
	serve, known := a.handlers[request.Kind]
	if !known || request.Membership != membership || membership == 0 {
		return quorum.Response{}, nil, false
	}
	entry, found := a.tree.Get(&keyState{key: request.Key})
	if !found {
		entry = &keyState{key: request.Key}
	}
	ok, records := serve(entry, request)
	if !found && len(records) > 0 {
		a.tree.ReplaceOrInsert(entry)
	}
	response := quorum.Response{
		Kind:       request.Kind,
		Round:      request.Round,
		Disk:       a.Disk,
		Membership: membership,
		Key:        request.Key,
		OK:         ok,
		Record:     entry.Record,
	}
	if request.Kind != quorum.Prepare || request.Held.Matches(entry.Record) {
		response.Record.Value = nil
	}
	if ok && request.Kind == quorum.PatchAccept {
		response.Record = quorum.Record{} // the proposer knows the record
	}
	return response, records, request.Round != 0
}

// Merge merges a record copied from another disk, keeping the higher promise and the newer accepted
// state. It returns the records to be synced.
func (a *Acceptor) Merge(row quorum.Row) []ring.Record {
	entry := a.findOrCreate(row.Key)
	var records []ring.Record
	if entry.Promised.Less(row.Record.Promised) {
		entry.Promised = row.Record.Promised
		records = append(records, promiseRecord(entry))
	}
	if row.Record.NewerThan(entry.Record) {
		entry.Accepted, entry.Revision, entry.Value = row.Record.Accepted, row.Record.Revision, row.Record.Value
		records = append(records, acceptedRecord(entry))
	}
	return records
}

// Peek returns the record of a key on this disk, which may differ from the copies on other disks.
func (a *Acceptor) Peek(key ident.Key) quorum.Record {
	if entry, ok := a.tree.Get(&keyState{key: key}); ok {
		return entry.Record
	}
	return quorum.Record{}
}

// Len returns the number of keys that have a record.
func (a *Acceptor) Len() int { return a.tree.Len() }

// RingKeys returns the ring keys of all records, two for each control key.
func (a *Acceptor) RingKeys() []string {
	var keys []string
	a.tree.Ascend(func(entry *keyState) bool {
		keys = append(keys, promisePrefix+string(entry.key), acceptedPrefix+string(entry.key))
		return true
	})
	return keys
}

// AcceptedStates returns the accepted state of every key, without values.
func (a *Acceptor) AcceptedStates() map[ident.Key]quorum.Record {
	states := map[ident.Key]quorum.Record{}
	a.tree.Ascend(func(entry *keyState) bool {
		states[entry.key] = quorum.Record{Accepted: entry.Accepted, Revision: entry.Revision}
		return true
	})
	return states
}
