package gate

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

func at(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

func beat(s ident.Server, svc ident.Service, addr ident.Addr, st State) Beat {
	return Beat{Server: s, Service: svc, Addr: addr, State: st}
}

// perms gives every order of n things.
func perms(n int) [][]int {
	if n == 0 {
		return [][]int{{}}
	}
	var out [][]int
	for _, p := range perms(n - 1) {
		for i := range n {
			q := append(append(append([]int{}, p[:i]...), n-1), p[i:]...)
			out = append(out, q)
		}
	}
	return out
}

// A leaving, a sign-off, late beats and the address passing to another service, in
// every order: once a server has left or signed off, or another beats at its
// address, nothing passes to it.
func TestAllOrdersOfLeavingAndReuse(t *testing.T) {
	msgs := []Beat{
		beat("a", "one", "ip:1", Alive),
		beat("a", "one", "ip:1", Leaving),
		beat("a", "one", "ip:1", Gone),
		beat("b", "two", "ip:1", Alive),
		beat("a", "one", "ip:1", Alive),
	}
	for _, order := range perms(len(msgs)) {
		g := New()
		now := at(0)
		left := false
		var last ident.Server
		for step, i := range order {
			now = now.Add(20 * time.Millisecond)
			g.Tick(now)
			m := msgs[i]
			_, d := g.Take(now, m)
			must.Nil(t, d)
			left = left || m.Server == "a" && m.State != Alive
			if m.State != Gone {
				last = m.Server
			}
			addr, _, turned := g.Pass(now, "a", "one")
			if left {
				must.NotNil(t, turned, must.Sprintf("order %v step %d: passed to a server that left", order, step))
			}
			if turned == nil {
				must.Eq(t, "a", last, must.Sprintf("order %v step %d: address is another's", order, step))
				must.Eq(t, ident.Addr("ip:1"), addr)
			}
			_, _, turned = g.Pass(now, "b", "one")
			must.NotNil(t, turned, must.Sprint("passed as a service it does not serve"))
		}
	}
}

// A silent endpoint is forgotten well inside reuseAfterS, and its connections with it.
func TestSilenceBitesInTime(t *testing.T) {
	g := New()
	_, _ = g.Take(at(0), beat("a", "one", "ip:1", Alive))
	closed, gone := time.Duration(0), time.Duration(0)
	for d := time.Duration(0); d < 6*time.Second; d += 40 * time.Millisecond {
		if c := g.Tick(at(d)); len(c.Closed) > 0 && closed == 0 {
			closed = d
		}
		if _, _, turned := g.Pass(at(d), "a", "one"); turned != nil && gone == 0 {
			gone = d
		}
	}
	must.Between(t, Silent, gone, 1300*time.Millisecond)
	must.Between(t, Silent, closed, 1300*time.Millisecond)
	must.SliceEmpty(t, g.Workloads())
}

// After this process was held up, beats that may have lain in a socket make nobody
// well, nothing passes, and fresh beats count again soon.
func TestBeatsFromBeforeAFreezeAreNotTrusted(t *testing.T) {
	g := New()
	_, _ = g.Take(at(0), beat("a", "one", "ip:1", Alive))
	g.Tick(at(0))
	thaw := 5 * time.Second
	_, _ = g.Take(at(thaw), beat("a", "one", "ip:1", Alive)) // sent long ago
	_, _, d := g.Pass(at(thaw), "a", "one")
	must.NotNil(t, d)
	g.Tick(at(thaw + time.Millisecond))
	_, _ = g.Take(at(thaw+2*time.Millisecond), beat("a", "one", "ip:1", Alive))
	_, _, d = g.Pass(at(thaw+3*time.Millisecond), "a", "one")
	must.NotNil(t, d)
	for x := 40 * time.Millisecond; x < 900*time.Millisecond; x += 40 * time.Millisecond {
		g.Tick(at(thaw + x))
	}
	_, _ = g.Take(at(thaw+900*time.Millisecond), beat("a", "one", "ip:1", Alive))
	_, _, d = g.Pass(at(thaw+901*time.Millisecond), "a", "one")
	must.Nil(t, d)
}

// A refused connection makes the endpoint unwell at once and for a while.
func TestRefusedConnectionIsUnwell(t *testing.T) {
	g := New()
	_, _ = g.Take(at(0), beat("a", "one", "ip:1", Alive))
	must.True(t, g.Failed(at(10*time.Millisecond), "a").News)
	must.Eq(t, record.Unhealthy, g.Workloads()[0].Status)
	_, _ = g.Take(at(300*time.Millisecond), beat("a", "one", "ip:1", Alive))
	_, _, d := g.Pass(at(301*time.Millisecond), "a", "one")
	must.NotNil(t, d)
	g.Tick(at(600 * time.Millisecond))
	_, _ = g.Take(at(900*time.Millisecond), beat("a", "one", "ip:1", Alive))
	_, _, d = g.Pass(at(901*time.Millisecond), "a", "one")
	must.Nil(t, d)
}

// An endpoint that beats once a second stays well; when it falls silent it is still
// forgotten inside reuseAfterS.
func TestSlowBeatsAreBorne(t *testing.T) {
	g := New()
	last := time.Duration(0)
	unwell := 0
	for d := time.Duration(0); d < 20*time.Second; d += 40 * time.Millisecond {
		g.Tick(at(d))
		if d%time.Second == 0 || d%time.Second == 120*time.Millisecond && d/time.Second%2 == 1 {
			if d < 15*time.Second {
				_, _ = g.Take(at(d), beat("a", "one", "ip:1", Alive))
				last = d
			}
		}
		_, _, turned := g.Pass(at(d), "a", "one")
		if turned != nil && d < 15*time.Second && d > 5*time.Second {
			unwell++
		}
		if d > 15*time.Second {
			must.False(t, turned == nil && d-last > SilentMost, must.Sprintf("passed %v after the last beat", d-last))
		}
	}
	must.Eq(t, 0, unwell)
}

// An endpoint that first beats while its machine stops gets nothing any more. Found by
// seed 30185: a stop went on for ever, since requests went on coming.
func TestNobodyIsWellOnAMachineThatStops(t *testing.T) {
	g := New()
	_, _ = g.Take(at(0), beat("a", "one", "ip:1", Alive))
	must.True(t, g.Leave(at(time.Millisecond)).News)
	_, _ = g.Take(at(2*time.Millisecond), beat("b", "one", "ip:2", Alive))
	for _, s := range []ident.Server{"a", "b"} {
		_, _, d := g.Pass(at(3*time.Millisecond), s, "one")
		must.NotNil(t, d)
	}
	for _, w := range g.Workloads() {
		must.Eq(t, record.Draining, w.Status)
	}
}
