package configcache

import (
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/meshtest"
	"github.com/shoenig/test/must"
)

func at(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

// sidecar is a sidecar of the model: its cache and the revision that it enforces.
type sidecar struct {
	*Cache
	active ident.ConfigRevision
}

func newSidecar(now monotime.Time, disabled bool) *sidecar {
	s := &sidecar{Cache: New(now)}
	s.Disabled = disabled
	return s
}

// joinedSidecar makes a sidecar that enforces revision 1.
func joinedSidecar(now monotime.Time, disabled bool) *sidecar {
	s := newSidecar(now, disabled)
	s.MarkJoined()
	s.receive(now, 1, 0)
	return s
}

// activate enforces the configuration that is ready, if there is one.
func (s *sidecar) activate(now monotime.Time) {
	if config := s.TakeReady(now); config != nil && config.Revision > s.active {
		s.active = config.Revision
	}
}

func (s *sidecar) receive(now monotime.Time, revision ident.ConfigRevision, peers int) {
	s.Add(now, &validation.Config{Revision: revision}, s.active, peers)
	s.activate(now)
}

const restartPeers = 3

// restart is the model of TestAllOrdersOfARestartBesideAnIsolatedCore.
type restart struct {
	now             monotime.Time
	disabled        bool
	sidecar         *sidecar // the one that is restarted
	peers           [restartPeers]*sidecar
	notified, acked [restartPeers]bool
	restarted       bool
	activeBefore    ident.ConfigRevision // what it enforced when it ended
}

func newRestart(disabled bool) *restart {
	m := &restart{now: at(0), disabled: disabled, sidecar: joinedSidecar(at(0), disabled)}
	for i := range m.peers {
		m.peers[i] = joinedSidecar(m.now, disabled)
	}
	m.sidecar.receive(m.now, 2, restartPeers)
	return m
}

// step takes one of the messages: 0 to 2 notify a peer, 3 to 5 bring its acknowledgement, 6
// restarts the sidecar.
func (m *restart) step(step int) {
	m.now = m.now.Add(time.Millisecond)
	switch i := step % restartPeers; {
	case step < restartPeers:
		if m.notified[i] = !m.restarted; m.notified[i] {
			m.peers[i].ObservePeer(m.now, 2)
			m.peers[i].receive(m.now, 2, 0)
		}
	case step < 2*restartPeers:
		if m.acked[i] = m.notified[i] && !m.restarted; m.acked[i] {
			m.sidecar.HandleAck(2, true)
			m.sidecar.activate(m.now)
		}
	default:
		m.activeBefore, m.restarted = m.sidecar.active, true
		m.sidecar = newSidecar(m.now, m.disabled)
	}
}

// askPeers lets the restarted sidecar ask its peers until it enforces something.
func (m *restart) askPeers() {
	for d := time.Duration(0); d <= 2*listenBeforeTrust; d += listenBeforeTrust / 4 {
		for _, peer := range m.peers {
			m.sidecar.HandlePeerAnswer(m.now.Add(d), peer.NewestKnown(), true)
			if m.sidecar.AcceptsPeerConfig(m.now.Add(d)) {
				m.sidecar.receive(m.now.Add(d), max(peer.active, peer.NewestHeld(peer.active)), 0)
			}
		}
		if m.sidecar.active > 0 {
			return
		}
	}
}

// runRestart takes the messages in an order and gives what the sidecar enforced before and after its
// restart.
func runRestart(order []int, disabled bool) (before, after ident.ConfigRevision) {
	m := newRestart(disabled)
	for _, step := range order {
		m.step(step)
	}
	m.askPeers()
	return m.activeBefore, m.sidecar.active
}

// The core gives revision 2 to one sidecar alone and is cut off from all. The sidecar notifies three
// peers, whose acknowledgements come back; it restarts, and then asks the three. In every order of
// these seven messages it enforces nothing older after its restart than before, and in the end it
// enforces something.
func TestAllOrdersOfARestartBesideAnIsolatedCore(t *testing.T) {
	regressions, orders, newerActive := 0, 0, 0
	for _, order := range meshtest.Permutations(2*restartPeers + 1) {
		before, after := runRestart(order, false)
		orders++
		must.GreaterEq(t, before, after, must.Sprintf("order %v: enforced %d, then %d", order, before, after))
		must.Positive(t, after)
		if before == 2 {
			newerActive++
		}
		if before, after := runRestart(order, true); after < before {
			regressions++
		}
	}
	must.Eq(t, 5040, orders)
	must.Positive(t, newerActive, must.Sprint("no order in which revision 2 is enforced before the restart"))
	must.Positive(t, regressions, must.Sprint("no order in which the revision falls without the rule"))
	t.Logf("%d orders: in %d revision 2 was enforced before the restart, in %d the revision falls without the rule", orders,
		newerActive, regressions)
}

// Peers that are out of reach delay nothing for longer than ackTimeout; a sidecar that no joined peer
// answers enforces nothing until a core lets it in.
func TestAckTimeoutEndsAndNobodyIsTrusted(t *testing.T) {
	cache := New(at(0))
	cache.MarkJoined()
	must.True(t, cache.Add(at(0), &validation.Config{Revision: 5}, 0, 9))
	must.Nil(t, cache.TakeReady(at(ackTimeout-time.Millisecond)))
	must.NotNil(t, cache.TakeReady(at(ackTimeout)))
	for _, joined := range []bool{false, true} {
		cache = New(at(0))
		cache.HandlePeerAnswer(at(0), 5, joined)
		cache.Add(at(0), &validation.Config{Revision: 5}, 0, 0)
		must.Nil(t, cache.TakeReady(at(listenBeforeTrust-1)))
		must.Eq(t, joined, cache.TakeReady(at(listenBeforeTrust)) != nil, must.Sprint("a joined peer answered: ", joined))
	}
}

// A newer revision that a core confirmed makes a sidecar ask its peers if the configuration has not
// come after fetchDelay, and not before; it does not raise newestKnown.
func TestPeersAreAskedForWhatACoreConfirmed(t *testing.T) {
	cache := New(at(0))
	cache.MarkJoined()
	coreContact := at(10 * time.Second)
	cache.ObserveCore(coreContact, 4)
	must.False(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay-1), coreContact))
	must.True(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact))
	must.Eq(t, ident.ConfigRevision(0), cache.NewestKnown())
	cache.ObserveCore(coreContact.Add(fetchDelay), 4) // repeated: the time of the first counts
	must.True(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact))
	cache.Add(coreContact.Add(fetchDelay), &validation.Config{Revision: 4}, 3, 5)
	must.False(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact.Add(fetchDelay)))
}

