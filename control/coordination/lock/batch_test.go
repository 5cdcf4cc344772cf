package lock

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// singleReplica is a proposer with a single acceptor. The acceptor answers only when flush is
// called, so that operations submitted before flush share the next round.
type singleReplica struct {
	proposer *proposer.Proposer
	acceptor *acceptor.Acceptor
	requests []quorum.Request
	outcomes []proposer.Outcome
}

func newSingleReplica(now monotime.Time) *singleReplica {
	r := &singleReplica{proposer: proposer.New("m", Handlers()), acceptor: acceptor.New("d")}
	r.collect(r.proposer.SetMembership(now, quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d", Addr: "d:1", Counted: true}}}))
	return r
}

func (r *singleReplica) collect(effects proposer.Effects) {
	for _, send := range effects.Sends {
		r.requests = append(r.requests, send.Request)
	}
	r.outcomes = append(r.outcomes, effects.Outcomes...)
}

func (r *singleReplica) flush(now monotime.Time) {
	for len(r.requests) > 0 {
		request := r.requests[0]
		r.requests = r.requests[1:]
		if response, _, answered := r.acceptor.Step(1, request); answered {
			r.collect(r.proposer.Step(now, response))
		}
	}
}

func (r *singleReplica) submit(now monotime.Time, kind string, args Args) {
	id := ident.OperationID(fmt.Sprint(now, kind, args))
	r.collect(r.proposer.Submit(now, proposer.Operation{Key: "lock/l", Kind: kind, Op: id, Args: operation.Encode(args)}))
}

// When the acquires of three callers share one round, in any order, after the lock was released or
// its lease expired, exactly one caller is granted the lock. Guards against a fault seen with real
// processes: two callers held the same lock at once, under the fencing tokens 7 and 8.
func TestOneRoundGrantsOneHolder(t *testing.T) {
	for _, free := range []bool{true, false} {
		for order := range 27 {
			replica, now := newSingleReplica(seconds(1)), seconds(1)
			replica.submit(now, "lock/claim", Args{Holder: "old", TTL: 1000})
			replica.flush(now)
			if free {
				replica.submit(now, "lock/release", Args{Holder: "old", FencingToken: 1})
				replica.flush(now)
			}
			now = seconds(30)
			replica.submit(now, "lock/read", Args{}) // its round is in flight when the acquires arrive
			replica.outcomes = nil
			for i, holder := range []int{order % 3, order / 3 % 3, order / 9} {
				replica.submit(now.Add(time.Duration(i)), "lock/claim", Args{Holder: string(rune('a' + holder)), TTL: 1000})
			}
			replica.flush(now.Add(time.Millisecond))
			holders := map[string]bool{}
			for _, outcome := range replica.outcomes {
				var grant Grant
				if outcome.Failure == nil && outcome.Operation.Kind == "lock/claim" && json.Unmarshal(outcome.Body, &grant) == nil {
					holders[grant.Holder] = true
				}
			}
			must.Eq(t, 1, len(holders), must.Sprintf("free %v, callers %d: %v were granted the lock", free, order, holders))
		}
	}
}

// A delayed release of an earlier grant does not free the lock, whether the release arrives before
// or after another acquire by the same caller.
func TestLateReleaseFreesNothing(t *testing.T) {
	for _, late := range []bool{false, true} {
		current := newTerm(1)
		first, err := current.apply(seconds(1), "lock/claim", Args{Holder: "a", TTL: 5000})
		must.Nil(t, err)
		release := func() {
			_, _ = current.apply(seconds(1.5), "lock/release", Args{Holder: "a", FencingToken: first.FencingToken})
		}
		if !late {
			release()
		}
		again, err := current.apply(seconds(1.4), "lock/claim", Args{Holder: "a", TTL: 5000})
		must.Nil(t, err)
		must.Greater(t, first.FencingToken, again.FencingToken)
		if late {
			release()
		}
		_, err = current.apply(seconds(2), "lock/claim", Args{Holder: "b", TTL: 5000})
		must.NotNil(t, err, must.Sprintf("late %v: b was granted the lock that a holds", late))
	}
}

// An acquire that is retried with the same operation ID, as after an unknown outcome, restarts the
// lease at the retry. A holder that measures its lease from the retry holds the lock for the whole
// TTL, whenever the retry arrives.
func TestRepeatedAcquireHoldsFromTheRepeat(t *testing.T) {
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		replica, now := newSingleReplica(seconds(1)), seconds(1)
		acquire := func(at monotime.Time, holder, op string) bool {
			replica.outcomes = nil
			args := operation.Encode(Args{Holder: holder, TTL: 5000})
			acquire := proposer.Operation{Key: "lock/l", Kind: "lock/claim", Op: ident.OperationID(op), Args: args}
			replica.collect(replica.proposer.Submit(at, acquire))
			replica.flush(at)
			return replica.outcomes[0].Failure == nil
		}
		must.True(t, acquire(now, "a", "op1"))
		again := now.Add(after)
		must.True(t, acquire(again, "a", "op1"))
		must.False(
			t,
			acquire(again.Add(4999*time.Millisecond), "b", "op2"),
			must.Sprintf("repeated after %v: b was granted the lock during a's lease", after),
		)
		must.True(t, acquire(again.Add(6*time.Second), "b", "op3"))
		must.False(t, acquire(again.Add(7*time.Second), "a", "op1"), must.Sprint("an old grant was returned again while b holds the lock"))
	}
}
