// Package configcache keeps a restarted sidecar from enforcing a configuration that is older than
// one that its machine enforced before, also while no core can be reached. A sidecar has no disk,
// so its peers hold the configuration for it: before a sidecar enforces a new one, some of its
// peers must have acknowledged that they hold it, and a restarted sidecar asks its peers.
package configcache

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

const (
	// RequiredAcks is how many peers must hold a configuration before it is enforced.
	RequiredAcks = 3
	// MaxNotified is how many peers are notified of a new configuration at once.
	MaxNotified = 5
	// ackTimeout bounds the wait for their acknowledgements: peers may be down or cut off.
	ackTimeout = 300 * time.Millisecond
	// PullDelay is after how long a notified peer fetches the configuration from the peer that
	// notified it, if it has not come from a core by then.
	PullDelay = 40 * time.Millisecond
	// listenBeforeTrust is for how long a sidecar that has not joined collects answers of its
	// peers before it takes a configuration from them.
	listenBeforeTrust = 600 * time.Millisecond
	// coreSilenceTimeout is how long a sidecar goes without any core before it asks its peers,
	// and joinTimeout the same for one that has not joined.
	coreSilenceTimeout = 700 * time.Millisecond
	joinTimeout        = 200 * time.Millisecond
	// fetchDelay is how long after a peer or core has announced a revision its configuration may
	// take to arrive before peers are asked for it.
	fetchDelay = 250 * time.Millisecond
)

// Cache decides which configuration a sidecar may enforce. It reads no clock and does no I/O.
// Invariants: newestKnown never falls and is at least every revision enforced here; a revision is
// enforced only once RequiredAcks peers hold its configuration, or all that were notified have
// answered or failed, or ackTimeout is over; while this sidecar has not joined, it enforces
// nothing older than what any peer that answered knows of.
type Cache struct {
	newestKnown       ident.ConfigRevision // the newest revision that some sidecar is known to hold
	newestKnownAt     monotime.Time
	newestConfirmed   ident.ConfigRevision // the newest revision that a core reported as confirmed
	newestConfirmedAt monotime.Time
	pending           *validation.Config // held and not enforced yet
	pendingSince      monotime.Time
	acks              int // peers that acknowledged pending
	outstanding       int // peers that were notified of pending and have not answered
	// startedAt and joinedPeers are of use until this sidecar has joined.
	startedAt   monotime.Time
	joined      bool // a core has let this sidecar in
	joinedPeers int  // answers of peers that have joined themselves
	// Disabled breaks the rule: no peer is notified and all are trusted; only tests of the
	// checkers set it.
	Disabled bool
}

// New makes the cache of a sidecar that starts now.
func New(now monotime.Time) *Cache { return &Cache{startedAt: now} }

// NewestKnown is the newest revision that some sidecar holds, as far as this one knows.
func (c *Cache) NewestKnown() ident.ConfigRevision { return c.newestKnown }

// ObservePeer notes that a peer holds the configuration of a revision, and may enforce it soon.
func (c *Cache) ObservePeer(now monotime.Time, revision ident.ConfigRevision) {
	if revision > c.newestKnown {
		c.newestKnown, c.newestKnownAt = revision, now
	}
}

// ObserveCore notes that a core reported a revision as confirmed. This does not keep older ones from
// being enforced; if the configuration does not come from that core in time, peers are asked for
// it.
func (c *Cache) ObserveCore(now monotime.Time, revision ident.ConfigRevision) {
	if revision > c.newestConfirmed {
		c.newestConfirmed, c.newestConfirmedAt = revision, now
	}
}

// MarkJoined notes that a core has let this sidecar in. From then on the minimum revision of
// attempt.Planner, which a majority of the cores gave, keeps older ones from being enforced.
func (c *Cache) MarkJoined() { c.joined = true }

// HandlePeerAnswer takes a peer's answer while this sidecar has not joined. Only a peer that has
// joined itself can know what was enforced before.
func (c *Cache) HandlePeerAnswer(now monotime.Time, newestKnown ident.ConfigRevision, joined bool) {
	c.ObservePeer(now, newestKnown)
	if joined {
		c.joinedPeers++
	}
}

// TrustsPeers reports whether a configuration may be taken from peers.
func (c *Cache) TrustsPeers(now monotime.Time) bool {
	return c.joined || c.Disabled || c.joinedPeers > 0 && now.Since(c.startedAt) >= listenBeforeTrust
}

// ShouldAskPeers reports whether peers are to be asked for a configuration: no core could be
// reached for a while, or a newer revision than the active one is known and its configuration does
// not come.
func (c *Cache) ShouldAskPeers(now, lastCoreContact monotime.Time, active ident.ConfigRevision) bool {
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

// CoresSilent reports whether no core could be reached for a while, or this sidecar has not joined:
// peers are then asked for their registry too.
func (c *Cache) CoresSilent(now, lastCoreContact monotime.Time) bool {
	return !c.joined || now.Since(lastCoreContact) >= coreSilenceTimeout
}

// NewestHeld is the newest revision whose configuration is here, active or pending.
func (c *Cache) NewestHeld(active ident.ConfigRevision) ident.ConfigRevision {
	if c.pending != nil {
		return max(active, c.pending.Revision)
	}
	return active
}

// Pending is the configuration that is held and not enforced yet, nil if there is none.
func (c *Cache) Pending() *validation.Config { return c.pending }

// Add takes a confirmed configuration. It reports whether peers are to be notified of it now; peers
// is how many there are, of whom at most MaxNotified will be.
func (c *Cache) Add(now monotime.Time, config *validation.Config, active ident.ConfigRevision, peers int) bool {
	if config.Revision <= active || c.pending != nil && config.Revision <= c.pending.Revision {
		return false
	}
	c.ObservePeer(now, config.Revision)
	c.pending, c.pendingSince, c.acks, c.outstanding = config, now, 0, min(peers, MaxNotified)
	return !c.Disabled
}

// HandleAck takes the result of notifying one peer of a revision; ok says that the peer holds the
// configuration.
func (c *Cache) HandleAck(revision ident.ConfigRevision, ok bool) {
	if c.pending == nil || c.pending.Revision != revision {
		return
	}
	c.outstanding--
	if ok {
		c.acks++
	}
}

// TakeReady returns the configuration that may be enforced now, nil if there is none. It is no
// longer pending then.
func (c *Cache) TakeReady(now monotime.Time) *validation.Config {
	config := c.pending
	switch {
	case config == nil:
		return nil
	case c.Disabled:
	case !c.joined: // it came from a peer, which holds it: no acknowledgements are needed
		if config.Revision < c.newestKnown || !c.TrustsPeers(now) {
			return nil
		}
	case c.acks < RequiredAcks && c.outstanding > 0 && now.Since(c.pendingSince) < ackTimeout:
		return nil
	}
	c.pending = nil
	return config
}

// Describe returns the state as text, for traces.
func (c *Cache) Describe() string {
	pending := ident.ConfigRevision(0)
	if c.pending != nil {
		pending = c.pending.Revision
	}
	return fmt.Sprintf("newest known %d, pending %d, joined %v, joined peers %d", c.newestKnown, pending, c.joined, c.joinedPeers)
}
