package node

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

const (
	// voteInDoubtFor is how long after this disk's vote the round that it was for may still end:
	// no round is out for longer than 1.2 s.
	voteInDoubtFor = 1300 * time.Millisecond
	// successorWait is how long a leaving voter waits for its successor to be counted in.
	successorWait = 2 * time.Second
	// compareTimeout bounds one comparison of the copies, and proofPause parts two of them.
	compareTimeout = time.Second
	comparePause   = 20 * time.Millisecond
)

// castVote is an accept that this disk said yes to.
type castVote struct {
	key    ident.Key
	castAt monotime.Time
}

// departure is a voter's planned leave. Invariants: while silent is set, this disk answers
// no proposer, so every majority is one of those that stay; resolved is set only when every
// round that an earlier vote of this disk may have ended is over.
type departure struct {
	startedAt     monotime.Time
	votingStopped bool
	repairsSent   bool
	repairsOpen   int // operations out that end the rounds in doubt
	failed        bool
	votesResolved bool
}

// replicationCheck shows, for one membership, that the confirmed values need no copy of one voter. It is
// dropped when the membership changes. Invariant: behind holds, once the copies were compared,
// the states found then that a majority without that voter was not yet known to hold. What
// is confirmed later is held by one, and need not be looked for.
type replicationCheck struct {
	without         ident.Disk
	excluded        ident.Disk
	reading         bool
	compared        bool
	underReplicated map[ident.Key]quorum.Record
	nextCompare     monotime.Time
}

func (p *replicationCheck) passed() bool { return p.compared && len(p.underReplicated) == 0 }

// recordVote remembers the keys that this disk took an accept for.
func (n *Node) recordVote(now monotime.Time, key ident.Key) {
	for len(n.recentVotes) > 0 && now.Since(n.recentVotes[0].castAt) > voteInDoubtFor {
		n.recentVotes = n.recentVotes[1:]
	}
	n.recentVotes = append(n.recentVotes, castVote{key, now})
}

// continueDeparture carries a planned leave on; it is true once nothing that was confirmed needs
// this disk any more, or when nobody stays to whom it could be handed.
//
//   - Where another core can follow, that one is counted in first and this voter's slot is
//     dropped then, so that at no step a majority is of fewer than before.
//   - Else this disk stops voting, and goes once a majority of those that stay holds
//     everything.
func (n *Node) continueDeparture(now monotime.Time, fx *Effects) bool {
	r := n.membership.Current
	if n.diskFailed || !r.Counts(n.Disk) {
		return true
	}
	staying, othersMayStay := n.countStaying(now, r)
	evenSlots := r.Size()%2 == 0
	switch {
	case evenSlots && staying >= r.Size()/2:
		n.departure = &departure{startedAt: n.departure.startedAt}
		if n.verifyReplication(now, n.Disk, "", fx) {
			n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.Drop(n.Disk, true)), fx)
		}
		return false
	case staying < r.Majority():
		n.departure = &departure{startedAt: n.departure.startedAt}
		return !othersMayStay
	case !evenSlots && n.successor(now, r) != "" && now.Since(n.departure.startedAt) < successorWait:
		n.departure = &departure{startedAt: n.departure.startedAt}
		return false
	}
	n.departure.votingStopped = true
	return n.resolveVotes(now, fx) && n.verifyReplication(now, n.Disk, n.Disk, fx)
}

// countStaying counts the other voters that are heard and stay; may tells whether there are any
// that have not said that they leave, heard or not.
func (n *Node) countStaying(now monotime.Time, r quorum.Membership) (staying int, othersMayStay bool) {
	healthy := n.healthy(now)
	for _, v := range r.Voters {
		if !v.Counted || v.Disk == n.Disk {
			continue
		}
		if slices.Contains(healthy, v.Disk) {
			staying++
		}
		othersMayStay = othersMayStay || !n.announcedLeave(v.Disk)
	}
	return staying, othersMayStay
}

// announcedLeave tells whether the last that was heard of a disk is that it leaves.
func (n *Node) announcedLeave(d ident.Disk) bool {
	for _, p := range n.peers {
		if p.heartbeat.Disk == d {
			return p.heartbeat.Leaving
		}
	}
	return false
}

// hasOnlyLeavers tells whether a counted voter that is heard leaves as planned, while all others
// that have a slot are well.
func (n *Node) hasOnlyLeavers(now monotime.Time, r quorum.Membership) bool {
	healthy, leaving := n.healthy(now), false
	for _, v := range r.Voters {
		if v.Joining || slices.Contains(healthy, v.Disk) && (v.Disk != n.Disk || !n.leaving) {
			continue
		}
		heard := v.Disk == n.Disk || slices.Contains(n.heardWithin(now, heartbeatTimeout), v.Disk)
		if !v.Counted || !heard || v.Disk != n.Disk && !n.announcedLeave(v.Disk) {
			return false
		}
		leaving = true
	}
	return leaving
}

// successor is the disk that is to be counted in for a voter that leaves: one that has
// joined already, else the first by address of the cores without a slot. There is none
// while another slot is not well, which is to be filled first.
func (n *Node) successor(now monotime.Time, r quorum.Membership) ident.Disk {
	if !n.hasOnlyLeavers(now, r) {
		return ""
	}
	healthy := n.healthy(now)
	for _, v := range r.Voters {
		if v.Joining && slices.Contains(healthy, v.Disk) && (v.Disk != n.Disk || !n.leaving) {
			return v.Disk
		}
	}
	addrs := append(n.peerAddrs(), n.config.Addr)
	slices.Sort(addrs)
	for _, a := range addrs {
		d, eligible := n.Disk, !n.leaving && !n.diskFailed
		if p := n.peers[a]; p != nil {
			d, eligible = p.heartbeat.Disk, slices.Contains(healthy, p.heartbeat.Disk)
		}
		if _, in := r.Find(d); eligible && !in {
			return d
		}
	}
	return ""
}

