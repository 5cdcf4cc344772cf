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
	// MaxNotifiedPeers is how many peers are notified of a new configuration at once.
	MaxNotifiedPeers = 5
	// ackTimeout bounds the wait for their acknowledgements: peers may be down or cut off.
	ackTimeout = 300 * time.Millisecond
	// PeerFetchDelay is after how long a notified peer fetches the configuration from the peer that
	// notified it, if it has not come from a core by then.
	PeerFetchDelay = 40 * time.Millisecond
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

// heldConfig is a configuration that is held here and not enforced yet.
type heldConfig struct {
	config      *validation.Config
	heldSince   monotime.Time
	acks        int // peers that acknowledged it
	outstanding int // peers that were notified of it and have not answered
}

// waitIsOver reports whether enough peers hold the configuration, all have answered or failed, or
// the time for their answers is over.
func (h *heldConfig) waitIsOver(now monotime.Time) bool {
	return h.acks >= RequiredAcks || h.outstanding <= 0 || now.Since(h.heldSince) >= ackTimeout
}

// Cache decides which configuration a sidecar may enforce. It reads no clock and does no I/O.
// Invariants: newestKnown never falls and is at least every revision enforced here; a revision is
// enforced only once RequiredAcks peers hold its configuration, or all that were notified have
// answered or failed, or ackTimeout is over; while this sidecar has not joined, it enforces
// nothing older than what any peer that answered knows of.
//
// Nothing that a newer revision brings extends a wait, so that changes which follow quickly hold up
// nothing: once this sidecar has joined, a revision or a newer one may be enforced at most twice
// ackTimeout after it was added. The oldest configuration that is held waits to its end, and one
// that came meanwhile is replaced only by a newer one.
type Cache struct {
	newestKnown     ident.ConfigRevision // the newest revision that some sidecar is known to hold
	newestConfirmed ident.ConfigRevision // the newest revision that a core reported as confirmed
	newestAdded     ident.ConfigRevision // the newest revision whose configuration has come
	// missingSince is since when a revision above newestAdded is known without any newer
	// configuration having come, 0 if there is none.
	missingSince monotime.Time
	// oldest and newest are the configurations that are held and not enforced yet; newest is nil
	// unless there is a second one.
	oldest, newest *heldConfig
	// startedAt and joinedPeers are of use until this sidecar has joined.
	startedAt   monotime.Time
	joined      bool // a core has let this sidecar in
	joinedPeers int  // answers of peers that have joined themselves
	// Disabled breaks the rule: no peer is notified and all are trusted; only tests of the
	// checkers set it.
	Disabled bool
	// ExtendWait breaks the rule that a newer revision extends no wait; only tests of the checkers
	// set it.
	ExtendWait bool
}

// New makes the cache of a sidecar that starts now.
func New(now monotime.Time) *Cache { return &Cache{startedAt: now} }

// NewestKnown is the newest revision that some sidecar holds, as far as this one knows.
func (c *Cache) NewestKnown() ident.ConfigRevision { return c.newestKnown }

// ObservePeer notes that a peer holds the configuration of a revision, and may enforce it soon.
func (c *Cache) ObservePeer(now monotime.Time, revision ident.ConfigRevision) {
	c.newestKnown = max(c.newestKnown, revision)
	c.noteMissing(now)
}

// ObserveCore notes that a core reported a revision as confirmed. This does not keep older ones from
// being enforced; if the configuration does not come from that core in time, peers are asked for
// it.
func (c *Cache) ObserveCore(now monotime.Time, revision ident.ConfigRevision) {
	c.newestConfirmed = max(c.newestConfirmed, revision)
	c.noteMissing(now)
}

