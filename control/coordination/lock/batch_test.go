package lock

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// one is a proposer with one disk; what it asks is answered when flush is called, so that
// operations which come meanwhile share the next round.
type one struct {
	o    *proposer.Proposer
	r    *acceptor.Acceptor
	asks []quorum.Request
	ends []proposer.Outcome
}

func newOne(now monotime.Time) *one {
	x := &one{o: proposer.New("m", Handlers()), r: acceptor.New("d")}
	x.take(x.o.SetMembership(now, quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d", Addr: "d:1", Counted: true}}}))
	return x
}

func (x *one) take(fx proposer.Effects) {
	for _, s := range fx.Sends {
		x.asks = append(x.asks, s.Request)
	}
	x.ends = append(x.ends, fx.Outcomes...)
}

func (x *one) flush(now monotime.Time) {
	for len(x.asks) > 0 {
		a := x.asks[0]
		x.asks = x.asks[1:]
		if r, _, say := x.r.Step(1, a); say {
			x.take(x.o.Step(now, r))
		}
	}
}

func (x *one) send(now monotime.Time, kind string, a Args) {
	x.take(x.o.Submit(now, proposer.Operation{Key: "lock/l", Kind: kind, Op: ident.Op(fmt.Sprint(now, kind, a)), Args: operation.Encode(a)}))
}

// Claims, renewals and releases of three callers share one round, in every order, after
// the lock was free or its claim had run out long before: one caller at most is told that
// it holds the lock, or the holders before it let go in that very round. Found by a fleet:
// l10 held by app3 (fence 7) and app0 (fence 8).
func TestOneRoundGrantsOneHolder(t *testing.T) {
	for _, free := range []bool{true, false} {
		for n := range 27 {
			x, now := newOne(sec(1)), sec(1)
			x.send(now, "lock/claim", Args{Holder: "old", TTL: 1000})
			x.flush(now)
			if free {
				x.send(now, "lock/release", Args{Holder: "old", Fence: 1})
				x.flush(now)
			}
			now = sec(30)
			x.send(now, "lock/read", Args{}) // this round is out while the claims come
			x.ends = nil
			for i, who := range []int{n % 3, n / 3 % 3, n / 9} {
				x.send(now.Add(time.Duration(i)), "lock/claim", Args{Holder: string(rune('a' + who)), TTL: 1000})
			}
			x.flush(now.Add(time.Millisecond))
			told := map[string]bool{}
			for _, e := range x.ends {
				var g Grant
				if e.Failure == nil && e.Operation.Kind == "lock/claim" && json.Unmarshal(e.Body, &g) == nil {
					told[g.Holder] = true
				}
			}
			must.Eq(t, 1, len(told), must.Sprintf("free %v, callers %d: %v were told that they hold it", free, n, told))
		}
	}
}

// A release that comes late, from before the holder's last claim, lets nothing go: in
// every order of a claim, its release, and another claim by the same caller.
func TestLateReleaseLetsNothingGo(t *testing.T) {
	for _, late := range []bool{false, true} {
		x := &tenure{since: sec(1), memory: map[string]monotime.Time{}}
		first, d := x.do(sec(1), "lock/claim", Args{Holder: "a", TTL: 5000})
		must.Nil(t, d)
		release := func() { _, _ = x.do(sec(1.5), "lock/release", Args{Holder: "a", Fence: first.Fence}) }
		if !late {
			release()
		}
		again, d := x.do(sec(1.4), "lock/claim", Args{Holder: "a", TTL: 5000})
		must.Nil(t, d)
		must.Greater(t, first.Fence, again.Fence)
		if late {
			release()
		}
		_, d = x.do(sec(2), "lock/claim", Args{Holder: "b", TTL: 5000})
		must.NotNil(t, d, must.Sprintf("late %v: b holds what a holds", late))
	}
}

// A claim that is repeated under its old operation, as after an unknown outcome, is a claim
// of now: who counts its time from the repeat is not overtaken, in whatever round of its
// time the repeat comes.
func TestRepeatedClaimHoldsFromTheRepeat(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		x, now := newOne(sec(1)), sec(1)
		claim := func(at monotime.Time, who, op string) bool {
			x.ends = nil
			x.take(x.o.Submit(at, proposer.Operation{Key: "lock/l", Kind: "lock/claim", Op: ident.Op(op), Args: operation.Encode(Args{Holder: who, TTL: 5000})}))
			x.flush(at)
			return x.ends[0].Failure == nil
		}
		must.True(t, claim(now, "a", "op1"))
		again := now.Add(after)
		must.True(t, claim(again, "a", "op1"))
		must.False(t, claim(again.Add(4999*time.Millisecond), "b", "op2"), must.Sprintf("repeated after %v: b is granted while a counts on it", after))
		must.True(t, claim(again.Add(6*time.Second), "b", "op3"))
		must.False(t, claim(again.Add(7*time.Second), "a", "op1"), must.Sprint("an old grant is told again while b holds"))
	}
}
