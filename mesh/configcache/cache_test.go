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

// sidecar is a sidecar of the model: its cache and the active revision.
type sidecar struct {
	*Cache
	active ident.ConfigRevision
}

func newSidecar(now monotime.Time, disabled bool) *sidecar {
	s := &sidecar{Cache: New(now)}
	s.Disabled = disabled
	return s
}

// newJoinedSidecar returns a sidecar that has joined and enforces revision 1.
func newJoinedSidecar(now monotime.Time, disabled bool) *sidecar {
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

// restartModel is the model of TestRestartNeverRegressesConfigInAnyMessageOrder.
type restartModel struct {
	now             monotime.Time
	disabled        bool
	sidecar         *sidecar // the sidecar that restarts
	peers           [restartPeers]*sidecar
	notified, acked [restartPeers]bool
	restarted       bool
	activeBefore    ident.ConfigRevision // the active revision just before the restart
}

func newRestartModel(disabled bool) *restartModel {
	m := &restartModel{now: at(0), disabled: disabled, sidecar: newJoinedSidecar(at(0), disabled)}
	for i := range m.peers {
		m.peers[i] = newJoinedSidecar(m.now, disabled)
	}
	m.sidecar.receive(m.now, 2, restartPeers)
	return m
}

// step executes one of the seven steps: 0 to 2 notify a peer, 3 to 5 deliver the acknowledgement of
// that peer, 6 restarts the sidecar.
func (m *restartModel) step(step int) {
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

// askPeers lets the restarted sidecar ask its peers until the sidecar enforces a configuration.
func (m *restartModel) askPeers() {
	for d := time.Duration(0); d <= 2*peerAnswerWindow; d += peerAnswerWindow / 4 {
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

// runRestart executes the steps in the given order and returns the revisions that the sidecar
// enforced before and after its restart.
func runRestart(order []int, disabled bool) (before, after ident.ConfigRevision) {
	m := newRestartModel(disabled)
	for _, step := range order {
		m.step(step)
	}
	m.askPeers()
	return m.activeBefore, m.sidecar.active
}

// A core delivers revision 2 to a single sidecar and is then cut off from all sidecars. The sidecar
// notifies three peers, which acknowledge; the sidecar restarts and asks the three peers. In every
// order of these seven steps, the sidecar enforces no older revision after its restart than before,
// and in the end it enforces a revision.
func TestRestartNeverRegressesConfigInAnyMessageOrder(t *testing.T) {
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
	must.Positive(t, regressions, must.Sprint("no order in which the active revision decreases with Disabled set"))
	t.Logf("%d orders: in %d revision 2 was enforced before the restart, in %d the active revision decreases with Disabled set", orders,
		newerActive, regressions)
}

// Unreachable peers delay a configuration by at most ackTimeout. A sidecar that gets no answer from a
// joined peer enforces no configuration until a core admits the sidecar.
func TestAckTimeoutAndTrustOfPeersBeforeJoin(t *testing.T) {
	cache := New(at(0))
	cache.MarkJoined()
	must.True(t, cache.Add(at(0), &validation.Config{Revision: 5}, 0, 9))
	must.Nil(t, cache.TakeReady(at(ackTimeout-time.Millisecond)))
	must.NotNil(t, cache.TakeReady(at(ackTimeout)))
	for _, joined := range []bool{false, true} {
		cache = New(at(0))
		cache.HandlePeerAnswer(at(0), 5, joined)
		cache.Add(at(0), &validation.Config{Revision: 5}, 0, 0)
		must.Nil(t, cache.TakeReady(at(peerAnswerWindow-1)))
		must.Eq(t, joined, cache.TakeReady(at(peerAnswerWindow)) != nil, must.Sprint("a joined peer answered: ", joined))
	}
}

// If the configuration of a newer confirmed revision has not arrived after fetchDelay, the sidecar
// asks its peers, and not earlier. The confirmed revision does not raise newestKnown.
func TestPeersAreAskedForConfirmedRevision(t *testing.T) {
	cache := New(at(0))
	cache.MarkJoined()
	coreContact := at(10 * time.Second)
	cache.ObserveCore(coreContact, 4)
	must.False(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay-1), coreContact))
	must.True(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact))
	must.Eq(t, ident.ConfigRevision(0), cache.NewestKnown())
	cache.ObserveCore(coreContact.Add(fetchDelay), 4) // repeated: the time of the first report counts
	must.True(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact))
	cache.Add(coreContact.Add(fetchDelay), &validation.Config{Revision: 4}, 3, 5)
	must.False(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact.Add(fetchDelay)))
}

// Changes follow each other quickly while some peers don't answer, because the peers have left or
// are unreachable: at most twice ackTimeout after a revision arrived, that revision or a newer one
// is active, however soon the next revision arrives. Guards against a wait that each newer revision
// restarts, so that no revision becomes active as long as changes keep arriving.
func TestFrequentChangesDoNotDelayActivation(t *testing.T) {
	const changesFor, step = 8 * time.Second, 10 * time.Millisecond
	for _, gap := range []time.Duration{step, 80 * time.Millisecond, ackTimeout - step, ackTimeout, ackTimeout + step} {
		for answering := range RequiredAcks {
			s := newJoinedSidecar(at(0), false)
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
					"a change every %v, %d peers answer: at %v revision %d is active, %d is not", gap, answering, elapsed, s.active, s.active+1))
			}
		}
	}
}

// Once enough peers acknowledge the newest configuration, that configuration becomes active at once,
// before an older one that still waits for a silent peer. Later acknowledgements of the older
// configuration then change nothing.
func TestNewestConfigOvertakesPendingOlderConfig(t *testing.T) {
	s := newJoinedSidecar(at(0), false)
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

// No configuration arrives while cores and peers announce ever newer revisions: after fetchDelay,
// the sidecar asks its peers. Guards against a delay that each newer revision restarts, so that a
// sidecar whose fetch from a core hangs asks no peer as long as changes keep arriving.
func TestPeersAreAskedWhileNewerRevisionsKeepArriving(t *testing.T) {
	const gap = 80 * time.Millisecond
	for name, observe := range map[string]func(*Cache, monotime.Time, ident.ConfigRevision){
		"from a core":    (*Cache).ObserveCore,
		"from the peers": (*Cache).ObservePeer,
	} {
		cache := New(at(0))
		cache.MarkJoined()
		revision := ident.ConfigRevision(1)
		cache.Add(at(0), &validation.Config{Revision: revision}, 0, 0)
		asksPeersAt := func(elapsed time.Duration) bool { return cache.ShouldAskPeers(at(elapsed), at(elapsed)) }
		for elapsed := gap; elapsed < gap+fetchDelay; elapsed += gap {
			revision++
			observe(cache, at(elapsed), revision)
			must.False(t, asksPeersAt(elapsed), must.Sprint(name, " after ", elapsed))
		}
		must.True(t, asksPeersAt(gap+fetchDelay), must.Sprint(name))
		cache.Add(at(gap+fetchDelay), &validation.Config{Revision: revision - 1}, 1, 0)
		must.False(t, asksPeersAt(gap+fetchDelay), must.Sprint(name, ": a newer configuration was added"))
		must.True(t, asksPeersAt(gap+2*fetchDelay), must.Sprint(name, ": the configuration of the newest revision is still missing"))
	}
}
