// Package survey reads the cells below a prefix from a majority.
package survey

import (
	"bytes"
	"time"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
)

// resend is how long a page may stay out before it is asked for again.
const resend = 200 * 1e6

// Found is one key as a majority has it. Invariant: when Agreed, every return of
// the majority held the same accepted state, so that state is chosen and was the
// newest when the survey began or later.
type Found struct {
	Key    ident.Key
	Cell   cell.Cell
	Agreed bool
}

type strand struct {
	digest []byte
	rows   map[ident.Key]cell.Cell
	last   ident.Key
	done   bool
	sent   moment.Moment
}

// Survey is one reading. Invariant: it belongs to one membership epoch; the caller
// drops it when the membership changes.
type Survey struct {
	Turn       uint64
	Prefix     string
	Values     bool
	Membership cell.Membership
	Skip       ident.Disk
	// All waits for every counted voter, as the sweep must: the copy that is behind
	// may well be the slowest.
	All bool
	// Buckets, when set, first compares digests of so many buckets of keys, and reads only
	// those that differ. Invariant: only is set once that is known, and is empty when all
	// that answered hold the same.
	Buckets int
	only    []int
	known   bool
	began   moment.Moment
	strands map[ident.Disk]*strand
}

// digestWait is how long the digests of all disks are waited for; then those of a
// majority do.
const digestWait = 400 * time.Millisecond

// Send is one scan to one disk.
type Send struct {
	To   cell.Voter
	Scan cell.Scan
}

// Begin starts a survey; skip is a disk whose returns do not count.
func Begin(turn uint64, membership cell.Membership, prefix string, values bool, skip ident.Disk) *Survey {
	return &Survey{Turn: turn, Prefix: prefix, Values: values, Membership: membership, Skip: skip, strands: map[ident.Disk]*strand{}}
}

// Tick asks, and asks again, for what is out.
func (s *Survey) Tick(now moment.Moment) []Send {
	var out []Send
	if s.began == 0 {
		s.began = now
	}
	if s.Buckets > 0 && !s.known && now.Since(s.began) >= digestWait {
		s.compare(s.Membership.Majority())
	}
	for _, v := range s.Membership.Voters {
		if !v.Counted || v.Disk == s.Skip {
			continue
		}
		st := s.strands[v.Disk]
		if st == nil {
			st = &strand{rows: map[ident.Key]cell.Cell{}}
			s.strands[v.Disk] = st
		}
		if st.done || s.Buckets > 0 && !s.known && st.digest != nil || st.sent != 0 && now.Since(st.sent) < resend {
			continue
		}
		out = append(out, s.ask(now, v, st))
	}
	return out
}

func (s *Survey) ask(now moment.Moment, v cell.Voter, st *strand) Send {
	st.sent = now
	return Send{v, cell.Scan{Turn: s.Turn, Membership: s.Membership.Epoch, Prefix: s.Prefix, After: st.last, Values: s.Values, Buckets: s.Buckets, Only: s.only}}
}

// compare learns which buckets differ, once so many digests are there.
func (s *Survey) compare(need int) {
	got, differ := 0, make([]bool, s.Buckets)
	var first []byte
	for _, v := range s.Membership.Voters {
		st := s.strands[v.Disk]
		if st == nil || len(st.digest) != s.Buckets*cell.DigestBytes {
			continue
		}
		got++
		if first == nil {
			first = st.digest
		}
		for i := range differ {
			at := i * cell.DigestBytes
			differ[i] = differ[i] || !bytes.Equal(first[at:at+cell.DigestBytes], st.digest[at:at+cell.DigestBytes])
		}
	}
	if got < need {
		return
	}
	s.known = true
	for i, is := range differ {
		if is {
			s.only = append(s.only, i)
		}
	}
	for _, st := range s.strands {
		st.sent, st.done = 0, len(s.only) == 0 && st.digest != nil
	}
}

func (s *Survey) counted() (n int) {
	for _, v := range s.Membership.Voters {
		if v.Counted && v.Disk != s.Skip {
			n++
		}
	}
	return n
}

// Step takes one page in; done is true once a majority has been read whole.
func (s *Survey) Step(now moment.Moment, r cell.ScanReturn) (out []Send, done bool) {
	v, ok := s.Membership.Find(r.Disk)
	st := s.strands[r.Disk]
	if r.Turn != s.Turn || r.Membership != s.Membership.Epoch || !ok || !v.Counted || st == nil || st.done || r.After != st.last {
		return nil, s.Done()
	}
	if s.Buckets > 0 && !s.known {
		if st.digest = r.Digest; st.digest == nil {
			return nil, false
		}
		if s.compare(s.counted()); !s.known {
			return nil, false
		}
		return s.Tick(now), s.Done()
	}
	if r.Digest != nil {
		return nil, s.Done() // late
	}
	for _, row := range r.Rows {
		st.rows[row.Key] = row.Cell
		st.last = row.Key
	}
	if r.More && len(r.Rows) > 0 {
		return []Send{s.ask(now, v, st)}, false
	}
	st.done = true
	return nil, s.Done()
}

// Done tells whether a majority has been read.
func (s *Survey) Done() bool {
	if s.Buckets > 0 && !s.known {
		return false
	}
	if s.known && len(s.only) == 0 {
		return true
	}
	n := 0
	for _, st := range s.strands {
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
func (s *Survey) Enough() bool { all := s.All; s.All = false; ok := s.Done(); s.All = all; return ok }

// Found joins what was read, newest first for each key, promises included.
func (s *Survey) Found() map[ident.Key]Found {
	out := map[ident.Key]Found{}
	for _, st := range s.strands {
		if !st.done {
			continue
		}
		for key := range st.rows {
			out[key] = Found{Key: key, Agreed: true}
		}
	}
	for key, f := range out {
		first := true
		for _, st := range s.strands {
			if !st.done {
				continue
			}
			c := st.rows[key]
			if !first && !c.Same(f.Cell) {
				f.Agreed = false
			}
			top := f.Cell.Promised
			if top.Less(c.Promised) {
				top = c.Promised
			}
			if first || c.Newer(f.Cell) {
				f.Cell = c
			}
			f.Cell.Promised = top
			first = false
		}
		out[key] = f
	}
	return out
}

// Read tells how many counted disks were read, and how many there are.
func (s *Survey) Read() (read, of int) {
	for _, st := range s.strands {
		if st.done {
			read++
		}
	}
	return read, s.counted()
}

// Holders counts the disks read, but for one, whose copy of the key is not behind a state.
func (s *Survey) Holders(key ident.Key, state cell.Cell, without ident.Disk) int {
	holders := 0
	for disk, st := range s.strands {
		if disk != without && st.done && !state.Newer(st.rows[key]) {
			holders++
		}
	}
	return holders
}

// Lagging lists the disks whose copy of the key is behind the newest one read.
func (s *Survey) Lagging(f Found) []ident.Disk {
	var out []ident.Disk
	for disk, st := range s.strands {
		if st.done && f.Cell.Newer(st.rows[f.Key]) {
			out = append(out, disk)
		}
	}
	return out
}
