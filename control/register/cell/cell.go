// Package cell holds the state and the messages of the per-key register.
package cell

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"

	"cottonarch.example/cottonarch/kernel/ident"
)

// Cell is what one disk holds of one key. Invariants: Accepted is never above
// Promised; Revision and Value belong to Accepted.
type Cell struct {
	Promised ident.Ballot    `json:"p"`
	Accepted ident.Ballot    `json:"a"`
	Revision ident.Revision  `json:"r"`
	Value    json.RawMessage `json:"v,omitempty"`
}

// Newer tells whether c's accepted state comes after d's.
func (c Cell) Newer(d Cell) bool {
	if c.Accepted != d.Accepted {
		return d.Accepted.Less(c.Accepted)
	}
	return c.Revision > d.Revision
}

// Same tells whether both hold the same accepted state.
func (c Cell) Same(d Cell) bool { return c.Accepted == d.Accepted && c.Revision == d.Revision }

// Kind is the kind of a quorum message.
type Kind string

// The quorum messages; PatchAccept is a fourth.
const (
	Prepare Kind = "prepare"
	Accept  Kind = "accept"
	Confirm Kind = "confirm"
)

// Ask goes from an owner to the replicas. Invariant: Turn is new for every round
// of one owner process, except for repeats of the same round and for mending,
// which uses turn 0 and expects nothing.
type Ask struct {
	Kind       Kind            `json:"kind"`
	Turn       uint64          `json:"turn"`
	Membership ident.Epoch     `json:"roster"`
	Key        ident.Key       `json:"key"`
	Ballot     ident.Ballot    `json:"ballot"`
	Revision   ident.Revision  `json:"rev,omitempty"`
	Value      json.RawMessage `json:"value,omitempty"`
	// Patch stands for Value in a PatchAccept.
	Patch *Patch `json:"patch,omitempty"`
	// Have names, in a prepare, an accepted state whose value the owner has: it need not
	// travel. A replica that does not know the field sends the value all the same.
	Have *Have `json:"have,omitempty"`
}

// Have names one accepted state. Invariant: an accepted ballot and revision have one
// value, wherever and whenever they are met.
type Have struct {
	Accepted ident.Ballot   `json:"a"`
	Revision ident.Revision `json:"r"`
}

// Same tells whether the cell holds that very state.
func (h *Have) Same(c Cell) bool {
	return h != nil && c.Accepted == h.Accepted && c.Revision == h.Revision
}

// Return answers an Ask. Invariant: it leaves the replica only after everything
// it speaks of is synced. Cell is empty when a patch was taken; Cell.Value is filled for
// prepare alone, and not for the state that the Ask said to be had.
type Return struct {
	Kind       Kind        `json:"kind"`
	Turn       uint64      `json:"turn"`
	Disk       ident.Disk  `json:"disk"`
	Membership ident.Epoch `json:"roster"`
	Key        ident.Key   `json:"key"`
	OK         bool        `json:"ok"`
	Cell       Cell        `json:"cell"`
}

// Voter is one slot of the membership. Invariants: a voter that is still copying is not
// Counted, yet its slot raises the majority, unless it is Joining: a slot that nobody has
// counted in yet, which raises none. Who is Joining is not Counted.
type Voter struct {
	Disk    ident.Disk `json:"disk"`
	Addr    ident.Addr `json:"addr"`
	Counted bool       `json:"counted"`
	Joining bool       `json:"joining,omitempty"`
}

// Membership is the set of voters at one epoch.
type Membership struct {
	Epoch  ident.Epoch `json:"epoch"`
	Voters []Voter     `json:"voters"`
	// Need, when set, stands in for the majority; only the simulator sets it, to see
	// its checkers catch a quorum that is none.
	Need int `json:"-"`
}

// Majority is the number of counted returns that a round needs.
func (r Membership) Majority() int {
	if r.Need > 0 {
		return r.Need
	}
	return r.Size()/2 + 1
}

// Size is the number of slots that majorities are of.
func (r Membership) Size() int {
	n := 0
	for _, v := range r.Voters {
		if !v.Joining {
			n++
		}
	}
	return n
}

// Find looks a disk up.
func (r Membership) Find(d ident.Disk) (Voter, bool) {
	for _, v := range r.Voters {
		if v.Disk == d {
			return v, true
		}
	}
	return Voter{}, false
}

// Counts tells whether a return of that disk counts.
func (r Membership) Counts(d ident.Disk) bool {
	v, ok := r.Find(d)
	return ok && v.Counted
}

// Scan asks a replica for its cells below a prefix. With Buckets it asks for a digest of
// each bucket of keys instead, or, with Only, for the cells of those buckets.
type Scan struct {
	Turn       uint64      `json:"turn"`
	Membership ident.Epoch `json:"roster"`
	Prefix     string      `json:"prefix"`
	After      ident.Key   `json:"after,omitempty"`
	Values     bool        `json:"values,omitempty"`

	Buckets int   `json:"buckets,omitempty"`
	Only    []int `json:"only,omitempty"`
}

// Bucket is the bucket that a key lies in, of so many.
func Bucket(k ident.Key, of int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k))
	return int(h.Sum32() % uint32(of))
}

// DigestBytes is the size of the digest of one bucket.
const DigestBytes = 8

// Digest lays a cell's accepted state into the digests of all buckets. Buckets that hold
// the same accepted states have the same digest, in whatever order they were laid in.
func Digest(all []byte, k ident.Key, c Cell) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%d\x00%s\x00%d", k, c.Accepted.Epoch, c.Accepted.Owner, c.Revision)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	at := all[Bucket(k, len(all)/DigestBytes)*DigestBytes:]
	binary.LittleEndian.PutUint64(at, binary.LittleEndian.Uint64(at)+x)
}

// Row is one cell in a Scan's return.
type Row struct {
	Key  ident.Key `json:"key"`
	Cell Cell      `json:"cell"`
}

// ScanReturn answers a Scan with one page.
type ScanReturn struct {
	Turn       uint64      `json:"turn"`
	Disk       ident.Disk  `json:"disk"`
	Membership ident.Epoch `json:"roster"`
	After      ident.Key   `json:"after,omitempty"`
	Rows       []Row       `json:"rows,omitempty"`
	More       bool        `json:"more,omitempty"`
	Digest     []byte      `json:"digest,omitempty"` // of all buckets, when that was asked for
}
