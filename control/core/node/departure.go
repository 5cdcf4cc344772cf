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
	// voteInDoubtFor is the time after a vote of this disk during which the vote's round may still
	// be in progress. No round lasts longer than the proposer's roundTimeout of 1.2 s.
	voteInDoubtFor = 1300 * time.Millisecond
	// successorWait is the maximum time that a leaving voter waits for its successor to be counted.
	successorWait = 2 * time.Second
	// compareTimeout is the time limit of one comparison of the voters' copies of the records.
	compareTimeout = time.Second
	// comparePause is the pause between two comparisons of the copies.
	comparePause = 20 * time.Millisecond
)

// castVote records that this disk granted an accept request.
type castVote struct {
	key    ident.Key
	castAt monotime.Time
}

// departure tracks how this core's voter leaves the membership during a planned stop of the core.
// Invariants: while votingStopped is set, this disk answers no proposer, so that every majority
// consists of voters that stay; votesResolved is set only when every round that an earlier vote of
// this disk may have completed has ended.
type departure struct {
	startedAt     monotime.Time
	votingStopped bool
	// repairsSent is set once the repair operations that end the rounds in doubt were submitted.
	repairsSent bool
	// pendingRepairs counts the repair operations in progress. failed is set when a repair
	// operation has failed.
	pendingRepairs int
	failed         bool
	votesResolved  bool
}

// replicationCheck verifies for one membership that no confirmed value depends on the copy of one
// voter. Invariant: once compared is set, underReplicated holds the records of the first comparison
// that are not yet known to be held by a majority without that voter. Values that are confirmed
// after the first comparison are held by such a majority.
type replicationCheck struct {
	uncounted       ident.Disk // the voter whose copy does not count toward the majority
	excluded        ident.Disk // the voter whose copy is not read; empty if all copies are read
	reading         bool
	compared        bool
	underReplicated map[ident.Key]quorum.Record
	nextCompare     monotime.Time
}

func (c *replicationCheck) passed() bool { return c.compared && len(c.underReplicated) == 0 }

// recordVote records the key of an accept request that this disk granted, and drops the votes that
// are older than voteInDoubtFor.
func (n *Node) recordVote(now monotime.Time, key ident.Key) {
	for len(n.recentVotes) > 0 && now.Since(n.recentVotes[0].castAt) > voteInDoubtFor {
		n.recentVotes = n.recentVotes[1:]
	}
	n.recentVotes = append(n.recentVotes, castVote{key, now})
}

// continueDeparture performs the next step of the leave of this core's voter. It returns true once
// no confirmed value depends on this disk, or if no voter stays that could take over.
//
//   - If another core can replace this voter, the successor is counted first and this voter's slot
//     is dropped afterwards, so that the number of counted voters never falls below the initial
//     number.
//   - Otherwise this disk stops voting, and leaves once a majority of the voters that stay holds
//     every confirmed value.
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
			n.proposeMembership(now, reconfiguration.RemoveVoter(n.Disk, true), fx)
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

