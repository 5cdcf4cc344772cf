// Package configcache prevents a restarted sidecar from enforcing a configuration that is older than
// a configuration that its machine enforced before the restart, even while no core is reachable. A
// sidecar has no disk, so its peers hold the configuration: before a sidecar enforces a new
// configuration, some of its peers must have acknowledged that they hold the configuration, and a
// restarted sidecar asks its peers.
package configcache

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

const (
	// RequiredAcks is how many peers must acknowledge a configuration before it is enforced.
	RequiredAcks = 3
	// MaxNotifiedPeers is how many peers at most are notified of a new configuration.
	MaxNotifiedPeers = 5
	// ackTimeout bounds the wait for the acknowledgements of the notified peers, because peers may
	// be down or unreachable.
	ackTimeout = 300 * time.Millisecond
	// PeerFetchDelay is the delay after which a notified sidecar fetches the configuration from the
	// peer that sent the notification, if no core has delivered the configuration by then.
	PeerFetchDelay = 40 * time.Millisecond
	// peerAnswerWindow is how long a sidecar that has not joined collects answers of its peers
	// before the sidecar accepts a configuration from them.
	peerAnswerWindow = 600 * time.Millisecond
	// coreSilenceTimeout is the time without contact to any core after which a sidecar asks its
	// peers. askPeersBeforeJoinDelay is the time after the start at which a sidecar that has not
	// joined does so.
	coreSilenceTimeout      = 700 * time.Millisecond
	askPeersBeforeJoinDelay = 200 * time.Millisecond
	// fetchDelay is how long the configuration of a revision that a peer or core has announced may
	// take to arrive before peers are asked for the configuration.
	fetchDelay = 250 * time.Millisecond
)

// pendingConfig is a configuration that this sidecar holds and does not enforce yet.
type pendingConfig struct {
	config      *validation.Config
	addedAt     monotime.Time
	acks        int // peers that acknowledged the configuration
	outstanding int // notified peers that have neither answered nor failed
}

// ready reports whether enough peers hold the configuration, all notified peers have answered or
// failed, or ackTimeout is over.
func (p *pendingConfig) ready(now monotime.Time) bool {
	return p.acks >= RequiredAcks || p.outstanding <= 0 || now.Since(p.addedAt) >= ackTimeout
}

// Cache decides which configuration a sidecar may enforce. Cache reads no clock and does no I/O.
//
// Invariants: newestKnown never decreases and is at least as new as every revision that this sidecar
// enforces. A revision is enforced only once RequiredAcks peers hold its configuration, all notified
// peers have answered or failed, or ackTimeout is over. While this sidecar has not joined, the
// sidecar enforces no revision older than the newest revision known to any peer that answered.
//
// A newer revision never extends the wait of an older one, so frequent changes don't delay
// activation: once this sidecar has joined, at most twice ackTimeout after a revision was added,
// that revision or a newer one may be enforced. The oldest pending configuration stays pending until
// its wait is over; a second pending configuration may be replaced by a newer one.
type Cache struct {
	newestKnown     ident.ConfigRevision // the newest revision that some sidecar is known to hold
	newestConfirmed ident.ConfigRevision // the newest revision that a core reported as confirmed
	newestAdded     ident.ConfigRevision // the newest revision whose configuration was added
	// missingSince is when a revision above newestAdded became known, or 0 if no such revision is
	// known. Adding any newer configuration resets missingSince.
	missingSince monotime.Time
	// oldest and newest are the pending configurations; newest is nil unless two configurations are
	// pending.
	oldest, newest *pendingConfig
	// startedAt and joinedPeers are used only until this sidecar has joined.
	startedAt   monotime.Time
	joined      bool // a core has admitted this sidecar
	joinedPeers int  // number of answers from peers that have joined
	// Disabled violates the invariants: no peer is notified, and the configuration of any peer is
	// accepted. Only tests that verify that the checkers detect a fault set Disabled.
	Disabled bool
	// ExtendWait makes a newer revision extend the wait of an older one. Only tests that verify
	// that the checkers detect a fault set ExtendWait.
	ExtendWait bool
}

// New returns the cache of a sidecar that starts now.
func New(now monotime.Time) *Cache { return &Cache{startedAt: now} }

// NewestKnown returns the newest revision that some sidecar is known to hold.
func (c *Cache) NewestKnown() ident.ConfigRevision { return c.newestKnown }

// ObservePeer records that a peer holds the configuration of a revision and may enforce that
// revision soon.
func (c *Cache) ObservePeer(now monotime.Time, revision ident.ConfigRevision) {
	c.newestKnown = max(c.newestKnown, revision)
	c.updateMissingSince(now)
}

// ObserveCore records that a core reported a revision as confirmed. The report does not prevent the
// enforcement of older revisions. If the configuration does not arrive in time, peers are asked for
// the configuration.
func (c *Cache) ObserveCore(now monotime.Time, revision ident.ConfigRevision) {
	c.newestConfirmed = max(c.newestConfirmed, revision)
	c.updateMissingSince(now)
}

// updateMissingSince updates missingSince. A still newer revision does not change the time that was
// recorded for a missing revision.
func (c *Cache) updateMissingSince(now monotime.Time) {
	switch missing := max(c.newestKnown, c.newestConfirmed) > c.newestAdded; {
	case !missing:
		c.missingSince = 0
	case c.missingSince == 0:
		c.missingSince = now
	}
}

