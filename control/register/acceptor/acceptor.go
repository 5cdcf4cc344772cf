// Package acceptor is one disk's part in the replicated register.
package acceptor

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/google/btree"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	promiseTag = "p/"
	acceptTag  = "c/"
	pageBytes  = 512 << 10
	// bucketsMost bounds the digests that one scan may ask for.
	bucketsMost = 1 << 12
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
	r := &Acceptor{Disk: disk, tree: btree.NewG(16, func(a, b *item) bool { return a.key < b.key })}
	r.handlers = map[quorum.Kind]func(*item, quorum.Request) (bool, []ring.Record){
		quorum.Prepare: prepare, quorum.Accept: accept, quorum.PatchAccept: patch, quorum.Confirm: confirm,
	}
	return r
}

// Load takes one record read back from the disk; it answers false for tags that
// are not its own.
func (a *Acceptor) Load(rec ring.Record) (bool, error) {
	if key, ok := strings.CutPrefix(rec.Tag, promiseTag); ok {
		var b ident.Ballot
		if err := json.Unmarshal(rec.Data, &b); err != nil {
			return true, failure.Wrap(err, failure.Damaged, "promise of "+key)
		}
		it := a.at(ident.Key(key))
		if it.Promised.Less(b) {
			it.Promised = b
		}
		return true, nil
	}
	if key, ok := strings.CutPrefix(rec.Tag, acceptTag); ok {
		var c quorum.Record
		if err := json.Unmarshal(rec.Data, &c); err != nil {
			return true, failure.Wrap(err, failure.Damaged, "cell of "+key)
		}
		it := a.at(ident.Key(key))
		it.Accepted, it.Revision, it.Value = c.Accepted, c.Revision, c.Value
		if it.Promised.Less(c.Accepted) {
			it.Promised = c.Accepted
		}
		return true, nil
	}
	return false, nil
}

func (a *Acceptor) at(key ident.Key) *item {
	if it, ok := a.tree.Get(&item{key: key}); ok {
		return it
	}
	it := &item{key: key}
	a.tree.ReplaceOrInsert(it)
	return it
}

func promised(it *item) ring.Record {
	data, _ := json.Marshal(it.Promised)
	return ring.Record{Tag: promiseTag + string(it.key), Data: data}
}

func accepted(it *item) ring.Record {
	data, _ := json.Marshal(quorum.Record{Promised: it.Accepted, Accepted: it.Accepted, Revision: it.Revision})
	if len(it.Value) > 0 {
		// As json.Marshal of it all would, but without a pass over a value that is JSON.
		whole := make([]byte, 0, len(data)+len(it.Value)+8)
		data = append(append(append(append(whole, data[:len(data)-1]...), `,"v":`...), it.Value...), '}')
	}
	return ring.Record{Tag: acceptTag + string(it.key), Data: data}
}

func prepare(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Promised == request.Ballot {
		return true, nil
	}
	it.Promised = request.Ballot
	return true, []ring.Record{promised(it)}
}

func accept(it *item, request quorum.Request) (bool, []ring.Record) {
	if request.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Accepted == request.Ballot && it.Revision >= request.Revision {
		return true, nil // a repeat, or late within the same term
	}
	it.Promised, it.Accepted, it.Revision, it.Value = request.Ballot, request.Ballot, request.Revision, request.Value
	return true, []ring.Record{accepted(it)}
}

// patch is accept for a value that is told as a difference. It changes nothing, and is not
// OK, unless this disk holds the very base; the proposer then sends the whole value.
func patch(it *item, request quorum.Request) (bool, []ring.Record) {
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
	handle, known := a.handlers[request.Kind]
	if !known || request.Membership != membership || membership == 0 {
		return quorum.Response{}, nil, false
	}
	it, found := a.tree.Get(&item{key: request.Key})
	if !found {
		it = &item{key: request.Key}
	}
	ok, recs := handle(it, request)
	if !found && len(recs) > 0 {
		a.tree.ReplaceOrInsert(it)
	}
	out := quorum.Response{Kind: request.Kind, Round: request.Round, Disk: a.Disk, Membership: membership, Key: request.Key, OK: ok, Record: it.Record}
	if request.Kind != quorum.Prepare || request.Held.Same(it.Record) {
		out.Record.Value = nil
	}
	if ok && request.Kind == quorum.PatchAccept {
		out.Record = quorum.Record{} // it says no more than the proposer knows
	}
	return out, recs, request.Round != 0
}

// Scan serves one page of records.
func (a *Acceptor) Scan(membership ident.Epoch, s quorum.Scan) (quorum.ScanResponse, bool) {
	out := quorum.ScanResponse{Round: s.Round, Disk: a.Disk, Membership: membership, After: s.After}
	if s.Membership != membership || membership == 0 {
		return out, false
	}
	if s.Buckets < 0 || s.Buckets > bucketsMost {
		return out, false
	}
	if s.Buckets > 0 && len(s.OnlyBuckets) == 0 {
		out.Digest = make([]byte, s.Buckets*quorum.DigestBytes)
		a.tree.AscendGreaterOrEqual(&item{key: ident.Key(s.Prefix)}, func(it *item) bool {
			if it.key.Under(s.Prefix) && !it.Accepted.Zero() {
				quorum.Digest(out.Digest, it.key, it.Record)
			}
			return it.key.Under(s.Prefix)
		})
		return out, true
	}
	start, pageSize := ident.Key(s.Prefix), 0
	if start < s.After {
		start = s.After
	}
	a.tree.AscendGreaterOrEqual(&item{key: start}, func(it *item) bool {
		if it.key == s.After && s.After != "" {
			return true
		}
		if !it.key.Under(s.Prefix) {
			return false
		}
		if s.Buckets > 0 && !slices.Contains(s.OnlyBuckets, quorum.Bucket(it.key, s.Buckets)) {
			return true
		}
		if pageSize > pageBytes {
			out.More = true
			return false
		}
		row := quorum.Row{Key: it.key, Record: it.Record}
		if !s.Values {
			row.Record.Value = nil
		}
		pageSize += len(it.key) + len(row.Record.Value) + 150
		out.Rows = append(out.Rows, row)
		return true
	})
	return out, true
}

// Learn merges a copied record: the higher promise and the newer accepted state.
func (a *Acceptor) Learn(row quorum.Row) []ring.Record {
	it := a.at(row.Key)
	var recs []ring.Record
	if it.Promised.Less(row.Record.Promised) {
		it.Promised = row.Record.Promised
		recs = append(recs, promised(it))
	}
	if row.Record.Newer(it.Record) {
		it.Accepted, it.Revision, it.Value = row.Record.Accepted, row.Record.Revision, row.Record.Value
		recs = append(recs, accepted(it))
	}
	return recs
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

// Tags lists the ring tags of everything held.
func (a *Acceptor) Tags() []string {
	var out []string
	a.tree.Ascend(func(it *item) bool {
		out = append(out, promiseTag+string(it.key), acceptTag+string(it.key))
		return true
	})
	return out
}

// Copies gives the accepted state of every key, without values.
func (a *Acceptor) Copies() map[ident.Key]quorum.Record {
	out := map[ident.Key]quorum.Record{}
	a.tree.Ascend(func(it *item) bool {
		out[it.key] = quorum.Record{Accepted: it.Accepted, Revision: it.Revision}
		return true
	})
	return out
}