// noteMissing notes since when a newer revision is known than any that has come. A still newer one
// does not change that time.
func (c *Cache) noteMissing(now monotime.Time) {
	switch missing := max(c.newestKnown, c.newestConfirmed) > c.newestAdded; {
	case !missing:
		c.missingSince = 0
	case c.missingSince == 0:
		c.missingSince = now
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

// AcceptsPeerConfig reports whether a configuration may be taken from peers.
func (c *Cache) AcceptsPeerConfig(now monotime.Time) bool {
	return c.joined || c.Disabled || c.joinedPeers > 0 && now.Since(c.startedAt) >= listenBeforeTrust
}

// ShouldAskPeers reports whether peers are to be asked for a configuration: no core could be
// reached for a while, or a newer revision is known than any that has come, and none has come for
// fetchDelay.
func (c *Cache) ShouldAskPeers(now, lastCoreContact monotime.Time) bool {
	if !c.joined {
		return now.Since(c.startedAt) >= joinTimeout
	}
	return c.missingSince != 0 && now.Since(c.missingSince) >= fetchDelay || c.CoresSilent(now, lastCoreContact)
}

// CoresSilent reports whether no core could be reached for a while, or this sidecar has not joined:
// peers are then asked for their registry too.
func (c *Cache) CoresSilent(now, lastCoreContact monotime.Time) bool {
	return !c.joined || now.Since(lastCoreContact) >= coreSilenceTimeout
}

// NewestHeld is the newest revision whose configuration is here, active or pending.
func (c *Cache) NewestHeld(active ident.ConfigRevision) ident.ConfigRevision {
	if pending := c.Pending(); pending != nil {
		return max(active, pending.Revision)
	}
	return active
}

// Pending is the newest configuration that is held and not enforced yet, nil if there is none.
func (c *Cache) Pending() *validation.Config {
	switch {
	case c.newest != nil:
		return c.newest.config
	case c.oldest != nil:
		return c.oldest.config
	}
	return nil
}

// IsPending reports whether the configuration of a revision is held and not enforced yet.
func (c *Cache) IsPending(revision ident.ConfigRevision) bool { return c.find(revision) != nil }

// find returns what is held of a revision, nil if it is not held or was enforced.
func (c *Cache) find(revision ident.ConfigRevision) *heldConfig {
	for _, held := range []*heldConfig{c.oldest, c.newest} {
		if held != nil && held.config.Revision == revision {
			return held
		}
	}
	return nil
}

// Add takes a confirmed configuration. It reports whether peers are to be notified of it now; peers
// is how many there are, of whom at most MaxNotifiedPeers will be.
func (c *Cache) Add(now monotime.Time, config *validation.Config, active ident.ConfigRevision, peers int) bool {
	if config.Revision <= c.NewestHeld(active) {
		return false
	}
	c.newestAdded, c.missingSince = config.Revision, 0
	c.ObservePeer(now, config.Revision)
	held := &heldConfig{config: config, heldSince: now, outstanding: min(peers, MaxNotifiedPeers)}
	if c.oldest == nil || c.ExtendWait {
		c.oldest = held
	} else {
		c.newest = held
	}
	return !c.Disabled
}

// HandleAck takes the result of notifying one peer of a revision; ok says that the peer holds the
// configuration.
func (c *Cache) HandleAck(revision ident.ConfigRevision, ok bool) {
	held := c.find(revision)
	if held == nil {
		return
	}
	held.outstanding--
	if ok {
		held.acks++
	}
}

// TakeReady returns the newest configuration that may be enforced now, nil if there is none. It and
// any older one are no longer pending then.
func (c *Cache) TakeReady(now monotime.Time) *validation.Config {
	switch {
	case c.oldest == nil:
		return nil
	case c.Disabled:
		return c.take(c.Pending())
	case !c.joined:
		return c.takeTrusted(now)
	case c.newest != nil && c.newest.waitIsOver(now):
		return c.take(c.newest.config)
	case c.oldest.waitIsOver(now):
		return c.take(c.oldest.config)
	}
	return nil
}

// takeTrusted is TakeReady while this sidecar has not joined: what it holds came from a peer, which
// holds it too, so no acknowledgements are needed.
func (c *Cache) takeTrusted(now monotime.Time) *validation.Config {
	config := c.Pending()
	if config.Revision < c.newestKnown || !c.AcceptsPeerConfig(now) {
		return nil
	}
	return c.take(config)
}

// take ends the wait of a configuration and of older ones.
func (c *Cache) take(config *validation.Config) *validation.Config {
	if config != c.oldest.config || c.newest == nil {
		c.oldest, c.newest = nil, nil
		return config
	}
	c.oldest, c.newest = c.newest, nil
	return config
}

// Describe returns the state as text, for traces.
func (c *Cache) Describe() string {
	pending := ident.ConfigRevision(0)
	if config := c.Pending(); config != nil {
		pending = config.Revision
	}
	return fmt.Sprintf("newest known %d, pending %d, joined %v, joined peers %d", c.newestKnown, pending, c.joined, c.joinedPeers)
}
