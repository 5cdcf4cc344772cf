// Package configcache keeps a sidecar that was started anew from showing a manifest below
// one that its machine showed before, while no core can be asked. A sidecar has no disk,
// so its peers remember for it.
package configcache

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

const (
	// RequiredAcks is how many peers must hold a manifest before it is shown.
	RequiredAcks = 3
	// MaxNotified is how many are told at once.
	MaxNotified = 5
	// ackTimeout bounds the wait for them: peers may be down or cut off.
	ackTimeout = 300 * time.Millisecond
	// PullDelay is after how long a peer that was told takes the manifest from who told it,
	// when it has not come by itself.
	PullDelay = 40 * time.Millisecond
	// listenBeforeTrust is how long a sidecar that no core let in listens to its peers before it
	// believes them.
	listenBeforeTrust = 600 * time.Millisecond
	// coreSilenceTimeout is how long a sidecar goes without any core before it asks peers, and
	// strange is the same for one that no core has let in.
	coreSilenceTimeout = 700 * time.Millisecond
	joinTimeout        = 200 * time.Millisecond
	// fetchDelay is how long a peer's word of a newer epoch may go without the manifest
	// itself before peers are asked for it.
	fetchDelay = 250 * time.Millisecond
)

// Cache is the step function. Invariants: heard never falls and is at least every
// epoch shown here; an epoch is shown only once Need peers hold its manifest, or all that
// were told have ended, or patience is over; while no core has let this sidecar in, it
// shows nothing below what any peer that answered has heard of.
type Cache struct {
	newestKnown       ident.Epoch   // the newest epoch that some sidecar is known to hold
	newestKnownAt     monotime.Time // when heard last rose
	newestConfirmed   ident.Epoch   // the newest epoch that a core said to be confirmed
	newestConfirmedAt monotime.Time // when told last rose
	pending           *validation.Config
	pendingSince      monotime.Time
	acks              int
	outstanding       int
	// Of a sidecar that no core has let in yet.
	startedAt   monotime.Time
	joined      bool
	joinedPeers int // peers with a memory that have answered
	// Disabled breaks the rule: nobody is told and everybody believed; only tests of the
	// checkers set it.
	Disabled bool
}

// New makes one for a sidecar that starts now.
func New(now monotime.Time) *Cache { return &Cache{startedAt: now} }

// NewestKnown is the newest epoch that some sidecar holds, as far as this one knows.
func (c *Cache) NewestKnown() ident.Epoch { return c.newestKnown }

// ObservePeer takes a peer's word that it holds the manifest of an epoch, and may soon show it.
func (c *Cache) ObservePeer(now monotime.Time, revision ident.Epoch) {
	if revision > c.newestKnown {
		c.newestKnown, c.newestKnownAt = revision, now
	}
}

// ObserveCore takes a core's word that an epoch is confirmed. It binds this sidecar to nothing; if
// the manifest does not come from that core soon, peers are asked for it.
func (c *Cache) ObserveCore(now monotime.Time, revision ident.Epoch) {
	if revision > c.newestConfirmed {
		c.newestConfirmed, c.newestConfirmedAt = revision, now
	}
}

// MarkJoined says that a core let this sidecar in; from then on the path's floor, which a
// majority of cores gave, takes care that nothing older is shown.
func (c *Cache) MarkJoined() { c.joined = true }

// HandlePeerAnswer takes a peer's answer to a sidecar that no core has let in; only a peer that was
// let in itself has a memory.
func (c *Cache) HandlePeerAnswer(now monotime.Time, newestKnown ident.Epoch, joined bool) {
	c.ObservePeer(now, newestKnown)
	if joined {
		c.joinedPeers++
	}
}

// TrustsPeers tells whether a manifest may be taken from peers.
func (c *Cache) TrustsPeers(now monotime.Time) bool {
	return c.joined || c.Disabled || c.joinedPeers > 0 && now.Since(c.startedAt) >= listenBeforeTrust
}

// ShouldAskPeers tells whether peers are to be asked: no core was heard for a while, or a newer
// epoch than the one in force was heard of, or told of by a core, and does not come.
func (c *Cache) ShouldAskPeers(now, lastCoreContact monotime.Time, active ident.Epoch) bool {
	if c.newestKnown > active && now.Since(c.newestKnownAt) >= fetchDelay {
		return true
	}
	if c.joined && c.newestConfirmed > c.NewestHeld(active) && now.Since(c.newestConfirmedAt) >= fetchDelay {
		return true
	}
	if !c.joined {
		return now.Since(c.startedAt) >= joinTimeout
	}
	return c.CoresSilent(now, lastCoreContact)
}

// CoresSilent tells whether no core was heard for a while: peers are then asked for their
// registry too.
func (c *Cache) CoresSilent(now, lastCoreContact monotime.Time) bool {
	return !c.joined || now.Since(lastCoreContact) >= coreSilenceTimeout
}

// NewestHeld is the newest epoch whose manifest is here, shown or not yet.
func (c *Cache) NewestHeld(active ident.Epoch) ident.Epoch {
	if c.pending != nil {
		return max(active, c.pending.Revision)
	}
	return active
}

// Pending is the manifest that is held and not shown yet, nil if there is none.
func (c *Cache) Pending() *validation.Config { return c.pending }

// Add takes a confirmed manifest in. It tells whether peers are to be told of it now;
// n is how many will be.
func (c *Cache) Add(now monotime.Time, config *validation.Config, active ident.Epoch, peers int) bool {
	if config.Revision <= active || c.pending != nil && config.Revision <= c.pending.Revision {
		return false
	}
	c.ObservePeer(now, config.Revision)
	c.pending, c.pendingSince, c.acks, c.outstanding = config, now, 0, min(peers, MaxNotified)
	return !c.Disabled
}

// HandleAck takes the end of telling one peer of an epoch.
func (c *Cache) HandleAck(revision ident.Epoch, ok bool) {
	if c.pending == nil || c.pending.Revision != revision {
		return
	}
	c.outstanding--
	if ok {
		c.acks++
	}
}

// TakeReady gives the manifest that may be shown now, nil if there is none.
func (c *Cache) TakeReady(now monotime.Time) *validation.Config {
	config := c.pending
	switch {
	case config == nil:
		return nil
	case c.Disabled:
	case !c.joined: // it came from a peer, who holds it
		if config.Revision < c.newestKnown || !c.TrustsPeers(now) {
			return nil
		}
	case c.acks < RequiredAcks && c.outstanding > 0 && now.Since(c.pendingSince) < ackTimeout:
		return nil
	}
	c.pending = nil
	return config
}

// Describe shows the state, for traces.
func (c *Cache) Describe() string {
	pending := ident.Epoch(0)
	if c.pending != nil {
		pending = c.pending.Revision
	}
	return fmt.Sprintf("heard of %d, holds %d not shown, let in %v, peers with a memory %d", c.newestKnown, pending, c.joined, c.joinedPeers)
}
