// Package quorumread reads the records below a prefix from a majority.
package quorumread

import (
	"bytes"
	"time"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// resendAfter is how long a page may stay out before it is asked for again.
const resendAfter = 200 * 1e6

// Found is one key as a majority has it. Invariant: when Agreed, every response of
// the majority held the same accepted state, so that state is chosen and was the
// newest when the read began or later.
type Found struct {
	Key    ident.Key
	Record quorum.Record
	Agreed bool
}

type reply struct {
	digest   []byte
	rows     map[ident.Key]quorum.Record
	lastKey  ident.Key
	done     bool
	lastSent monotime.Time
}

// Reader is one quorum read. Invariant: it belongs to one membership epoch; the caller
// drops it when the membership changes.
type Reader struct {
	Round      uint64
	Prefix     string
	Values     bool
	Membership quorum.Membership
	Excluded   ident.Disk
	// All waits for every counted voter, as anti-entropy must: the copy that is behind
	// may well be the slowest.
	All bool
	// Buckets, when set, first compares digests of so many buckets of keys, and reads only
	// those that differ. Invariant: differing is set once that is known, and is empty when all
	// that answered hold the same.
	Buckets   int
	differing []int
	compared  bool
	began     monotime.Time
	replies   map[ident.Disk]*reply
}

// digestWait is how long the digests of all disks are waited for; then those of a
// majority do.
const digestWait = 400 * time.Millisecond

// Send is one scan to one disk.
type Send struct {
	To   quorum.Voter
	Scan quorum.Scan
}

// Begin starts a quorum read; excluded is a disk whose responses do not count.
func Begin(round uint64, membership quorum.Membership, prefix string, values bool, excluded ident.Disk) *Reader {
	return &Reader{Round: round, Prefix: prefix, Values: values, Membership: membership, Excluded: excluded, replies: map[ident.Disk]*reply{}}
}

// Tick asks, and asks again, for what is out.
func (s *Reader) Tick(now monotime.Time) []Send {
	var out []Send
	if s.began == 0 {
		s.began = now
	}
	if s.Buckets > 0 && !s.compared && now.Since(s.began) >= digestWait {
		s.compare(s.Membership.Majority())
	}
	for _, v := range s.Membership.Voters {
		if !v.Counted || v.Disk == s.Excluded {
			continue
		}
		st := s.replies[v.Disk]
		if st == nil {
			st = &reply{rows: map[ident.Key]quorum.Record{}}
			s.replies[v.Disk] = st
		}
		if st.done || s.Buckets > 0 && !s.compared && st.digest != nil || st.lastSent != 0 && now.Since(st.lastSent) < resendAfter {
			continue
		}
		out = append(out, s.scan(now, v, st))
	}
	return out
}

func (s *Reader) scan(now monotime.Time, v quorum.Voter, st *reply) Send {
	st.lastSent = now
	return Send{v, quorum.Scan{Round: s.Round, Membership: s.Membership.Epoch, Prefix: s.Prefix, After: st.lastKey, Values: s.Values, Buckets: s.Buckets, OnlyBuckets: s.differing}}
}

// compare learns which buckets differ, once so many digests are there.
func (s *Reader) compare(need int) {
	got, differ := 0, make([]bool, s.Buckets)
	var first []byte
	for _, v := range s.Membership.Voters {
		st := s.replies[v.Disk]
		if st == nil || len(st.digest) != s.Buckets*quorum.DigestBytes {
			continue
		}
		got++
		if first == nil {
			first = st.digest
		}
		for i := range differ {
			at := i * quorum.DigestBytes
			differ[i] = differ[i] || !bytes.Equal(first[at:at+quorum.DigestBytes], st.digest[at:at+quorum.DigestBytes])
		}
	}
	if got < need {
		return
	}
	s.compared = true
	for i, is := range differ {
		if is {
			s.differing = append(s.differing, i)
		}
	}
	for _, st := range s.replies {
		st.lastSent, st.done = 0, len(s.differing) == 0 && st.digest != nil
	}
}

func (s *Reader) counted() (n int) {
	for _, v := range s.Membership.Voters {
		if v.Counted && v.Disk != s.Excluded {
			n++
		}
	}
	return n
}

// Step takes one page in; done is true once a majority has been read whole.
func (s *Reader) Step(now monotime.Time, r quorum.ScanResponse) (out []Send, done bool) {
	v, ok := s.Membership.Find(r.Disk)
	st := s.replies[r.Disk]
	if r.Round != s.Round || r.Membership != s.Membership.Epoch || !ok || !v.Counted || st == nil || st.done || r.After != st.lastKey {
		return nil, s.Done()
	}
	if s.Buckets > 0 && !s.compared {
		if st.digest = r.Digest; st.digest == nil {
			return nil, false
		}
		if s.compare(s.counted()); !s.compared {
			return nil, false
		}
		return s.Tick(now), s.Done()
	}
	if r.Digest != nil {
		return nil, s.Done() // late
	}
	for _, row := range r.Rows {
		st.rows[row.Key] = row.Record
		st.lastKey = row.Key
	}
	if r.More && len(r.Rows) > 0 {
		return []Send{s.scan(now, v, st)}, false
	}
	st.done = true
	return nil, s.Done()
}

// Done tells whether a majority has been read.
func (s *Reader) Done() bool {
	if s.Buckets > 0 && !s.compared {
		return false
	}
	if s.compared && len(s.differing) == 0 {
		return true
	}
	n := 0
	for _, st := range s.replies {
		if st.done {
			n++
		}
	}
	if s.All {
		return n == s.counted()
	}
	return n >= s.Membership.Majority()
}

// Enough tells whether what was read is a majority, all or not.
func (s *Reader) Enough() bool { all := s.All; s.All = false; ok := s.Done(); s.All = all; return ok }

// Found joins what was read, newest first for each key, promises included.
func (s *Reader) Found() map[ident.Key]Found {
	out := map[ident.Key]Found{}
	for _, st := range s.replies {
		if !st.done {
			continue
		}
		for key := range st.rows {
			out[key] = Found{Key: key, Agreed: true}
		}
	}
	for key, f := range out {
		first := true
		for _, st := range s.replies {
			if !st.done {
				continue
			}
			c := st.rows[key]
			if !first && !c.Same(f.Record) {
				f.Agreed = false
			}
			top := f.Record.Promised
			if top.Less(c.Promised) {
				top = c.Promised
			}
			if first || c.Newer(f.Record) {
				f.Record = c
			}
			f.Record.Promised = top
			first = false
		}
		out[key] = f
	}
	return out
}

// Coverage tells how many counted disks were read, and how many there are.
func (s *Reader) Coverage() (read, of int) {
	for _, st := range s.replies {
		if st.done {
			read++
		}
	}
	return read, s.counted()
}

// Holders counts the disks read, but for one, whose copy of the key is not behind a state.
func (s *Reader) Holders(key ident.Key, state quorum.Record, without ident.Disk) int {
	holders := 0
	for disk, st := range s.replies {
		if disk != without && st.done && !state.Newer(st.rows[key]) {
			holders++
		}
	}
	return holders
}

// Lagging lists the disks whose copy of the key is behind the newest one read.
func (s *Reader) Lagging(f Found) []ident.Disk {
	var out []ident.Disk
	for disk, st := range s.replies {
		if st.done && f.Record.Newer(st.rows[f.Key]) {
			out = append(out, disk)
		}
	}
	return out
}
