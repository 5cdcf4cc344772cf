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
	// voteInDoubtFor is how long after a vote of this disk its round may still be in progress: no
	// round lasts longer than 1.2 s.
	voteInDoubtFor = 1300 * time.Millisecond
	// successorWait is how long a leaving voter waits for its successor to be counted in.
	successorWait = 2 * time.Second
	// compareTimeout bounds one comparison of the copies.
	compareTimeout = time.Second
	// comparePause is the time between two comparisons.
	comparePause = 20 * time.Millisecond
)

// castVote is an accept that this disk agreed to.
type castVote struct {
	key    ident.Key
	castAt monotime.Time
}

// departure is a voter's planned leave. Invariants: while votingStopped is set, this disk
// answers no proposer, so that every majority consists of voters that stay; votesResolved is
// set only when every round has ended that an earlier vote of this disk may have completed.
type departure struct {
	startedAt     monotime.Time
	votingStopped bool
	// repairsSent is set once the operations that end the rounds in doubt were submitted.
	repairsSent bool
	// repairsOpen counts those of them that are in progress; failed is set when one has failed.
	repairsOpen   int
	failed        bool
	votesResolved bool
}

// replicationCheck shows, for one membership, that no confirmed value depends on the copy of
// one voter. Invariant: once the copies were compared, underReplicated holds the records found
// then that are not yet known to be held by a majority without that voter. What is confirmed
// later is held by such a majority.
type replicationCheck struct {
	without         ident.Disk // the voter whose copy does not count
	excluded        ident.Disk // the voter that is not read, if any
	reading         bool
	compared        bool
	underReplicated map[ident.Key]quorum.Record
	nextCompare     monotime.Time
}

func (c *replicationCheck) passed() bool { return c.compared && len(c.underReplicated) == 0 }

// recordVote remembers the key of an accept that this disk agreed to, as long as it is in doubt.
func (n *Node) recordVote(now monotime.Time, key ident.Key) {
	for len(n.recentVotes) > 0 && now.Since(n.recentVotes[0].castAt) > voteInDoubtFor {
		n.recentVotes = n.recentVotes[1:]
	}
	n.recentVotes = append(n.recentVotes, castVote{key, now})
}

// continueDeparture carries on a planned leave. It returns true once no confirmed value
// depends on this disk any more, or when no voter stays that could take over.
//
//   - Where another core can follow, that one is counted in first and this voter's slot is
//     dropped afterwards, so that at no step fewer voters are counted than before.
//   - Otherwise this disk stops voting, and leaves once a majority of the voters that stay
//     holds everything.
func (n *Node) continueDeparture(now monotime.Time, fx *Effects) bool {
	current := n.membership.Current
	if n.diskFailed || !current.IsCounted(n.Disk) {
		return true
	}
	staying, othersMayStay := n.countStaying(now, current)
	evenSlots := current.Size()%2 == 0
	switch {
	case evenSlots && staying >= current.Size()/2:
		n.departure = &departure{startedAt: n.departure.startedAt}
		if n.verifyReplication(now, n.Disk, "", fx) {
			n.propose(now, reconfiguration.RemoveVoter(n.Disk, true), fx)
		}
		return false
	case staying < current.Majority():
		n.departure = &departure{startedAt: n.departure.startedAt}
		return !othersMayStay
	case !evenSlots && n.successor(now, current) != "" && now.Since(n.departure.startedAt) < successorWait:
		n.departure = &departure{startedAt: n.departure.startedAt}
		return false
	}
	n.departure.votingStopped = true
	return n.resolveVotes(now, fx) && n.verifyReplication(now, n.Disk, n.Disk, fx)
}

