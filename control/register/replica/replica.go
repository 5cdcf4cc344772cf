// Package replica is one disk's part in the register.
package replica

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/google/btree"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/kernel/defect"
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
	cell.Cell
}

// Replica holds the cells of one disk. Invariants: promised only rises; a membership
// epoch other than its own is never served.
type Replica struct {
	Disk  ident.Disk
	tree  *btree.BTreeG[*item]
	deeds map[cell.Kind]func(*item, cell.Ask) (bool, []ring.Record)
}

// New makes an empty replica.
func New(disk ident.Disk) *Replica {
	r := &Replica{Disk: disk, tree: btree.NewG(16, func(a, b *item) bool { return a.key < b.key })}
	r.deeds = map[cell.Kind]func(*item, cell.Ask) (bool, []ring.Record){
		cell.Prepare: prepare, cell.Accept: accept, cell.PatchAccept: patch, cell.Confirm: confirm,
	}
	return r
}

// Load takes one record read back from the disk; it answers false for tags that
// are not its own.
func (r *Replica) Load(rec ring.Record) (bool, error) {
	if key, ok := strings.CutPrefix(rec.Tag, promiseTag); ok {
		var b ident.Ballot
		if err := json.Unmarshal(rec.Data, &b); err != nil {
			return true, defect.Wrap(err, defect.Damaged, "promise of "+key)
		}
		it := r.at(ident.Key(key))
		if it.Promised.Less(b) {
			it.Promised = b
		}
		return true, nil
	}
	if key, ok := strings.CutPrefix(rec.Tag, acceptTag); ok {
		var c cell.Cell
		if err := json.Unmarshal(rec.Data, &c); err != nil {
			return true, defect.Wrap(err, defect.Damaged, "cell of "+key)
		}
		it := r.at(ident.Key(key))
		it.Accepted, it.Revision, it.Value = c.Accepted, c.Revision, c.Value
		if it.Promised.Less(c.Accepted) {
			it.Promised = c.Accepted
		}
		return true, nil
	}
	return false, nil
}

func (r *Replica) at(key ident.Key) *item {
	if it, ok := r.tree.Get(&item{key: key}); ok {
		return it
	}
	it := &item{key: key}
	r.tree.ReplaceOrInsert(it)
	return it
}

func promised(it *item) ring.Record {
	data, _ := json.Marshal(it.Promised)
	return ring.Record{Tag: promiseTag + string(it.key), Data: data}
}

func accepted(it *item) ring.Record {
	data, _ := json.Marshal(cell.Cell{Promised: it.Accepted, Accepted: it.Accepted, Revision: it.Revision})
	if len(it.Value) > 0 {
		// As json.Marshal of it all would, but without a pass over a value that is JSON.
		whole := make([]byte, 0, len(data)+len(it.Value)+8)
		data = append(append(append(append(whole, data[:len(data)-1]...), `,"v":`...), it.Value...), '}')
	}
	return ring.Record{Tag: acceptTag + string(it.key), Data: data}
}

func prepare(it *item, a cell.Ask) (bool, []ring.Record) {
	if a.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Promised == a.Ballot {
		return true, nil
	}
	it.Promised = a.Ballot
	return true, []ring.Record{promised(it)}
}

func accept(it *item, a cell.Ask) (bool, []ring.Record) {
	if a.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Accepted == a.Ballot && it.Revision >= a.Revision {
		return true, nil // a repeat, or late within the same tenure
	}
	it.Promised, it.Accepted, it.Revision, it.Value = a.Ballot, a.Ballot, a.Revision, a.Value
	return true, []ring.Record{accepted(it)}
}

// patch is accept for a value that is told as a difference. It changes nothing, and is not
// OK, unless this disk holds the very base; the owner then sends the whole value.
func patch(it *item, a cell.Ask) (bool, []ring.Record) {
	if a.Ballot.Less(it.Promised) {
		return false, nil
	}
	if it.Accepted == a.Ballot && it.Revision >= a.Revision {
		return true, nil
	}
	value, ok := a.Patch.Over(it.Cell, a.Ballot)
	if !ok {
		return false, nil
	}
	a.Value = value
	return accept(it, a)
}

// confirm says that no later tenure had been promised here when it was asked.
func confirm(it *item, a cell.Ask) (bool, []ring.Record) {
	return !a.Ballot.Less(it.Promised), nil
}

