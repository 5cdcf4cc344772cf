package node

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// inDoubt is how long after this disk's vote the round that it was for may still end:
	// no round is out for longer than 1.2 s.
	inDoubt = 1300 * time.Millisecond
	// reliefWait is how long a leaving voter waits for its successor to be counted in.
	reliefWait = 2 * time.Second
	// proofWait bounds one comparison of the copies, and proofPause parts two of them.
	proofWait  = time.Second
	proofPause = 20 * time.Millisecond
)

// vote is an accept that this disk said yes to.
type vote struct {
	key ident.Key
	at  monotime.Time
}

// departure is a voter's planned leave. Invariants: while silent is set, this disk answers
// no proposer, so every majority is one of those that stay; resolved is set only when every
// round that an earlier vote of this disk may have ended is over.
type departure struct {
	began    monotime.Time
	silent   bool
	asked    bool
	open     int // operations out that end the rounds in doubt
	failed   bool
	resolved bool
}

// proof shows, for one membership, that the confirmed values need no copy of one voter. It is
// dropped when the membership changes. Invariant: behind holds, once the copies were compared,
// the states found then that a majority without that voter was not yet known to hold. What
// is confirmed later is held by one, and need not be looked for.
type proof struct {
	without  ident.Disk
	skip     ident.Disk
	busy     bool
	compared bool
	behind   map[ident.Key]quorum.Record
	next     monotime.Time
}

func (p *proof) holds() bool { return p.compared && len(p.behind) == 0 }

// voted remembers the keys that this disk took an accept for.
func (n *Node) voted(now monotime.Time, key ident.Key) {
	for len(n.votes) > 0 && now.Since(n.votes[0].at) > inDoubt {
		n.votes = n.votes[1:]
	}
	n.votes = append(n.votes, vote{key, now})
}

// handOver carries a planned leave on; it is true once nothing that was confirmed needs
// this disk any more, or when nobody stays to whom it could be handed.
//
//   - Where another core can follow, that one is counted in first and this voter's slot is
//     dropped then, so that at no step a majority is of fewer than before.
//   - Else this disk stops voting, and goes once a majority of those that stay holds
//     everything.
func (n *Node) handOver(now monotime.Time, fx *Effects) bool {
	r := n.membership.Current
	if n.broken || !r.Counts(n.Disk) {
		return true
	}
	stay, may := n.staying(now, r)
	even := r.Size()%2 == 0
	switch {
	case even && stay >= r.Size()/2:
		n.away = &departure{began: n.away.began}
		if n.proves(now, n.Disk, "", fx) {
			n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.Drop(n.Disk, true)), fx)
		}
		return false
	case stay < r.Majority():
		n.away = &departure{began: n.away.began}
		return !may
	case !even && n.successor(now, r) != "" && now.Since(n.away.began) < reliefWait:
		n.away = &departure{began: n.away.began}
		return false
	}
	n.away.silent = true
	return n.resolves(now, fx) && n.proves(now, n.Disk, n.Disk, fx)
}

// staying counts the other voters that are heard and stay; may tells whether there are any
// that have not said that they leave, heard or not.
func (n *Node) staying(now monotime.Time, r quorum.Membership) (stay int, may bool) {
	near := n.healthy(now)
	for _, v := range r.Voters {
		if !v.Counted || v.Disk == n.Disk {
			continue
		}
		if slices.Contains(near, v.Disk) {
			stay++
		}
		may = may || !n.saidLeaving(v.Disk)
	}
	return stay, may
}

// saidLeaving tells whether the last that was heard of a disk is that it leaves.
func (n *Node) saidLeaving(d ident.Disk) bool {
	for _, p := range n.peers {
		if p.hello.Disk == d {
			return p.hello.Leaving
		}
	}
	return false
}

// leaver tells whether a counted voter that is heard leaves as planned, while all others
// that have a slot are well.
func (n *Node) leaver(now monotime.Time, r quorum.Membership) bool {
	near, found := n.healthy(now), false
	for _, v := range r.Voters {
		if v.Joining || slices.Contains(near, v.Disk) && (v.Disk != n.Disk || !n.leaving) {
			continue
		}
		heard := v.Disk == n.Disk || slices.Contains(n.heard(now, heartbeatTimeout), v.Disk)
		if !v.Counted || !heard || v.Disk != n.Disk && !n.saidLeaving(v.Disk) {
			return false
		}
		found = true
	}
	return found
}

// successor is the disk that is to be counted in for a voter that leaves: one that has
// joined already, else the first by address of the cores without a slot. There is none
// while another slot is not well, which is to be filled first.
func (n *Node) successor(now monotime.Time, r quorum.Membership) ident.Disk {
	if !n.leaver(now, r) {
		return ""
	}
	near := n.healthy(now)
	for _, v := range r.Voters {
		if v.Joining && slices.Contains(near, v.Disk) && (v.Disk != n.Disk || !n.leaving) {
			return v.Disk
		}
	}
	addrs := append(n.peerAddrs(), n.boot.Addr)
	slices.Sort(addrs)
	for _, a := range addrs {
		d, stays := n.Disk, !n.leaving && !n.broken
		if p := n.peers[a]; p != nil {
			d, stays = p.hello.Disk, slices.Contains(near, p.hello.Disk)
		}
		if _, in := r.Find(d); stays && !in {
			return d
		}
	}
	return ""
}