// countStaying counts the other voters that are healthy and stay. othersMayStay reports
// whether there are any, heard or not, that have not announced to leave.
func (n *Node) countStaying(now monotime.Time, current quorum.Membership) (staying int, othersMayStay bool) {
	healthy := n.healthy(now)
	for _, v := range current.Voters {
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

// announcedLeave reports whether the last heartbeat of a disk said that it leaves.
func (n *Node) announcedLeave(d ident.Disk) bool {
	for _, p := range n.peers {
		if p.heartbeat.Disk == d {
			return p.heartbeat.Leaving
		}
	}
	return false
}

// hasOnlyLeavers reports whether a counted voter that is heard leaves as planned, while every
// other voter with a slot is healthy.
func (n *Node) hasOnlyLeavers(now monotime.Time, current quorum.Membership) bool {
	healthy, leaving := n.healthy(now), false
	for _, v := range current.Voters {
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

// successor returns the disk that is to be counted in for a voter that leaves: one that has
// joined already, else the first by address of the cores without a slot. There is none while
// another voter is not healthy, as its slot is filled first.
func (n *Node) successor(now monotime.Time, current quorum.Membership) ident.Disk {
	if !n.hasOnlyLeavers(now, current) {
		return ""
	}
	healthy := n.healthy(now)
	for _, v := range current.Voters {
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
		if _, in := current.Find(d); eligible && !in {
			return d
		}
	}
	return ""
}

// isSuccessor reports whether this disk is to follow a voter that leaves.
func (n *Node) isSuccessor(now monotime.Time, current quorum.Membership) bool {
	return current.Size()%2 != 0 && !n.leaving && n.successor(now, current) == n.Disk
}

// resolveVotes ends the rounds that this disk voted for before it stopped voting. A proposer
// may hold this disk's vote and wait for one more, so its value may be confirmed after the
// copies were compared. A later operation on the same key, run by its proposer, ends only after
// that round.
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
	keys := n.keysInDoubt(now, leave)
	leave.repairsOpen = len(keys)
	for _, k := range keys {
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(_ monotime.Time, result Result, _ *Effects) {
			leave.repairsOpen--
			// An earlier release answers that the operation is malformed, but after its round too.
			leave.failed = leave.failed || result.Failure != nil && result.Failure.Kind != failure.Malformed
		})
	}
	return false
}

// keysInDoubt lists the keys of the votes that were in doubt when this disk began to leave.
func (n *Node) keysInDoubt(now monotime.Time, leave *departure) (keys []ident.Key) {
	for _, v := range n.recentVotes {
		if now.Since(v.castAt) <= voteInDoubtFor+now.Since(leave.startedAt) && !slices.Contains(keys, v.key) {
			keys = append(keys, v.key)
		}
	}
	return keys
}

// verifyReplication compares the copies of all voters but the excluded one, and repairs those
// that lag, until every value is held by a majority of the voters that remain without one of
// them.
func (n *Node) verifyReplication(now monotime.Time, without, excluded ident.Disk, fx *Effects) bool {
	if n.replication == nil || n.replication.without != without || n.replication.excluded != excluded {
		n.replication = &replicationCheck{without: without, excluded: excluded}
	}
	check := n.replication
	if check.passed() || check.reading || check.nextCompare.After(now) {
		return check.passed()
	}
	check.reading = true
	n.startCompare(now, n.allVotersHeard(now, excluded), excluded, fx, func(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
		check.reading, check.nextCompare = false, now.Add(comparePause)
		if reader != nil {
			check.compare(reader)
			n.repairKeys(now, slices.Sorted(maps.Keys(check.underReplicated)), fx)
		}
	})
	return check.passed()
}

// compare takes in what a quorum read found. Keys whose buckets were equal were not read: all
// disks that were asked hold the same of them, and one of these held what was found before.
func (c *replicationCheck) compare(reader *quorumread.Reader) {
	need, found := (reader.Membership.Size()-1)/2+1, reader.Entries()
	if !c.compared {
		c.compared, c.underReplicated = true, map[ident.Key]quorum.Record{}
		for k, entry := range found {
			c.underReplicated[k] = entry.Record
		}
	}
	maps.DeleteFunc(c.underReplicated, func(k ident.Key, record quorum.Record) bool {
		_, differs := found[k]
		return !differs || reader.CountHolders(k, record, c.without) >= need
	})
}

// repairKeys reads keys through their proposers, which repairs their copies.
func (n *Node) repairKeys(now monotime.Time, keys []ident.Key, fx *Effects) {
	for _, k := range keys {
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, ignoreResult)
	}
}

// dropDeadVoter drops the slot of a voter that is presumed dead where the number of slots is
// even: with one slot fewer the cluster tolerates the next failure, which it would not with an
// empty one. The first healthy counted voter does it.
func (n *Node) dropDeadVoter(now monotime.Time, current quorum.Membership, fx *Effects) {
	if current.Size()%2 != 0 || now.Since(n.startedAt) <= voterDeadAfter {
		return
	}
	healthy, heard := n.healthy(now), n.heardWithin(now, voterDeadAfter)
	dropper, dead := ident.Disk(""), ident.Disk("")
	for _, v := range current.Voters {
		switch {
		case v.Joining:
		case dropper == "" && v.Counted && slices.Contains(healthy, v.Disk):
			dropper = v.Disk
		case dead == "" && !slices.Contains(heard, v.Disk):
			dead = v.Disk
		}
	}
	if dropper == n.Disk && dead != "" && n.verifyReplication(now, dead, dead, fx) {
		n.propose(now, reconfiguration.RemoveVoter(dead, false), fx)
	}
}
