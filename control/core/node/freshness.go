package node

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/placement"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// The manifest's proposer reads it anew when what it knows is older than refreshAge; another
	// core does so only when no hello brought it word for otherRefreshAge.
	refreshAge      = 500 * time.Millisecond
	otherRefreshAge = time.Second
	// staleAge is from when on a core says that it can't tell what the newest manifest is.
	staleAge = 1300 * time.Millisecond
	// silentMajorityAge is the same for how long it may go without a hello from a majority.
	silentMajorityAge = 800 * time.Millisecond
	// behindAge is the same for how long it may know of a newer manifest than it holds: it
	// hears the others, and can't ask them for it.
	behindAge = 800 * time.Millisecond
)

// refreshNewest keeps this core informed of the newest confirmed manifest. Invariant: nothing newer
// than Epoch was confirmed before freshAsOf, for a read through the key's proposer began then,
// here or at the core whose hello told of it.
func (n *Node) refreshNewest(now monotime.Time, fx *Effects) {
	if n.refreshing != 0 || now.Since(n.freshAsOf) < refreshAge && n.freshAsOf != 0 || n.leaving || !n.Majority(now) {
		return
	}
	disks, _ := n.live(now)
	if first, _ := placement.Proposer(offer.Key, disks); first != n.Disk && n.freshAsOf != 0 && now.Since(n.freshAsOf) < otherRefreshAge {
		return
	}
	n.refreshing = now
	n.begin(now, &pending{operation: proposer.Operation{Key: offer.Key, Kind: "manifest/epoch"}, until: now.Add(time.Second), done: func(now monotime.Time, e End, fx *Effects) {
		began := n.refreshing
		n.refreshing = 0
		var yes offer.Yes
		if e.Failure != nil || json.Unmarshal(e.Body, &yes) != nil {
			return
		}
		if yes.Epoch > n.Epoch || yes.Epoch > n.heldEpoch() {
			// With its ballot, a disk that took part in the round shows the value itself.
			n.learn(now, message.Learned{Key: offer.Key, Revision: ident.Revision(yes.Epoch), Ballot: e.Ballot}, fx)
		}
		n.freshAsOf = max(n.freshAsOf, began)
	}}, fx)
}

// stale tells whether this core can't tell what the newest manifest is, or can't get it.
func (n *Node) stale(now monotime.Time) bool {
	return n.freshAsOf == 0 || now.Since(n.freshAsOf) > staleAge || !n.majority(now, silentMajorityAge) || n.behind != 0 && now.Since(n.behind) > behindAge
}

// lag notes since when a newer manifest is known of here than the one held.
func (n *Node) lag(now monotime.Time) {
	switch {
	case n.heldEpoch() >= n.Epoch:
		n.behind = 0
	case n.behind == 0:
		n.behind = now
	}
}

// heldEpoch is the epoch of the manifest that this core hands out, 0 if it has none.
func (n *Node) heldEpoch() ident.Epoch {
	if m := n.Leases.InForce(); m != nil {
		return m.Epoch
	}
	return 0
}

// StaleAt is the same for those who ask.
func (n *Node) StaleAt(now monotime.Time) bool { return n.stale(now) }

// Stale is the same as of the last tick; that it changed is news to those who follow.
func (n *Node) Stale() bool { return n.wasStale }

// Renew takes a sidecar's renewal.
func (n *Node) Renew(now monotime.Time, r record.Renewal) (record.Renewed, Effects, *failure.Error) {
	got, d := n.Leases.Renew(now, r)
	if d != nil {
		return record.Renewed{}, Effects{}, d
	}
	return record.Renewed{Want: got.Want, Took: n.Leases.AcknowledgedRenewal(r.Node, n.Turn()), Members: n.Leases.Live(), Leaving: n.leaving,
		Stale: n.stale(now)}, Effects{Changed: got.Fresh}, nil
}

// Places lists the cores that this one stands for, with their districts.
func (n *Node) Places(now monotime.Time) []record.Place {
	var out []record.Place
	for _, a := range n.Fresh(now) {
		at := record.Place{Addr: a}
		if p := n.peers[a]; p != nil {
			at.District = p.hello.District
		} else if a == n.boot.Addr {
			at.District = n.boot.District
		}
		out = append(out, at)
	}
	return out
}