// Changes that follow quickly while peers are silent (they left, or are dark): a revision is in force
// at most two waits after it came, however soon the next one comes. Guards against a wait that each
// newer revision starts anew, so that nothing comes into force as long as changes keep coming.
func TestQuickChangesDoNotHoldUpActivation(t *testing.T) {
	const changesFor, step = 8 * time.Second, 10 * time.Millisecond
	for _, gap := range []time.Duration{step, 80 * time.Millisecond, ackTimeout - step, ackTimeout, ackTimeout + step} {
		for answering := range RequiredAcks {
			s := joinedSidecar(at(0), false)
			added := map[ident.ConfigRevision]time.Duration{1: 0}
			newest := ident.ConfigRevision(1)
			for elapsed := step; elapsed <= changesFor; elapsed += step {
				if elapsed%gap == 0 {
					newest++
					added[newest] = elapsed
					s.receive(at(elapsed), newest, MaxNotifiedPeers)
					for range answering {
						s.HandleAck(newest, true)
					}
				}
				s.activate(at(elapsed))
				must.Less(t, 2*ackTimeout+step, elapsed-added[min(s.active+1, newest)], must.Sprintf(
					"a change every %v, %d peers answer: at %v revision %d is in force, %d is not", gap, answering, elapsed, s.active, s.active+1))
			}
		}
	}
}

// Peers that answer let the newest configuration come into force at once, past an older one that
// still waits for a silent peer; what they say of the older one then changes nothing.
func TestNewestConfigurationPassesAnOlderOneThatWaits(t *testing.T) {
	s := joinedSidecar(at(0), false)
	s.receive(at(0), 2, MaxNotifiedPeers)
	s.receive(at(10*time.Millisecond), 3, MaxNotifiedPeers)
	for range RequiredAcks {
		s.HandleAck(3, true)
	}
	s.activate(at(20 * time.Millisecond))
	must.Eq(t, ident.ConfigRevision(3), s.active)
	must.Nil(t, s.Pending())
	for range MaxNotifiedPeers {
		s.HandleAck(2, true)
	}
	s.activate(at(30 * time.Millisecond))
	must.Eq(t, ident.ConfigRevision(3), s.active)
}

// No configuration comes while cores and peers tell of ever newer revisions: after fetchDelay peers are
// asked. Guards against a time that each newer revision starts anew, so that a sidecar whose fetch
// from a core hangs asks nobody else as long as changes keep coming.
func TestPeersAreAskedWhileNewerRevisionsKeepComing(t *testing.T) {
	const gap = 80 * time.Millisecond
	for name, observe := range map[string]func(*Cache, monotime.Time, ident.ConfigRevision){
		"from a core":    (*Cache).ObserveCore,
		"from the peers": (*Cache).ObservePeer,
	} {
		cache := New(at(0))
		cache.MarkJoined()
		revision := ident.ConfigRevision(1)
		cache.Add(at(0), &validation.Config{Revision: revision}, 0, 0)
		missingFor := func(elapsed time.Duration) bool { return cache.ShouldAskPeers(at(elapsed), at(elapsed)) }
		for elapsed := gap; elapsed < gap+fetchDelay; elapsed += gap {
			revision++
			observe(cache, at(elapsed), revision)
			must.False(t, missingFor(elapsed), must.Sprint(name, " after ", elapsed))
		}
		must.True(t, missingFor(gap+fetchDelay), must.Sprint(name))
		cache.Add(at(gap+fetchDelay), &validation.Config{Revision: revision - 1}, 1, 0)
		must.False(t, missingFor(gap+fetchDelay), must.Sprint(name, ": one that is newer has come"))
		must.True(t, missingFor(gap+2*fetchDelay), must.Sprint(name, ": the newest has not"))
	}
}