// isSuccessor tells whether this disk is to follow a voter that leaves.
func (n *Node) isSuccessor(now monotime.Time, r quorum.Membership) bool {
	return r.Size()%2 != 0 && !n.leaving && n.successor(now, r) == n.Disk
}

// resolveVotes ends the rounds that this disk voted for before it fell silent. A round's proposer
// may have this disk's yes and wait for one more, so what it writes may be confirmed after
// the copies were compared. A operation of the same key, run by its proposer, ends only after that.
func (n *Node) resolveVotes(now monotime.Time, fx *Effects) bool {
	leave := n.departure
	if leave.votesResolved || leave.repairsSent && leave.repairsOpen > 0 {
		return leave.votesResolved
	}
	if leave.repairsSent && !leave.failed {
		leave.votesResolved = true
		return true
	}
	leave.repairsSent, leave.failed = true, false
	var keys []ident.Key
	for _, v := range n.recentVotes {
		if now.Since(v.castAt) <= voteInDoubtFor+now.Since(leave.startedAt) && !slices.Contains(keys, v.key) {
			keys = append(keys, v.key)
		}
	}
	leave.repairsOpen = len(keys)
	for _, k := range keys {
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(_ monotime.Time, result Result, _ *Effects) {
			leave.repairsOpen--
			leave.failed = leave.failed || result.Failure != nil && result.Failure.Kind != failure.Malformed // what an older release says to it, after its round
		})
	}
	return false
}

// verifyReplication compares the copies of all voters but skip, and repairs what is behind, until every
// value is held by a majority of the voters that are left without one of them.
func (n *Node) verifyReplication(now monotime.Time, without, excluded ident.Disk, fx *Effects) bool {
	if n.replication == nil || n.replication.without != without || n.replication.excluded != excluded {
		n.replication = &replicationCheck{without: without, excluded: excluded}
	}
	check := n.replication
	if check.passed() || check.reading || check.nextCompare.After(now) {
		return check.passed()
	}
	check.reading = true
	n.startRead(now, &pendingRead{deadline: now.Add(compareTimeout), everyVoter: n.allVotersHeard(now, excluded), buckets: bucketCount(n.RecordCount()), onDone: func(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
		check.reading, check.nextCompare = false, now.Add(comparePause)
		if reader != nil {
			check.compare(reader)
			n.repairKeys(now, slices.Sorted(maps.Keys(check.underReplicated)), fx)
		}
	}}, "", false, excluded, fx)
	return check.passed()
}

// compare takes in what a quorum read found. Keys of equal buckets were not read: all that were
// asked hold the same of them, and one of these held what was found before.
func (p *replicationCheck) compare(s *quorumread.Reader) {
	need, found := (s.Membership.Size()-1)/2+1, s.Entries()
	if !p.compared {
		p.compared, p.underReplicated = true, map[ident.Key]quorum.Record{}
		for k, observed := range found {
			p.underReplicated[k] = observed.Record
		}
	}
	maps.DeleteFunc(p.underReplicated, func(k ident.Key, record quorum.Record) bool {
		_, stillDiffers := found[k]
		return !stillDiffers || s.CountHolders(k, record, p.without) >= need
	})
}

// repairKeys reads keys through their owners, which repairs their copies.
func (n *Node) repairKeys(now monotime.Time, keys []ident.Key, fx *Effects) {
	for _, k := range keys {
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(monotime.Time, Result, *Effects) {})
	}
}

// allVotersHeard tells whether all counted voters but one are heard.
func (n *Node) allVotersHeard(now monotime.Time, excluded ident.Disk) bool {
	heard := n.heardWithin(now, heartbeatTimeout)
	return !slices.ContainsFunc(n.membership.Current.Voters, func(v quorum.Voter) bool {
		return v.Counted && v.Disk != excluded && !slices.Contains(heard, v.Disk)
	})
}

// dropDeadVoter drops the slot of a voter that is held for dead where the number of slots is even:
// with one fewer the mesh bears the next loss, which it would not with an empty one. The
// first counted voter that is well does it.
func (n *Node) dropDeadVoter(now monotime.Time, r quorum.Membership, fx *Effects) {
	if r.Size()%2 != 0 || now.Since(n.startedAt) <= voterDeadAfter {
		return
	}
	healthy, heard := n.healthy(now), n.heardWithin(now, voterDeadAfter)
	dropper, dead := ident.Disk(""), ident.Disk("")
	for _, v := range r.Voters {
		switch {
		case v.Joining:
		case dropper == "" && v.Counted && slices.Contains(healthy, v.Disk):
			dropper = v.Disk
		case dead == "" && !slices.Contains(heard, v.Disk):
			dead = v.Disk
		}
	}
	if dropper == n.Disk && dead != "" && n.verifyReplication(now, dead, dead, fx) {
		n.sendReconfiguration(n.reconfigurer.Begin(now, r, reconfiguration.Drop(dead, false)), fx)
	}
}
