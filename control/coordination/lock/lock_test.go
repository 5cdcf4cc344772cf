package lock

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// term is one proposer's hold on the lock's key.
type tenure struct {
	value  json.RawMessage
	since  monotime.Time
	memory map[string]monotime.Time
}

func (x *tenure) do(now monotime.Time, kind string, a Args) (Grant, *failure.Error) {
	v := Handlers().Apply(proposer.Context{Now: now, TermBegan: x.since, TermMemory: x.memory, Remember: func(m string) { x.memory[m] = now }}, x.value, proposer.Operation{Kind: kind, Args: operation.Encode(a)})
	if v.Changed {
		x.value = v.Value
	}
	var g Grant
	_ = json.Unmarshal(v.Body, &g)
	return g, v.Failure
}

func sec(s float64) monotime.Time { return monotime.Time(s * float64(time.Second)) }

// A new proposer, which knows of no renewal, waits out the whole claim; then the next
// holder has a higher fence, and the old one can do nothing any more.
func TestNewOwnerWaitsOutTheWholeClaim(t *testing.T) {
	x := &tenure{since: sec(1), memory: map[string]monotime.Time{}}
	a, d := x.do(sec(1), "lock/claim", Args{Holder: "a", TTL: 5000})
	must.Nil(t, d)
	must.Eq(t, 1, a.Fence)
	_, d = x.do(sec(5), "lock/renew", Args{Holder: "a", Fence: 1})
	must.Nil(t, d)
	// Taken over at 5.1: the renewal at 5 must still hold until 10.
	x = &tenure{value: x.value, since: sec(5.1), memory: map[string]monotime.Time{}}
	for _, at := range []float64{5.2, 6.5, 10, 10.1, 10.5} {
		_, d = x.do(sec(at), "lock/claim", Args{Holder: "b", TTL: 5000})
		must.NotNil(t, d, must.Sprint(at))
		must.Eq(t, failure.Held, d.Kind)
	}
	b, d := x.do(sec(10.7), "lock/claim", Args{Holder: "b", TTL: 5000})
	must.Nil(t, d)
	must.Eq(t, 2, b.Fence)
	for _, kind := range []string{"lock/renew", "lock/release", "lock/pass"} {
		_, d = x.do(sec(10.8), kind, Args{Holder: "a", Fence: 1, To: "a"})
		must.NotNil(t, d)
		must.Eq(t, failure.NotHolder, d.Kind)
	}
}

// Fences rise over release, pass and a holder's own second claim after its end.
func TestFencesOnlyRise(t *testing.T) {
	x := &tenure{since: sec(1), memory: map[string]monotime.Time{}}
	last := uint64(0)
	rise := func(g Grant, d *failure.Error) {
		must.Nil(t, d)
		must.Greater(t, last, g.Fence)
		last = g.Fence
	}
	rise(x.do(sec(1), "lock/claim", Args{Holder: "a", TTL: 1000}))
	again, d := x.do(sec(1.5), "lock/claim", Args{Holder: "a", TTL: 1000})
	must.Nil(t, d)
	must.Greater(t, last, again.Fence) // a new claim, though it is its own
	last = again.Fence
	rise(x.do(sec(9), "lock/claim", Args{Holder: "a", TTL: 1000}))
	rise(x.do(sec(9.1), "lock/pass", Args{Holder: "a", Fence: last, To: "b"}))
	_, d = x.do(sec(9.2), "lock/release", Args{Holder: "b", Fence: last})
	must.Nil(t, d)
	rise(x.do(sec(9.3), "lock/claim", Args{Holder: "c", TTL: 1000}))
	for _, bad := range []Args{{TTL: 1000}, {Holder: "x", TTL: 1}, {Holder: "x", TTL: 1 << 40}} {
		_, d = x.do(sec(60), "lock/claim", bad)
		must.NotNil(t, d)
	}
}
