package witness

import (
	"fmt"
	"testing"
	"time"

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"github.com/shoenig/test/must"
)

func at(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

func perms(n int) [][]int {
	if n == 0 {
		return [][]int{{}}
	}
	var out [][]int
	for _, p := range perms(n - 1) {
		for i := range n {
			out = append(out, append(append(append([]int{}, p[:i]...), n-1), p[i:]...))
		}
	}
	return out
}

// side is a sidecar of the model: what it shows, what it holds, its witness.
type side struct {
	*Witness
	shown ident.Epoch
}

func (s *side) show(now monotime.Time) {
	if m := s.Due(now); m != nil && m.Epoch > s.shown {
		s.shown = m.Epoch
	}
}

func (s *side) hold(now monotime.Time, e ident.Epoch, peers int) {
	s.Take(now, &check.Manifest{Epoch: e}, s.shown, peers)
	s.show(now)
}

// The core gives epoch 2 to x alone and is cut off from all. x tells three peers, whose
// acks come back; x ends and starts anew, and asks the three; one of the peers ends and
// starts anew too. In every order of these ten messages the new run of x shows nothing
// below what the old run had shown, and in the end it shows something.
func TestAllOrdersOfARestartBesideAnIsolatedCore(t *testing.T) {
	const peers = 3
	back, orders, two := 0, 0, 0
	run := func(order []int, deaf bool) (before, after ident.Epoch) {
		start := at(0)
		enter := func() *side {
			s := &side{Witness: New(start)}
			s.Deaf = deaf
			s.Entered()
			s.hold(start, 1, 0)
			return s
		}
		x, all := enter(), []*side{enter(), enter(), enter()}
		x.hold(start, 2, peers)
		now, ended := start, false
		told, acked, asked := [peers]bool{}, [peers]bool{}, 0
		for _, step := range order {
			now = now.Add(time.Millisecond)
			switch i := step % peers; {
			case step < peers: // x's word reaches peer i, which takes the manifest from x
				if told[i] = !ended; told[i] {
					all[i].Hear(now, 2)
					all[i].hold(now, 2, 0)
				}
			case step < 2*peers: // peer i's ack reaches x
				if acked[i] = told[i] && !ended; acked[i] {
					x.Said(2, true)
					x.show(now)
				}
			case step == 2*peers: // x ends and starts anew
				before, ended = x.shown, true
				x = &side{Witness: New(now)}
				x.Deaf = deaf
			default: // x asks peer i: now, and again once it may believe
				if ended {
					asked++
				}
			}
		}
		if !ended {
			return 0, 0
		}
		for d := time.Duration(0); d <= 2*settle; d += settle / 4 {
			for _, p := range all {
				x.Prior(now.Add(d), p.Heard(), true)
				if x.Believes(now.Add(d)) {
					x.hold(now.Add(d), max(p.shown, p.Holds(p.shown)), 0)
				}
			}
			if x.shown > 0 {
				break
			}
		}
		return before, x.shown
	}
	for _, order := range perms(2*peers + 1) {
		before, after := run(order, false)
		orders++
		must.GreaterEq(t, before, after, must.Sprintf("order %v: showed %d, then %d", order, before, after))
		must.Positive(t, after)
		if before == 2 {
			two++
		}
		if b, a := run(order, true); a < b {
			back++
		}
	}
	must.Eq(t, 5040, orders)
	must.Positive(t, two, must.Sprint("no order in which x showed the epoch before its end"))
	must.Positive(t, back, must.Sprint("no order in which it falls back without the rule"))
	t.Logf("%d orders, in %d the old run showed the newer epoch, in %d it would fall back without the rule", orders, two, back)
}

// Peers that are out of reach hold nothing up for longer than patience, and a sidecar
// that nobody with a memory answers shows nothing until a core lets it in.
func TestPatienceEndsAndNobodyIsBelieved(t *testing.T) {
	w := New(at(0))
	w.Entered()
	must.True(t, w.Take(at(0), &check.Manifest{Epoch: 5}, 0, 9))
	must.Nil(t, w.Due(at(patience-time.Millisecond)))
	must.NotNil(t, w.Due(at(patience)))
	for _, in := range []bool{false, true} {
		w = New(at(0))
		w.Prior(at(0), 5, in)
		w.Take(at(0), &check.Manifest{Epoch: 5}, 0, 0)
		must.Nil(t, w.Due(at(settle-1)))
		must.Eq(t, in, w.Due(at(settle)) != nil, must.Sprint(fmt.Sprint("a peer with a memory: ", in)))
	}
}

// A core's word of a newer epoch makes a sidecar ask its peers soon if the manifest does
// not come, and not before; it binds it to nothing.
func TestPeersAreAskedForWhatACoreToldOf(t *testing.T) {
	w := New(at(0))
	w.Entered()
	core := at(10 * time.Second)
	w.Told(core, 4)
	must.False(t, w.Lonely(core.Add(behind-1), core, 3))
	must.True(t, w.Lonely(core.Add(behind), core, 3))
	must.Eq(t, ident.Epoch(0), w.Heard())
	w.Told(core.Add(behind), 4) // the same word again is no news
	must.True(t, w.Lonely(core.Add(behind), core, 3))
	w.Take(core.Add(behind), &check.Manifest{Epoch: 4}, 3, 5)
	must.False(t, w.Lonely(core.Add(behind), core.Add(behind), 3))
}
