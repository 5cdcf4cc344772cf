package configcache

import (
	"fmt"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"github.com/shoenig/test/must"
)

func at(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

func permutations(n int) [][]int {
	if n == 0 {
		return [][]int{{}}
	}
	var all [][]int
	for _, shorter := range permutations(n - 1) {
		for i := range n {
			all = append(all, append(append(append([]int{}, shorter[:i]...), n-1), shorter[i:]...))
		}
	}
	return all
}

// sidecar is a sidecar of the model: what it shows, what it holds, its witness.
type sidecar struct {
	*Cache
	active ident.Epoch
}

func (s *sidecar) activate(now monotime.Time) {
	if config := s.TakeReady(now); config != nil && config.Revision > s.active {
		s.active = config.Revision
	}
}

func (s *sidecar) receive(now monotime.Time, revision ident.Epoch, peers int) {
	s.Add(now, &validation.Config{Revision: revision}, s.active, peers)
	s.activate(now)
}

// The core gives epoch 2 to x alone and is cut off from all. x tells three peers, whose
// acks come back; x ends and starts anew, and asks the three; one of the peers ends and
// starts anew too. In every order of these ten messages the new run of x shows nothing
// below what the old run had shown, and in the end it shows something.
func TestAllOrdersOfARestartBesideAnIsolatedCore(t *testing.T) {
	const peers = 3
	regressions, orders, newerShown := 0, 0, 0
	run := func(order []int, disabled bool) (before, after ident.Epoch) {
		start := at(0)
		join := func() *sidecar {
			s := &sidecar{Cache: New(start)}
			s.Disabled = disabled
			s.MarkJoined()
			s.receive(start, 1, 0)
			return s
		}
		x, others := join(), []*sidecar{join(), join(), join()}
		x.receive(start, 2, peers)
		now, restarted := start, false
		notified, acked, asked := [peers]bool{}, [peers]bool{}, 0
		for _, step := range order {
			now = now.Add(time.Millisecond)
			switch i := step % peers; {
			case step < peers: // x's word reaches peer i, which takes the manifest from x
				if notified[i] = !restarted; notified[i] {
					others[i].ObservePeer(now, 2)
					others[i].receive(now, 2, 0)
				}
			case step < 2*peers: // peer i's ack reaches x
				if acked[i] = notified[i] && !restarted; acked[i] {
					x.HandleAck(2, true)
					x.activate(now)
				}
			case step == 2*peers: // x ends and starts anew
				before, restarted = x.active, true
				x = &sidecar{Cache: New(now)}
				x.Disabled = disabled
			default: // x asks peer i: now, and again once it may believe
				if restarted {
					asked++
				}
			}
		}
		if !restarted {
			return 0, 0
		}
		for d := time.Duration(0); d <= 2*listenBeforeTrust; d += listenBeforeTrust / 4 {
			for _, p := range others {
				x.HandlePeerAnswer(now.Add(d), p.NewestKnown(), true)
				if x.TrustsPeers(now.Add(d)) {
					x.receive(now.Add(d), max(p.active, p.NewestHeld(p.active)), 0)
				}
			}
			if x.active > 0 {
				break
			}
		}
		return before, x.active
	}
	for _, order := range permutations(2*peers + 1) {
		before, after := run(order, false)
		orders++
		must.GreaterEq(t, before, after, must.Sprintf("order %v: showed %d, then %d", order, before, after))
		must.Positive(t, after)
		if before == 2 {
			newerShown++
		}
		if b, a := run(order, true); a < b {
			regressions++
		}
	}
	must.Eq(t, 5040, orders)
	must.Positive(t, newerShown, must.Sprint("no order in which x showed the epoch before its end"))
	must.Positive(t, regressions, must.Sprint("no order in which it falls back without the rule"))
	t.Logf("%d orders, in %d the old run showed the newer epoch, in %d it would fall back without the rule", orders, newerShown, regressions)
}

// Peers that are out of reach hold nothing up for longer than patience, and a sidecar
// that nobody with a memory answers shows nothing until a core lets it in.
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
		must.Eq(t, joined, cache.TakeReady(at(listenBeforeTrust)) != nil, must.Sprint(fmt.Sprint("a peer with a memory: ", joined)))
	}
}

// A core's word of a newer epoch makes a sidecar ask its peers soon if the manifest does
// not come, and not before; it binds it to nothing.
func TestPeersAreAskedForWhatACoreConfirmed(t *testing.T) {
	cache := New(at(0))
	cache.MarkJoined()
	coreContact := at(10 * time.Second)
	cache.ObserveCore(coreContact, 4)
	must.False(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay-1), coreContact, 3))
	must.True(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact, 3))
	must.Eq(t, ident.Epoch(0), cache.NewestKnown())
	cache.ObserveCore(coreContact.Add(fetchDelay), 4) // the same word again is no news
	must.True(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact, 3))
	cache.Add(coreContact.Add(fetchDelay), &validation.Config{Revision: 4}, 3, 5)
	must.False(t, cache.ShouldAskPeers(coreContact.Add(fetchDelay), coreContact.Add(fetchDelay), 3))
}
