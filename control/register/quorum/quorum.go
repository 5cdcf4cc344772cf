// Package quorum holds the state and the messages of the per-key replicated register.
package quorum

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"

	"cottonarch.example/cottonarch/kernel/ident"
)

// Record is what one disk holds of one key. Invariants: Accepted is never above
// Promised; Revision and Value belong to Accepted.
type Record struct {
	Promised ident.Ballot    `json:"p"`
	Accepted ident.Ballot    `json:"a"`
	Revision ident.Revision  `json:"r"`
	Value    json.RawMessage `json:"v,omitempty"`
}

// Newer tells whether c's accepted state comes after d's.
func (c Record) Newer(d Record) bool {
	if c.Accepted != d.Accepted {
		return d.Accepted.Less(c.Accepted)
	}
	return c.Revision > d.Revision
}

// Same tells whether both hold the same accepted state.
func (c Record) Same(d Record) bool { return c.Accepted == d.Accepted && c.Revision == d.Revision }

// Kind is the kind of a quorum message.
type Kind string

// The quorum messages; PatchAccept is a fourth.
const (
	Prepare Kind = "prepare"
	Accept  Kind = "accept"
	Confirm Kind = "confirm"
)

// Request goes from a proposer to the acceptors. Invariant: Round is new for every round
// of one proposer process, except for repeats of the same round and for read repair,
// which uses round 0 and expects nothing.
type Request struct {
	Kind       Kind            `json:"kind"`
	Round      uint64          `json:"turn"`
	Membership ident.Epoch     `json:"roster"`
	Key        ident.Key       `json:"key"`
	Ballot     ident.Ballot    `json:"ballot"`
	Revision   ident.Revision  `json:"rev,omitempty"`
	Value      json.RawMessage `json:"value,omitempty"`
	// Patch stands for Value in a PatchAccept.
	Patch *Patch `json:"patch,omitempty"`
	// Held names, in a prepare, an accepted state whose value the proposer holds: it need not
	// travel. An acceptor that does not know the field sends the value all the same.
	Held *Held `json:"have,omitempty"`
}

// Held names one accepted state. Invariant: an accepted ballot and revision have one
// value, wherever and whenever they are met.
type Held struct {
	Accepted ident.Ballot   `json:"a"`
	Revision ident.Revision `json:"r"`
}

// Same tells whether the record holds that very state.
func (h *Held) Same(c Record) bool {
	return h != nil && c.Accepted == h.Accepted && c.Revision == h.Revision
}

// Response answers a Request. Invariant: it leaves the acceptor only after everything
// it speaks of is synced. Record is empty when a patch was accepted; Record.Value is filled for
// prepare alone, and not for the state that the Request named as held.
type Response struct {
	Kind       Kind        `json:"kind"`
	Round      uint64      `json:"turn"`
	Disk       ident.Disk  `json:"disk"`
	Membership ident.Epoch `json:"roster"`
	Key        ident.Key   `json:"key"`
	OK         bool        `json:"ok"`
	Record     Record      `json:"cell"`
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

// Majority is the number of counted responses that a round needs.
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

// Counts tells whether a response of that disk counts.
func (r Membership) Counts(d ident.Disk) bool {
	v, ok := r.Find(d)
	return ok && v.Counted
}

// Scan asks an acceptor for its records below a prefix. With Buckets it asks for a digest of
// each bucket of keys instead, or, with Only, for the records of those buckets.
type Scan struct {
	Round      uint64      `json:"turn"`
	Membership ident.Epoch `json:"roster"`
	Prefix     string      `json:"prefix"`
	After      ident.Key   `json:"after,omitempty"`
	Values     bool        `json:"values,omitempty"`

	Buckets     int   `json:"buckets,omitempty"`
	OnlyBuckets []int `json:"only,omitempty"`
}

// Bucket is the bucket that a key lies in, of so many.
func Bucket(k ident.Key, of int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(k))
	return int(h.Sum32() % uint32(of))
}

// DigestBytes is the size of the digest of one bucket.
const DigestBytes = 8

// Digest adds a record's accepted state into the digests of all buckets. Buckets that hold
// the same accepted states have the same digest, in whatever order they were added in.
func Digest(all []byte, k ident.Key, c Record) {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s\x00%d\x00%s\x00%d", k, c.Accepted.Epoch, c.Accepted.Owner, c.Revision)
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	at := all[Bucket(k, len(all)/DigestBytes)*DigestBytes:]
	binary.LittleEndian.PutUint64(at, binary.LittleEndian.Uint64(at)+x)
}

// Row is one record in a Scan's response.
type Row struct {
	Key    ident.Key `json:"key"`
	Record Record    `json:"cell"`
}

// ScanResponse answers a Scan with one page.
type ScanResponse struct {
	Round      uint64      `json:"turn"`
	Disk       ident.Disk  `json:"disk"`
	Membership ident.Epoch `json:"roster"`
	After      ident.Key   `json:"after,omitempty"`
	Rows       []Row       `json:"rows,omitempty"`
	More       bool        `json:"more,omitempty"`
	Digest     []byte      `json:"digest,omitempty"` // of all buckets, when that was asked for
}
