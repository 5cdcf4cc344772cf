// Package quorum holds the state and the messages of the per-key replicated register.
package quorum

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"

	"cottonarch.example/cottonarch/base/ident"
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
func (r Record) Newer(other Record) bool {
	if r.Accepted != other.Accepted {
		return other.Accepted.Less(r.Accepted)
	}
	return r.Revision > other.Revision
}

// Same tells whether both hold the same accepted state.
func (r Record) Same(other Record) bool {
	return r.Accepted == other.Accepted && r.Revision == other.Revision
}

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
	Held *HeldState `json:"have,omitempty"`
}

// HeldState names one accepted state. Invariant: an accepted ballot and revision have one
// value, wherever and whenever they are met.
type HeldState struct {
	Accepted ident.Ballot   `json:"a"`
	Revision ident.Revision `json:"r"`
}

// Same tells whether the record holds that very state.
func (h *HeldState) Same(record Record) bool {
	return h != nil && record.Accepted == h.Accepted && record.Revision == h.Revision
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
	// MajorityOverride, when set, stands in for the majority; only the simulator sets it, to see
	// its checkers catch a quorum that is none.
	MajorityOverride int `json:"-"`
}

// Majority is the number of counted responses that a round needs.
func (m Membership) Majority() int {
	if m.MajorityOverride > 0 {
		return m.MajorityOverride
	}
	return m.Size()/2 + 1
}

// Size is the number of slots that majorities are of.
func (m Membership) Size() int {
	n := 0
	for _, voter := range m.Voters {
		if !voter.Joining {
			n++
		}
	}
	return n
}

// Find looks a disk up.
func (m Membership) Find(disk ident.Disk) (Voter, bool) {
	for _, voter := range m.Voters {
		if voter.Disk == disk {
			return voter, true
		}
	}
	return Voter{}, false
}

// Counts tells whether a response of that disk counts.
func (m Membership) Counts(disk ident.Disk) bool {
	voter, ok := m.Find(disk)
	return ok && voter.Counted
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
func Bucket(key ident.Key, buckets int) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key))
	return int(hash.Sum32() % uint32(buckets))
}

// DigestBytes is the size of the digest of one bucket.
const DigestBytes = 8

// AddToDigests adds a record's accepted state into the digests of all buckets. Buckets that hold
// the same accepted states have the same digest, in whatever order they were added in.
func AddToDigests(digests []byte, key ident.Key, record Record) {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s\x00%d\x00%s\x00%d", key, record.Accepted.Epoch, record.Accepted.Proposer, record.Revision)
	mixed := hash.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	digest := digests[Bucket(key, len(digests)/DigestBytes)*DigestBytes:]
	binary.LittleEndian.PutUint64(digest, binary.LittleEndian.Uint64(digest)+mixed)
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
