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
	// refreshAge is how old the configuration's proposer lets its knowledge of the newest
	// revision grow before it reads it again; otherRefreshAge is the same for the other cores,
	// which mostly learn of it by heartbeats.
	refreshAge      = 500 * time.Millisecond
	otherRefreshAge = time.Second
	// refreshBudget is how long such a read may take.
	refreshBudget = time.Second
	// staleAge is how old that knowledge may be before a core calls itself stale.
	staleAge = 1300 * time.Millisecond
	// silentMajorityAge is the same for the time since a majority was heard.
	silentMajorityAge = 800 * time.Millisecond
	// behindAge is the same for the time that a core has known of a newer configuration than
	// it holds: it hears the others but can't get it from them.
	behindAge = 800 * time.Millisecond
)

// freshness is how well a core knows the newest configuration. Invariant: nothing newer than
// Node.ConfigRevision was confirmed before asOf, as a read through the proposer of the
// configuration began then, here or at the core whose heartbeat reported it.
type freshness struct {
	asOf monotime.Time
	// refreshStarted is when the read in progress began, 0 if there is none.
	refreshStarted monotime.Time
	// behindSince is since when a newer configuration is known of than the one held, 0 if
	// there is none.
	behindSince monotime.Time
	// wasStale is what stale returned in the last tick.
	wasStale bool
}

// refreshConfigRevision reads the newest revision again if what is known of it is too old.
func (n *Node) refreshConfigRevision(now monotime.Time, fx *Effects) {
	if !n.refreshDue(now) {
		return
	}
	n.freshness.refreshStarted = now
	read := proposer.Operation{Key: proposal.Key, Kind: proposal.ReadRevisionKind}
	n.begin(now, &pending{operation: read, deadline: now.Add(refreshBudget), onDone: n.takeConfigRevision}, fx)
}

func (n *Node) refreshDue(now monotime.Time) bool {
	known := n.freshness.asOf != 0
	age := now.Since(n.freshness.asOf)
	if n.freshness.refreshStarted != 0 || known && age < refreshAge || n.leaving || !n.HasMajority(now) {
		return false
	}
	disks, _ := n.liveVoters(now)
	first, _ := placement.Proposer(proposal.Key, disks)
	return first == n.Disk || !known || age >= otherRefreshAge
}

// takeConfigRevision takes the result of a read of the newest revision.
func (n *Node) takeConfigRevision(now monotime.Time, result Result, fx *Effects) {
	began := n.freshness.refreshStarted
	n.freshness.refreshStarted = 0
	var newest proposal.Accepted
	if result.Failure != nil || json.Unmarshal(result.Body, &newest) != nil {
		return
	}
	if newest.Revision > n.ConfigRevision || newest.Revision > n.heldRevision() {
		// By its ballot, a disk that took part in the round finds the value in its own records.
		n.learn(now, message.Learned{Key: proposal.Key, Revision: ident.Revision(newest.Revision), Ballot: result.Ballot}, fx)
	}
	n.freshness.asOf = max(n.freshness.asOf, began)
}

// stale reports whether this core can't tell what the newest configuration is, or can't get it.
func (n *Node) stale(now monotime.Time) bool {
	return n.freshness.asOf == 0 || now.Since(n.freshness.asOf) > staleAge ||
		!n.hasMajorityWithin(now, silentMajorityAge) ||
		n.freshness.behindSince != 0 && now.Since(n.freshness.behindSince) > behindAge
}

// trackBehind notes since when a newer configuration is known of than the one held here.
func (n *Node) trackBehind(now monotime.Time) {
	switch {
	case n.heldRevision() >= n.ConfigRevision:
		n.freshness.behindSince = 0
	case n.freshness.behindSince == 0:
		n.freshness.behindSince = now
	}
}

// heldRevision returns the revision of the configuration that this core serves, 0 if it has none.
func (n *Node) heldRevision() ident.ConfigRevision {
	if held := n.Leases.Config(); held != nil {
		return held.Revision
	}
	return 0
}

// StaleAt reports whether this core can't tell at a time what the newest configuration is, or
// can't get it.
func (n *Node) StaleAt(now monotime.Time) bool { return n.stale(now) }

// Stale returns what StaleAt returned in the last tick.
func (n *Node) Stale() bool { return n.freshness.wasStale }