// MarkJoined records that a core has admitted this sidecar. From then on, attempt.Planner's minimum
// revision, which a majority of the cores reported, prevents the enforcement of older revisions.
func (c *Cache) MarkJoined() { c.joined = true }

// HandlePeerAnswer processes the answer of a peer while this sidecar has not joined. Only a peer that
// has joined can know which revision was enforced before.
func (c *Cache) HandlePeerAnswer(now monotime.Time, newestKnown ident.ConfigRevision, joined bool) {
	c.ObservePeer(now, newestKnown)
	if joined {
		c.joinedPeers++
	}
}

// AcceptsPeerConfig reports whether this sidecar may accept a configuration from peers.
func (c *Cache) AcceptsPeerConfig(now monotime.Time) bool {
	return c.joined || c.Disabled || c.joinedPeers > 0 && now.Since(c.startedAt) >= peerAnswerWindow
}

// ShouldAskPeers reports whether this sidecar should ask peers for a configuration: no core was
// reachable for a while, or a revision newer than any added configuration is known and no newer
// configuration was added for fetchDelay.
func (c *Cache) ShouldAskPeers(now, lastCoreContact monotime.Time) bool {
	if !c.joined {
		return now.Since(c.startedAt) >= askPeersBeforeJoinDelay
	}
	return c.missingSince != 0 && now.Since(c.missingSince) >= fetchDelay || c.CoresSilent(now, lastCoreContact)
}

// CoresSilent reports whether no core was reachable for coreSilenceTimeout, or this sidecar has not
// joined. The sidecar then asks peers for their registry too.
func (c *Cache) CoresSilent(now, lastCoreContact monotime.Time) bool {
	return !c.joined || now.Since(lastCoreContact) >= coreSilenceTimeout
}

// NewestHeld returns the newest revision whose configuration this sidecar holds, active or pending.
func (c *Cache) NewestHeld(active ident.ConfigRevision) ident.ConfigRevision {
	if pending := c.Pending(); pending != nil {
		return max(active, pending.Revision)
	}
	return active
}

// Pending returns the newest pending configuration, nil if there is none.
func (c *Cache) Pending() *validation.Config {
	switch {
	case c.newest != nil:
		return c.newest.config
	case c.oldest != nil:
		return c.oldest.config
	}
	return nil
}

// IsPending reports whether the configuration of a revision is pending.
func (c *Cache) IsPending(revision ident.ConfigRevision) bool { return c.find(revision) != nil }

// find returns the pending configuration of a revision, nil if there is none.
func (c *Cache) find(revision ident.ConfigRevision) *pendingConfig {
	for _, held := range []*pendingConfig{c.oldest, c.newest} {
		if held != nil && held.config.Revision == revision {
			return held
		}
	}
	return nil
}

// Add makes a confirmed configuration pending, unless a configuration of the same or a newer revision
// is held. peers is the number of peers, of which at most MaxNotifiedPeers will be notified. Add
// reports whether the caller has to notify peers of the configuration now.
func (c *Cache) Add(now monotime.Time, config *validation.Config, active ident.ConfigRevision, peers int) bool {
	if config.Revision <= c.NewestHeld(active) {
		return false
	}
	c.newestAdded, c.missingSince = config.Revision, 0
	c.ObservePeer(now, config.Revision)
	held := &pendingConfig{config: config, addedAt: now, outstanding: min(peers, MaxNotifiedPeers)}
	if c.oldest == nil || c.ExtendWait {
		c.oldest = held
	} else {
		c.newest = held
	}
	return !c.Disabled
}

// HandleAck processes the result of notifying one peer of a revision; ok means that the peer holds
// the configuration.
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

// TakeReady returns the newest configuration that may be enforced now, nil if there is none. The
// returned configuration and any older one are no longer pending afterwards.
func (c *Cache) TakeReady(now monotime.Time) *validation.Config {
	switch {
	case c.oldest == nil:
		return nil
	case c.Disabled:
		return c.removePending(c.Pending())
	case !c.joined:
		return c.takeBeforeJoin(now)
	case c.newest != nil && c.newest.ready(now):
		return c.removePending(c.newest.config)
	case c.oldest.ready(now):
		return c.removePending(c.oldest.config)
	}
	return nil
}

// takeBeforeJoin is TakeReady while this sidecar has not joined. The pending configuration came from
// a peer, which holds the configuration too, so no acknowledgements are needed.
func (c *Cache) takeBeforeJoin(now monotime.Time) *validation.Config {
	config := c.Pending()
	if config.Revision < c.newestKnown || !c.AcceptsPeerConfig(now) {
		return nil
	}
	return c.removePending(config)
}

// removePending removes a configuration and any older one from the pending configurations.
func (c *Cache) removePending(config *validation.Config) *validation.Config {
	if config != c.oldest.config || c.newest == nil {
		c.oldest, c.newest = nil, nil
		return config
	}
	c.oldest, c.newest = c.newest, nil
	return config
}

// Describe returns the state as text, for diagnostics.
func (c *Cache) Describe() string {
	pending := ident.ConfigRevision(0)
	if config := c.Pending(); config != nil {
		pending = config.Revision
	}
	return fmt.Sprintf("newest known %d, pending %d, joined %v, joined peers %d", c.newestKnown, pending, c.joined, c.joinedPeers)
}
