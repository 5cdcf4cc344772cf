// Package acceptor is one disk's part in the replicated register.
package acceptor

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/google/btree"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	promisePrefix  = "p/"
	acceptedPrefix = "c/"
	maxPageBytes   = 512 << 10
	// maxBuckets bounds the digests that one scan may ask for.
	maxBuckets = 1 << 12
)

type item struct {
	key ident.Key
	quorum.Record
}

// Acceptor holds the records of one disk. Invariants: promised only rises; a membership
// epoch other than its own is never served.
type Acceptor struct {
	Disk     ident.Disk
	tree     *btree.BTreeG[*item]
	handlers map[quorum.Kind]func(*item, quorum.Request) (bool, []ring.Record)
}

// New makes an empty acceptor.
func New(disk ident.Disk) *Acceptor {
	a := &Acceptor{Disk: disk, tree: btree.NewG(16, func(a, other *item) bool { return a.key < other.key })}
	a.handlers = map[quorum.Kind]func(*item, quorum.Request) (bool, []ring.Record){
		quorum.Prepare: prepare, quorum.Accept: accept, quorum.PatchAccept: acceptPatch, quorum.Confirm: confirm,
	}
	return a
}

// Load takes one record read back from the disk; it answers false for tags that
// are not its own.
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
			return true, failure.Wrap(err, failure.Damaged, "cell of "+key)
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

func (a *Acceptor) findOrCreate(key ident.Key) *item {
	if it, ok := a.tree.Get(&item{key: key}); ok {
		return it
	}
	it := &item{key: key}
	a.tree.ReplaceOrInsert(it)
	return it
}

func promiseRecord(it *item) ring.Record {
	data, _ := json.Marshal(it.Promised)
	return ring.Record{Key: promisePrefix + string(it.key), Data: data}
}

func acceptedRecord(it *item) ring.Record {
	data, _ := json.Marshal(quorum.Record{Promised: it.Accepted, Accepted: it.Accepted, Revision: it.Revision})
	if len(it.Value) > 0 {
		// As json.Marshal of it all would, but without a pass over a value that is JSON.
		joined := make([]byte, 0, len(data)+len(it.Value)+8)
		data = append(append(append(append(joined, data[:len(data)-1]...), `,"v":`...), it.Value...), '}')
	}
	return ring.Record{Key: acceptedPrefix + string(it.key), Data: data}
}

func prepare(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Promised == request.Ballot {
		return true, nil
	}
	it.Promised = request.Ballot
	return true, []ring.Record{promiseRecord(it)}
}

func accept(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Accepted == request.Ballot && it.Revision >= request.Revision {
		return true, nil // a repeat, or late within the same term
	}
	it.Promised, it.Accepted, it.Revision, it.Value = request.Ballot, request.Ballot, request.Revision, request.Value
	return true, []ring.Record{acceptedRecord(it)}
}

// acceptPatch is accept for a value that is told as a difference. It changes nothing, and is not
// OK, unless this disk holds the very base; the proposer then sends the whole value.
func acceptPatch(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Accepted == request.Ballot && it.Revision >= request.Revision {
		return true, nil
	}
	value, ok := request.Patch.Apply(it.Record, request.Ballot)
	if !ok {
		return false, nil
	}
	request.Value = value
	return accept(it, request)
}

// confirm says that no later term had been promised here when it was asked.
func confirm(it *item, request quorum.Request) (bool, []ring.Record) {
	return !request.Ballot.Less(it.Promised), nil
}

// Step serves one message at the given membership epoch. The second result is false
// when nothing may be answered. The response may leave only once the records are
// synced, and after all records of earlier steps.
func (a *Acceptor) Step(membership ident.Epoch, request quorum.Request) (quorum.Response, []ring.Record, bool) {
	handler, known := a.handlers[request.Kind]
	if !known || request.Membership != membership || membership == 0 {
		return quorum.Response{}, nil, false
	}
	it, found := a.tree.Get(&item{key: request.Key})
	if !found {
		it = &item{key: request.Key}
	}
	ok, records := handler(it, request)
	if !found && len(records) > 0 {
		a.tree.ReplaceOrInsert(it)
	}
	response := quorum.Response{Kind: request.Kind, Round: request.Round, Disk: a.Disk, Membership: membership, Key: request.Key, OK: ok, Record: it.Record}
	if request.Kind != quorum.Prepare || request.Held.Same(it.Record) {
		response.Record.Value = nil
	}
	if ok && request.Kind == quorum.PatchAccept {
		response.Record = quorum.Record{} // it says no more than the proposer knows
	}
	return response, records, request.Round != 0
}

// Scan serves one page of records.
func (a *Acceptor) Scan(membership ident.Epoch, scan quorum.Scan) (quorum.ScanResponse, bool) {
	response := quorum.ScanResponse{Round: scan.Round, Disk: a.Disk, Membership: membership, After: scan.After}
	if scan.Membership != membership || membership == 0 {
		return response, false
	}
	if scan.Buckets < 0 || scan.Buckets > maxBuckets {
		return response, false
	}
	if scan.Buckets > 0 && len(scan.OnlyBuckets) == 0 {
		response.Digest = make([]byte, scan.Buckets*quorum.DigestBytes)
		a.tree.AscendGreaterOrEqual(&item{key: ident.Key(scan.Prefix)}, func(it *item) bool {
			if it.key.HasPrefix(scan.Prefix) && !it.Accepted.Zero() {
				quorum.AddToDigests(response.Digest, it.key, it.Record)
			}
			return it.key.HasPrefix(scan.Prefix)
		})
		return response, true
	}
	start, pageSize := ident.Key(scan.Prefix), 0
	if start < scan.After {
		start = scan.After
	}
	a.tree.AscendGreaterOrEqual(&item{key: start}, func(it *item) bool {
		if it.key == scan.After && scan.After != "" {
			return true
		}
		if !it.key.HasPrefix(scan.Prefix) {
			return false
		}
		if scan.Buckets > 0 && !slices.Contains(scan.OnlyBuckets, quorum.Bucket(it.key, scan.Buckets)) {
			return true
		}
		if pageSize > maxPageBytes {
			response.More = true
			return false
		}
		row := quorum.Row{Key: it.key, Record: it.Record}
		if !scan.Values {
			row.Record.Value = nil
		}
		pageSize += len(it.key) + len(row.Record.Value) + 150
		response.Rows = append(response.Rows, row)
		return true
	})
	return response, true
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

// Peek reads one record as this disk alone has it; it proves nothing.
func (a *Acceptor) Peek(key ident.Key) quorum.Record {
	if it, ok := a.tree.Get(&item{key: key}); ok {
		return it.Record
	}
	return quorum.Record{}
}

// Len counts the records.
func (a *Acceptor) Len() int { return a.tree.Len() }

// RingKeys lists the ring tags of everything held.
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
