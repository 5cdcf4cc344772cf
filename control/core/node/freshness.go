package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
)

const (
	// refreshAge is the age of the known configuration revision at which the proposer of the
	// configuration reads the revision again. nonProposerRefreshAge applies to all other cores,
	// which usually learn the revision from heartbeats.
	refreshAge            = 500 * time.Millisecond
	nonProposerRefreshAge = time.Second
	// refreshBudget is the time limit of a read of the configuration revision.
	refreshBudget = time.Second
	// maxConfigAge is the age of the known configuration revision beyond which a core is stale.
	maxConfigAge = 1300 * time.Millisecond
	// maxMajoritySilence is the time without heartbeats from a majority beyond which a core is
	// stale. A voter catches up only while it heard a majority within this time.
	maxMajoritySilence = 800 * time.Millisecond
	// maxBehindAge is the time beyond which a core is stale if it knows of a newer configuration
	// than the configuration that it holds. Such a core receives heartbeats but cannot fetch the
	// configuration.
	maxBehindAge = 800 * time.Millisecond
)

// freshness tracks how current a core's knowledge of the newest configuration is. Invariant: no
// revision newer than Node.ConfigRevision was confirmed before asOf. asOf is the start time of a
// read through the configuration's proposer, by this core or by the core whose heartbeat reported
// asOf.
type freshness struct {
	asOf monotime.Time
	// refreshStarted is the start time of the read in progress, 0 if no read is in progress.
	refreshStarted monotime.Time
	// behindSince is the time since which this core has known of a newer configuration than the
	// configuration that it holds, 0 if it knows of none.
	behindSince monotime.Time
	// wasStale is the result of stale in the last tick.
	wasStale bool
}

// refreshConfigRevision reads the newest configuration revision if the known revision is too old.
func (n *Node) refreshConfigRevision(now monotime.Time, fx *Effects) {
	if !n.refreshDue(now) {
		return
	}
	n.freshness.refreshStarted = now
	read := proposer.Operation{Key: proposal.Key, Kind: proposal.ReadRevisionKind}
	n.beginOperation(now, &pending{operation: read, deadline: now.Add(refreshBudget), onResult: n.onConfigRevisionRead}, fx)
}

func (n *Node) refreshDue(now monotime.Time) bool {
	known := n.freshness.asOf != 0
	age := now.Since(n.freshness.asOf)
	if n.freshness.refreshStarted != 0 || known && age < refreshAge || n.leaving || !n.HasMajority(now) {
		return false
	}
	disks, _ := n.liveVoters(now)
	first, _ := placement.Proposer(proposal.Key, disks)
	return first == n.Disk || !known || age >= nonProposerRefreshAge
}

// onConfigRevisionRead processes the result of a read of the newest configuration revision.
func (n *Node) onConfigRevisionRead(now monotime.Time, result Result, fx *Effects) {
	began := n.freshness.refreshStarted
	n.freshness.refreshStarted = 0
	var newest proposal.Accepted
	if result.Failure != nil || json.Unmarshal(result.Body, &newest) != nil {
		return
	}
	if newest.Revision > n.ConfigRevision || newest.Revision > n.heldRevision() {
		// The ballot lets a disk that took part in the round find the value in its own records.
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(newest.Revision), Ballot: result.Ballot}, fx)
	}
	n.freshness.asOf = max(n.freshness.asOf, began)
}

// stale reports whether this core does not know the newest configuration revision, or has been
// unable to fetch the configuration.
func (n *Node) stale(now monotime.Time) bool {
	return n.freshness.asOf == 0 || now.Since(n.freshness.asOf) > maxConfigAge ||
		!n.hasMajorityWithin(now, maxMajoritySilence) ||
		n.freshness.behindSince != 0 && now.Since(n.freshness.behindSince) > maxBehindAge
}

// updateBehindSince updates the time since which this core has known of a newer configuration than
// the configuration that it holds.
func (n *Node) updateBehindSince(now monotime.Time) {
	switch {
	case n.heldRevision() >= n.ConfigRevision:
		n.freshness.behindSince = 0
	case n.freshness.behindSince == 0:
		n.freshness.behindSince = now
	}
}

// heldRevision returns the revision of the configuration that this core serves, 0 if there is none.
func (n *Node) heldRevision() ident.ConfigRevision {
	if held := n.Leases.Config(); held != nil {
		return held.Revision
	}
	return 0
}

// StaleAt reports whether this core is stale at the given time: it does not know the newest
// configuration revision, or has been unable to fetch the configuration.
func (n *Node) StaleAt(now monotime.Time) bool { return n.stale(now) }

// Stale reports whether this core was stale in the last tick, see StaleAt.
func (n *Node) Stale() bool { return n.freshness.wasStale }
