package lock

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// term holds the stored value of a lock, and the start time and the TermMemory of one proposer's
// term.
type term struct {
	value  json.RawMessage
	began  monotime.Time
	memory map[string]monotime.Time
}

func newTerm(at float64) *term { return &term{began: seconds(at), memory: map[string]monotime.Time{}} }

func (t *term) apply(now monotime.Time, kind string, args Args) (Grant, *failure.Error) {
	context := proposer.Context{
		Now:             now,
		TermStartedAt:   t.began,
		TermEventTimes:  t.memory,
		RecordTermEvent: func(event string) { t.memory[event] = now },
	}
	result := Handlers().Apply(context, t.value, proposer.Operation{Kind: kind, Args: operation.Encode(args)})
	if result.Changed {
		t.value = result.Value
	}
	var grant Grant
	_ = json.Unmarshal(result.Body, &grant)
	return grant, result.Failure
}

func seconds(s float64) monotime.Time { return monotime.Time(s * float64(time.Second)) }

// A new proposer does not know of renewals in earlier terms, so it waits for the whole TTL. The next
// holder then gets a higher fencing token, and operations of the previous holder are rejected.
func TestNewProposerWaitsForTheWholeLease(t *testing.T) {
	current := newTerm(1)
	first, err := current.apply(seconds(1), "lock/claim", Args{Holder: "a", TTL: 5000})
	must.Nil(t, err)
	must.Eq(t, 1, first.FencingToken)
	_, err = current.apply(seconds(5), "lock/renew", Args{Holder: "a", FencingToken: 1})
	must.Nil(t, err)
	// A new term begins at 5.1 s. The lease that was renewed at 5 s must last until 10 s.
	current = &term{value: current.value, began: seconds(5.1), memory: map[string]monotime.Time{}}
	for _, at := range []float64{5.2, 6.5, 10, 10.1, 10.5} {
		_, err = current.apply(seconds(at), "lock/claim", Args{Holder: "b", TTL: 5000})
		must.NotNil(t, err, must.Sprint(at))
		must.Eq(t, failure.LockHeld, err.Kind)
	}
	second, err := current.apply(seconds(10.7), "lock/claim", Args{Holder: "b", TTL: 5000})
	must.Nil(t, err)
	must.Eq(t, 2, second.FencingToken)
	for _, kind := range []string{"lock/renew", "lock/release", "lock/pass"} {
		_, err = current.apply(seconds(10.8), kind, Args{Holder: "a", FencingToken: 1, Successor: "a"})
		must.NotNil(t, err)
		must.Eq(t, failure.NotHolder, err.Kind)
	}
}

// Fencing tokens increase across a release, a transfer and another acquire by the current holder.
func TestFencingTokensOnlyIncrease(t *testing.T) {
	current := newTerm(1)
	last := uint64(0)
	mustRise := func(grant Grant, err *failure.Error) {
		must.Nil(t, err)
		must.Greater(t, last, grant.FencingToken)
		last = grant.FencingToken
	}
	mustRise(current.apply(seconds(1), "lock/claim", Args{Holder: "a", TTL: 1000}))
	again, err := current.apply(seconds(1.5), "lock/claim", Args{Holder: "a", TTL: 1000})
	must.Nil(t, err)
	must.Greater(t, last, again.FencingToken) // a new grant to the same holder
	last = again.FencingToken
	mustRise(current.apply(seconds(9), "lock/claim", Args{Holder: "a", TTL: 1000}))
	mustRise(current.apply(seconds(9.1), "lock/pass", Args{Holder: "a", FencingToken: last, Successor: "b"}))
	_, err = current.apply(seconds(9.2), "lock/release", Args{Holder: "b", FencingToken: last})
	must.Nil(t, err)
	mustRise(current.apply(seconds(9.3), "lock/claim", Args{Holder: "c", TTL: 1000}))
	for _, bad := range []Args{{TTL: 1000}, {Holder: "x", TTL: 1}, {Holder: "x", TTL: 1 << 40}} {
		_, err = current.apply(seconds(60), "lock/claim", bad)
		must.NotNil(t, err)
	}
}
