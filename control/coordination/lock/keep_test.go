package lock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

func fresh(at float64) *tenure { return &tenure{since: sec(at), memory: map[string]monotime.Time{}} }

// A claim that keeps gives its holder the very fence with further time, from whatever
// proposer; once the claim is over it gives a higher one, and so it does to another caller.
func TestKeptClaimKeepsItsFence(t *testing.T) {
	for _, moved := range []bool{false, true} {
		x := fresh(1)
		keep := func(at float64, who string) (Grant, *failure.Error) {
			return x.do(sec(at), "lock/claim", Args{Holder: who, TTL: 5000, Keep: true})
		}
		g, d := keep(1, "a")
		must.Nil(t, d)
		must.Eq(t, 1, g.Fence)
		if moved {
			x.since, x.memory = sec(3), map[string]monotime.Time{}
		}
		g, d = keep(4, "a")
		must.Nil(t, d)
		must.Eq(t, 1, g.Fence)
		_, d = keep(8.9, "b") // a counts on it until 9
		must.Eq(t, failure.Held, d.Kind)
		g, d = keep(10.1, "a")
		must.Nil(t, d)
		must.Eq(t, 2, g.Fence)
		g, d = keep(16, "b")
		must.Nil(t, d)
		must.Eq(t, 3, g.Fence)
	}
}

// A lock is held for the whole of its time and free again at most a second after it, from
// the shortest to the longest.
func TestFreeWithinASecondOfItsTime(t *testing.T) {
	for _, ttl := range []int64{50, 1000, 3000, 5000, 30000, 10 * 60 * 1000} {
		for _, kind := range []string{"lock/claim", "lock/renew"} {
			x := fresh(1)
			g, d := x.do(sec(1), "lock/claim", Args{Holder: "a", TTL: ttl, Keep: true})
			must.Nil(t, d)
			from := sec(1).Add(time.Duration(ttl) * time.Millisecond / 2)
			_, d = x.do(from, kind, Args{Holder: "a", Fence: g.Fence, TTL: ttl, Keep: true})
			must.Nil(t, d)
			end := from.Add(time.Duration(ttl) * time.Millisecond)
			_, d = x.do(end.Add(250*time.Millisecond), "lock/claim", Args{Holder: "b", TTL: ttl})
			must.NotNil(t, d, must.Sprint(ttl))
			_, d = x.do(end.Add(1001*time.Millisecond), "lock/claim", Args{Holder: "b", TTL: ttl})
			must.Nil(t, d, must.Sprint(ttl))
		}
	}
	for _, bad := range []int64{0, 49, 10*60*1000 + 1, -1} {
		_, d := fresh(1).do(sec(1), "lock/claim", Args{Holder: "a", TTL: bad, Keep: true})
		must.NotNil(t, d)
	}
}

// A shorter time under the same fence takes nothing from a longer one that the holder may
// still count on; it ends with the later of both, also at a new proposer.
func TestShorterTimeLeavesTheLonger(t *testing.T) {
	for _, moved := range []bool{false, true} {
		for _, kind := range []string{"lock/claim", "lock/renew"} {
			x := fresh(1)
			_, d := x.do(sec(1), "lock/claim", Args{Holder: "a", TTL: 10000, Keep: true})
			must.Nil(t, d)
			for _, at := range []float64{2, 3} {
				_, d = x.do(sec(at), kind, Args{Holder: "a", Fence: 1, TTL: 1000, Keep: true})
				must.Nil(t, d)
			}
			end := 11.0
			if moved {
				x.since, x.memory = sec(4), map[string]monotime.Time{}
				end = 14
			}
			_, d = x.do(sec(end-0.1), "lock/claim", Args{Holder: "b", TTL: 1000})
			must.NotNil(t, d, must.Sprintf("%s moved %v", kind, moved))
			if !moved {
				// One that goes on longer than both is the only one that counts.
				_, d = x.do(sec(10.5), kind, Args{Holder: "a", Fence: 1, TTL: 1000, Keep: true})
				must.Nil(t, d)
				end = 11.5
			}
			_, d = x.do(sec(end+1.01), "lock/claim", Args{Holder: "b", TTL: 1000})
			must.Nil(t, d, must.Sprintf("%s moved %v", kind, moved))
		}
	}
}

// A release is a read of the grant and an operation that names it. In every order of the two and
// of its caller's next claim, under the same fence: if the release was begun before the
// claim, the claim stands.
func TestReleaseOfAnEarlierGrantLetsNothingGo(t *testing.T) {
	for _, order := range [][]string{{"read", "release", "claim"}, {"read", "claim", "release"}, {"claim", "read", "release"}} {
		x := fresh(1)
		_, d := x.do(sec(1), "lock/claim", Args{Holder: "a", TTL: 5000, Keep: true})
		must.Nil(t, d)
		var seen Grant
		fence := uint64(0)
		for i, step := range order {
			at := sec(1.1 + float64(i)/10)
			switch step {
			case "read":
				seen, d = x.do(at, "lock/read", Args{})
				must.Nil(t, d)
			case "claim":
				g, d := x.do(at, "lock/claim", Args{Holder: "a", TTL: 5000, Keep: true})
				must.Nil(t, d)
				fence = g.Fence
			case "release":
				_, _ = x.do(at, "lock/release", Args{Holder: "a", Fence: 1, Grant: seen.Grant})
			}
		}
		g, d := x.do(sec(2), "lock/read", Args{})
		must.Nil(t, d)
		must.Eq(t, order[0] != "claim", g.Held, must.Sprint(order))
		if g.Held {
			must.Eq(t, fence, g.Fence)
		}
	}
}

// A operation whose time is over is not begun: a release that waits behind a round until its
// caller has moved on lets nothing go, and says that it did nothing.
func TestDeedIsNotBegunAfterItsTime(t *testing.T) {
	for _, late := range []time.Duration{0, 899 * time.Millisecond, 901 * time.Millisecond, 1100 * time.Millisecond} {
		x, now := newOne(sec(1)), sec(1)
		x.send(now, "lock/claim", Args{Holder: "a", TTL: 5000})
		x.flush(now)
		x.ends = nil
		x.send(now, "lock/read", Args{}) // this round is out while the release waits
		x.take(x.o.Submit(now, proposer.Operation{Key: "lock/l", Kind: "lock/release", Op: ident.Op("op"), Deadline: now.Add(900 * time.Millisecond), Args: operation.Encode(Args{Holder: "a", Fence: 1})}))
		x.flush(now.Add(late))
		must.Len(t, 2, x.ends)
		begun := late < 900*time.Millisecond
		must.Eq(t, !begun, x.ends[1].Abandoned)
		must.False(t, x.ends[1].MayHaveTakenEffect)
		x.ends = nil
		x.send(now.Add(1200*time.Millisecond), "lock/claim", Args{Holder: "b", TTL: 5000})
		x.flush(now.Add(1200 * time.Millisecond))
		must.Eq(t, begun, x.ends[0].Failure == nil, must.Sprint(late))
	}
}