// Step serves one message at the given membership epoch. The second result is false
// when nothing may be answered. The return may leave only once the records are
// synced, and after all records of earlier steps.
func (r *Replica) Step(membership ident.Epoch, a cell.Ask) (cell.Return, []ring.Record, bool) {
	deed, known := r.deeds[a.Kind]
	if !known || a.Membership != membership || membership == 0 {
		return cell.Return{}, nil, false
	}
	it, found := r.tree.Get(&item{key: a.Key})
	if !found {
		it = &item{key: a.Key}
	}
	ok, recs := deed(it, a)
	if !found && len(recs) > 0 {
		r.tree.ReplaceOrInsert(it)
	}
	out := cell.Return{Kind: a.Kind, Turn: a.Turn, Disk: r.Disk, Membership: membership, Key: a.Key, OK: ok, Cell: it.Cell}
	if a.Kind != cell.Prepare || a.Have.Same(it.Cell) {
		out.Cell.Value = nil
	}
	if ok && a.Kind == cell.PatchAccept {
		out.Cell = cell.Cell{} // it says no more than the asker knows
	}
	return out, recs, a.Turn != 0
}

// Scan serves one page of cells.
func (r *Replica) Scan(membership ident.Epoch, s cell.Scan) (cell.ScanReturn, bool) {
	out := cell.ScanReturn{Turn: s.Turn, Disk: r.Disk, Membership: membership, After: s.After}
	if s.Membership != membership || membership == 0 {
		return out, false
	}
	if s.Buckets < 0 || s.Buckets > bucketsMost {
		return out, false
	}
	if s.Buckets > 0 && len(s.Only) == 0 {
		out.Digest = make([]byte, s.Buckets*cell.DigestBytes)
		r.tree.AscendGreaterOrEqual(&item{key: ident.Key(s.Prefix)}, func(it *item) bool {
			if it.key.Under(s.Prefix) && !it.Accepted.Zero() {
				cell.Digest(out.Digest, it.key, it.Cell)
			}
			return it.key.Under(s.Prefix)
		})
		return out, true
	}
	start, bulk := ident.Key(s.Prefix), 0
	if start < s.After {
		start = s.After
	}
	r.tree.AscendGreaterOrEqual(&item{key: start}, func(it *item) bool {
		if it.key == s.After && s.After != "" {
			return true
		}
		if !it.key.Under(s.Prefix) {
			return false
		}
		if s.Buckets > 0 && !slices.Contains(s.Only, cell.Bucket(it.key, s.Buckets)) {
			return true
		}
		if bulk > pageBytes {
			out.More = true
			return false
		}
		row := cell.Row{Key: it.key, Cell: it.Cell}
		if !s.Values {
			row.Cell.Value = nil
		}
		bulk += len(it.key) + len(row.Cell.Value) + 150
		out.Rows = append(out.Rows, row)
		return true
	})
	return out, true
}

// Learn merges a copied cell: the higher promise and the newer accepted state.
func (r *Replica) Learn(row cell.Row) []ring.Record {
	it := r.at(row.Key)
	var recs []ring.Record
	if it.Promised.Less(row.Cell.Promised) {
		it.Promised = row.Cell.Promised
		recs = append(recs, promised(it))
	}
	if row.Cell.Newer(it.Cell) {
		it.Accepted, it.Revision, it.Value = row.Cell.Accepted, row.Cell.Revision, row.Cell.Value
		recs = append(recs, accepted(it))
	}
	return recs
}

// Peek reads one cell as this disk alone has it; it proves nothing.
func (r *Replica) Peek(key ident.Key) cell.Cell {
	if it, ok := r.tree.Get(&item{key: key}); ok {
		return it.Cell
	}
	return cell.Cell{}
}

// Len counts the cells.
func (r *Replica) Len() int { return r.tree.Len() }

// Tags lists the ring tags of everything held.
func (r *Replica) Tags() []string {
	var out []string
	r.tree.Ascend(func(it *item) bool {
		out = append(out, promiseTag+string(it.key), acceptTag+string(it.key))
		return true
	})
	return out
}

// Copies gives the accepted state of every key, without values.
func (r *Replica) Copies() map[ident.Key]cell.Cell {
	out := map[ident.Key]cell.Cell{}
	r.tree.Ascend(func(it *item) bool {
		out[it.key] = cell.Cell{Accepted: it.Accepted, Revision: it.Revision}
		return true
	})
	return out
}