// countStaying counts the other voters that are healthy and not leaving. othersMayStay reports
// whether any other voter, reachable or not, has not announced that it leaves.
func (n *Node) countStaying(now monotime.Time, current quorum.Membership) (staying int, othersMayStay bool) {
	healthy := n.healthyDisks(now)
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

// announcedLeave reports whether the last heartbeat of a disk's core announced a planned stop.
func (n *Node) announcedLeave(d ident.Disk) bool {
	for _, p := range n.peers {
		if p.heartbeat.Disk == d {
			return p.heartbeat.Leaving
		}
	}
	return false
}

// onlyLeaversUnhealthy reports whether at least one counted voter that still sends heartbeats is
// leaving in a planned stop, and every other voter with a slot is healthy.
func (n *Node) onlyLeaversUnhealthy(now monotime.Time, current quorum.Membership) bool {
	healthy, leaving := n.healthyDisks(now), false
	for _, v := range current.Voters {
		if v.Joining || slices.Contains(healthy, v.Disk) && (v.Disk != n.Disk || !n.leaving) {
			continue
		}
		heard := v.Disk == n.Disk || slices.Contains(n.disksHeardWithin(now, heartbeatTimeout), v.Disk)
		if !v.Counted || !heard || v.Disk != n.Disk && !n.announcedLeave(v.Disk) {
			return false
		}
		leaving = true
	}
	return leaving
}

// successor returns the disk that replaces a leaving voter: a joining disk if there is one,
// otherwise the disk of the eligible core without a slot that has the lowest address. It returns an
// empty identifier while a voter that is not leaving is unhealthy, because that voter's slot is
// filled first.
func (n *Node) successor(now monotime.Time, current quorum.Membership) ident.Disk {
	if !n.onlyLeaversUnhealthy(now, current) {
		return ""
	}
	healthy := n.healthyDisks(now)
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

// isSuccessor reports whether this disk is the successor of a leaving voter, see successor.
func (n *Node) isSuccessor(now monotime.Time, current quorum.Membership) bool {
	return current.Size()%2 != 0 && !n.leaving && n.successor(now, current) == n.Disk
}

// resolveVotes ends the rounds in which this disk voted before it stopped voting. A proposer may
// have this disk's vote and wait for one more vote, so a value may be confirmed after the copies
// were compared. A later operation of the same proposer on the same key ends only after that round,
// so resolveVotes submits such an operation for each key in doubt.
func (n *Node) resolveVotes(now monotime.Time, fx *Effects) bool {
	state := n.departure
	if state.votesResolved || state.repairsSent && state.pendingRepairs > 0 {
		return state.votesResolved
	}
	if state.repairsSent && !state.failed {
		state.votesResolved = true
		return true
	}
	state.repairsSent, state.failed = true, false
	keys := n.keysInDoubt(now, state)
	state.pendingRepairs = len(keys)
	for _, k := range keys {
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, func(_ monotime.Time, result Result, _ *Effects) {
			state.pendingRepairs--
			// Cores of an earlier release reject the operation as malformed, also after the round.
			state.failed = state.failed || result.Failure != nil && result.Failure.Kind != failure.Malformed
		})
	}
	return false
}

// keysInDoubt lists the keys of the votes whose rounds may have been in progress when this disk
// began to leave.
func (n *Node) keysInDoubt(now monotime.Time, state *departure) (keys []ident.Key) {
	for _, v := range n.recentVotes {
		if now.Since(v.castAt) <= voteInDoubtFor+now.Since(state.startedAt) && !slices.Contains(keys, v.key) {
			keys = append(keys, v.key)
		}
	}
	return keys
}

// verifyReplication compares the copies of all voters except the excluded voter and repairs copies
// that lag. It returns true once every value is held by a majority of the voters that does not
// include the uncounted voter.
func (n *Node) verifyReplication(now monotime.Time, uncounted, excluded ident.Disk, fx *Effects) bool {
	if n.replication == nil || n.replication.uncounted != uncounted || n.replication.excluded != excluded {
		n.replication = &replicationCheck{uncounted: uncounted, excluded: excluded}
	}
	check := n.replication
	if check.passed() || check.reading || check.nextCompare.After(now) {
		return check.passed()
	}
	check.reading = true
	n.startCompare(now, n.allVotersHeard(now, excluded), excluded, fx, func(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
		check.reading, check.nextCompare = false, now.Add(comparePause)
		if reader != nil {
			check.applyRead(reader)
			n.repairKeys(now, slices.Sorted(maps.Keys(check.underReplicated)), fx)
		}
	})
	return check.passed()
}

// applyRead updates the check from a completed quorum read. The read skips keys in buckets whose
// digests are equal: all disks that were read hold the same records for these keys, including the
// records that an earlier comparison found.
func (c *replicationCheck) applyRead(reader *quorumread.Reader) {
	need, found := (reader.Membership.Size()-1)/2+1, reader.Entries()
	if !c.compared {
		c.compared, c.underReplicated = true, map[ident.Key]quorum.Record{}
		for k, entry := range found {
			c.underReplicated[k] = entry.Record
		}
	}
	maps.DeleteFunc(c.underReplicated, func(k ident.Key, record quorum.Record) bool {
		_, differs := found[k]
		return !differs || reader.CountHolders(k, record, c.uncounted) >= need
	})
}

// repairKeys submits a repair operation for each key. The key's proposer reads the key and thereby
// repairs its copies.
func (n *Node) repairKeys(now monotime.Time, keys []ident.Key, fx *Effects) {
	for _, k := range keys {
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, ignoreResult)
	}
}

// dropDeadVoter drops the slot of a voter that is presumed dead if the number of slots is even.
// With one slot fewer, the cluster tolerates the next failure; with the dead voter's slot, the
// cluster would not.
// Only the first healthy counted voter of the membership proposes the drop.
func (n *Node) dropDeadVoter(now monotime.Time, current quorum.Membership, fx *Effects) {
	if current.Size()%2 != 0 || now.Since(n.startedAt) <= voterDeadAfter {
		return
	}
	healthy, heard := n.healthyDisks(now), n.disksHeardWithin(now, voterDeadAfter)
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
		n.proposeMembership(now, reconfiguration.RemoveVoter(dead, false), fx)
	}
}
