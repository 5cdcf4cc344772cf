// Package acceptor is the acceptor's part of the replicated register, one for each disk: it
// promises and accepts, and returns the records that have to be synced before it responds.
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

// The prefixes of the ring keys that a control key's promise and accepted state are stored under.
const (
	promisePrefix  = "p/"
	acceptedPrefix = "c/"
)

// item is one control key in the tree.
type item struct {
	key ident.Key
	quorum.Record
}

// Acceptor holds the records of one disk. Invariants: a promise only rises; no request of another
// membership epoch is served.
type Acceptor struct {
	Disk     ident.Disk
	tree     *btree.BTreeG[*item]
	handlers map[quorum.Kind]handler
}

// New makes an empty acceptor.
func New(disk ident.Disk) *Acceptor {
	a := &Acceptor{Disk: disk, tree: btree.NewG(16, func(a, other *item) bool { return a.key < other.key })}
	a.handlers = map[quorum.Kind]handler{
		quorum.Prepare: prepare, quorum.Accept: accept, quorum.PatchAccept: acceptPatch, quorum.Confirm: confirm,
	}
	return a
}

// Load takes in one record that was read from the disk; it returns false for a record of others.
func (a *Acceptor) Load(record ring.Record) (bool, error) {
	if key, ok := strings.CutPrefix(record.Key, promisePrefix); ok {
		var ballot ident.Ballot
		if err := json.Unmarshal(record.Data, &ballot); err != nil {
			return true, failure.Wrap(err, failure.Damaged, "promise of "+key)
		}
		it := a.findOrCreate(ident.Key(key))
		if it.Promised.Less(ballot) {
			it.Promised = ballot
		}
		return true, nil
	}
	if key, ok := strings.CutPrefix(record.Key, acceptedPrefix); ok {
		var stored quorum.Record
		if err := json.Unmarshal(record.Data, &stored); err != nil {
			return true, failure.Wrap(err, failure.Damaged, "accepted state of "+key)
		}
		it := a.findOrCreate(ident.Key(key))
		it.Accepted, it.Revision, it.Value = stored.Accepted, stored.Revision, stored.Value
		if it.Promised.Less(stored.Accepted) {
			it.Promised = stored.Accepted
		}
		return true, nil
	}
	return false, nil
}

// findOrCreate gives the item of a key, and makes it when it is new.
func (a *Acceptor) findOrCreate(key ident.Key) *item {
	if it, ok := a.tree.Get(&item{key: key}); ok {
		return it
	}
	it := &item{key: key}
	a.tree.ReplaceOrInsert(it)
	return it
}

// promiseRecord is the ring record of an item's promise.
func promiseRecord(it *item) ring.Record {
	data, _ := json.Marshal(it.Promised)
	return ring.Record{Key: promisePrefix + string(it.key), Data: data}
}

// acceptedRecord is the ring record of an item's accepted state.
func acceptedRecord(it *item) ring.Record {
	data, _ := json.Marshal(quorum.Record{Promised: it.Accepted, Accepted: it.Accepted, Revision: it.Revision})
	if len(it.Value) > 0 {
		// The same bytes as json.Marshal gives, without checking a value again that is JSON.
		joined := make([]byte, 0, len(data)+len(it.Value)+8)
		data = append(append(append(append(joined, data[:len(data)-1]...), `,"v":`...), it.Value...), '}')
	}
	return ring.Record{Key: acceptedPrefix + string(it.key), Data: data}
}

// Step serves one request at the given membership epoch. The last result is false when no
// response is to be sent. The response may be sent only once the records, and those of all
// earlier steps, are synced.
func (a *Acceptor) Step(membership ident.Epoch, request quorum.Request) (quorum.Response, []ring.Record, bool) {
	serve, known := a.handlers[request.Kind]
	if !known || request.Membership != membership || membership == 0 {
		return quorum.Response{}, nil, false
	}
	it, found := a.tree.Get(&item{key: request.Key})
	if !found {
		it = &item{key: request.Key}
	}
	ok, records := serve(it, request)
	if !found && len(records) > 0 {
		a.tree.ReplaceOrInsert(it)
	}
	response := quorum.Response{Kind: request.Kind, Round: request.Round, Disk: a.Disk, Membership: membership, Key: request.Key, OK: ok, Record: it.Record}
	if request.Kind != quorum.Prepare || request.Held.Same(it.Record) {
		response.Record.Value = nil
	}
	if ok && request.Kind == quorum.PatchAccept {
		response.Record = quorum.Record{} // the proposer knows it
	}
	return response, records, request.Round != 0
}

// Merge merges a copied record: the higher promise and the newer accepted state.
func (a *Acceptor) Merge(row quorum.Row) []ring.Record {
	it := a.findOrCreate(row.Key)
	var records []ring.Record
	if it.Promised.Less(row.Record.Promised) {
		it.Promised = row.Record.Promised
		records = append(records, promiseRecord(it))
	}
	if row.Record.Newer(it.Record) {
		it.Accepted, it.Revision, it.Value = row.Record.Accepted, row.Record.Revision, row.Record.Value
		records = append(records, acceptedRecord(it))
	}
	return records
}

// Peek gives one record as this disk has it, which proves nothing about the others.
func (a *Acceptor) Peek(key ident.Key) quorum.Record {
	if it, ok := a.tree.Get(&item{key: key}); ok {
		return it.Record
	}
	return quorum.Record{}
}

// Len counts the records.
func (a *Acceptor) Len() int { return a.tree.Len() }

// RingKeys lists the ring keys of all records.
func (a *Acceptor) RingKeys() []string {
	var keys []string
	a.tree.Ascend(func(it *item) bool {
		keys = append(keys, promisePrefix+string(it.key), acceptedPrefix+string(it.key))
		return true
	})
	return keys
}

// AcceptedStates gives the accepted state of every key, without values.
func (a *Acceptor) AcceptedStates() map[ident.Key]quorum.Record {
	states := map[ident.Key]quorum.Record{}
	a.tree.Ascend(func(it *item) bool {
		states[it.key] = quorum.Record{Accepted: it.Accepted, Revision: it.Revision}
		return true
	})
	return states
}