// relieves tells whether this disk is to follow a voter that leaves.
func (n *Node) relieves(now monotime.Time, r quorum.Membership) bool {
	return r.Size()%2 != 0 && !n.leaving && n.successor(now, r) == n.Disk
}

// resolves ends the rounds that this disk voted for before it fell silent. A round's proposer
// may have this disk's yes and wait for one more, so what it writes may be confirmed after
// the copies were compared. A operation of the same key, run by its proposer, ends only after that.
func (n *Node) resolves(now monotime.Time, fx *Effects) bool {
	d := n.away
	if d.resolved || d.asked && d.open > 0 {
		return d.resolved
	}
	if d.asked && !d.failed {
		d.resolved = true
		return true
	}
	d.asked, d.failed = true, false
	var keys []ident.Key
	for _, v := range n.votes {
		if now.Since(v.at) <= inDoubt+now.Since(d.began) && !slices.Contains(keys, v.key) {
			keys = append(keys, v.key)
		}
	}
	d.open = len(keys)
	for _, k := range keys {
		n.internal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(_ monotime.Time, e End, _ *Effects) {
			d.open--
			d.failed = d.failed || e.Failure != nil && e.Failure.Kind != failure.Malformed // what an older release says to it, after its round
		})
	}
	return false
}

// proves compares the copies of all voters but skip, and repairs what is behind, until every
// value is held by a majority of the voters that are left without one of them.
func (n *Node) proves(now monotime.Time, without, skip ident.Disk, fx *Effects) bool {
	if n.proof == nil || n.proof.without != without || n.proof.skip != skip {
		n.proof = &proof{without: without, skip: skip}
	}
	p := n.proof
	if p.holds() || p.busy || p.next.After(now) {
		return p.holds()
	}
	p.busy = true
	n.quorumRead(now, &reading{until: now.Add(proofWait), all: n.allHeard(now, skip), buckets: buckets(n.Records()), done: func(now monotime.Time, s *quorumread.Reader, fx *Effects) {
		p.busy, p.next = false, now.Add(proofPause)
		if s != nil {
			p.compare(s)
			n.mendAll(now, slices.Sorted(maps.Keys(p.behind)), fx)
		}
	}}, "", false, skip, fx)
	return p.holds()
}

// compare takes in what a quorum read found. Keys of equal buckets were not read: all that were
// asked hold the same of them, and one of these held what was found before.
func (p *proof) compare(s *quorumread.Reader) {
	need, all := (s.Membership.Size()-1)/2+1, s.Found()
	if !p.compared {
		p.compared, p.behind = true, map[ident.Key]quorum.Record{}
		for k, f := range all {
			p.behind[k] = f.Record
		}
	}
	maps.DeleteFunc(p.behind, func(k ident.Key, state quorum.Record) bool {
		_, read := all[k]
		return !read || s.Holders(k, state, p.without) >= need
	})
}

// mendAll reads keys through their owners, which repairs their copies.
func (n *Node) mendAll(now monotime.Time, keys []ident.Key, fx *Effects) {
	for _, k := range keys {
		n.internal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(monotime.Time, End, *Effects) {})
	}
}

// allHeard tells whether all counted voters but one are heard.
func (n *Node) allHeard(now monotime.Time, skip ident.Disk) bool {
	near := n.heard(now, heartbeatTimeout)
	return !slices.ContainsFunc(n.membership.Current.Voters, func(v quorum.Voter) bool {
		return v.Counted && v.Disk != skip && !slices.Contains(near, v.Disk)
	})
}

// sheds drops the slot of a voter that is held for dead where the number of slots is even:
// with one fewer the mesh bears the next loss, which it would not with an empty one. The
// first counted voter that is well does it.
func (n *Node) sheds(now monotime.Time, r quorum.Membership, fx *Effects) {
	if r.Size()%2 != 0 || now.Since(n.began) <= deadAfter {
		return
	}
	near, heard := n.healthy(now), n.heard(now, deadAfter)
	first, gone := ident.Disk(""), ident.Disk("")
	for _, v := range r.Voters {
		switch {
		case v.Joining:
		case first == "" && v.Counted && slices.Contains(near, v.Disk):
			first = v.Disk
		case gone == "" && !slices.Contains(heard, v.Disk):
			gone = v.Disk
		}
	}
	if first == n.Disk && gone != "" && n.proves(now, gone, gone, fx) {
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.Drop(gone, false)), fx)
	}
}
