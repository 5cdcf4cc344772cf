package lock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// An acquire with KeepToken extends the lease of the current holder under the same fencing token,
// also under a new proposer. After the lease has expired, or for another caller, the token
// increases.
func TestKeepTokenKeepsTheFencingToken(t *testing.T) {
	for _, newProposer := range []bool{false, true} {
		current := newTerm(1)
		acquire := func(at float64, holder string) (Grant, *failure.Error) {
			return current.apply(seconds(at), "lock/claim", Args{Holder: holder, TTL: 5000, KeepToken: true})
		}
		grant, err := acquire(1, "a")
		must.Nil(t, err)
		must.Eq(t, 1, grant.FencingToken)
		if newProposer {
			current.began, current.memory = seconds(3), map[string]monotime.Time{}
		}
		grant, err = acquire(4, "a")
		must.Nil(t, err)
		must.Eq(t, 1, grant.FencingToken)
		_, err = acquire(8.9, "b") // a's lease lasts until 9 s
		must.Eq(t, failure.LockHeld, err.Kind)
		grant, err = acquire(10.1, "a")
		must.Nil(t, err)
		must.Eq(t, 2, grant.FencingToken)
		grant, err = acquire(16, "b")
		must.Nil(t, err)
		must.Eq(t, 3, grant.FencingToken)
	}
}

// A lock is held for the whole lease and is free at most one second after the lease has expired,
// from the shortest TTL to the longest.
func TestLockIsFreeWithinASecondOfExpiry(t *testing.T) {
	for _, ttl := range []int64{50, 1000, 3000, 5000, 30000, 10 * 60 * 1000} {
		for _, kind := range []string{"lock/claim", "lock/renew"} {
			current := newTerm(1)
			grant, err := current.apply(seconds(1), "lock/claim", Args{Holder: "a", TTL: ttl, KeepToken: true})
			must.Nil(t, err)
			extended := seconds(1).Add(time.Duration(ttl) * time.Millisecond / 2)
			_, err = current.apply(extended, kind, Args{Holder: "a", FencingToken: grant.FencingToken, TTL: ttl, KeepToken: true})
			must.Nil(t, err)
			end := extended.Add(time.Duration(ttl) * time.Millisecond)
			_, err = current.apply(end.Add(250*time.Millisecond), "lock/claim", Args{Holder: "b", TTL: ttl})
			must.NotNil(t, err, must.Sprint(ttl))
			_, err = current.apply(end.Add(1001*time.Millisecond), "lock/claim", Args{Holder: "b", TTL: ttl})
			must.Nil(t, err, must.Sprint(ttl))
		}
	}
	for _, bad := range []int64{0, 49, 10*60*1000 + 1, -1} {
		_, err := newTerm(1).apply(seconds(1), "lock/claim", Args{Holder: "a", TTL: bad, KeepToken: true})
		must.NotNil(t, err)
	}
}

// A shorter lease under the same fencing token does not shorten an earlier, longer lease that the
// holder may still rely on. The lock is held until both have expired, also under a new proposer.
func TestShorterTTLKeepsTheLongerLease(t *testing.T) {
	for _, newProposer := range []bool{false, true} {
		for _, kind := range []string{"lock/claim", "lock/renew"} {
			current := newTerm(1)
			_, err := current.apply(seconds(1), "lock/claim", Args{Holder: "a", TTL: 10000, KeepToken: true})
			must.Nil(t, err)
			for _, at := range []float64{2, 3} {
				_, err = current.apply(seconds(at), kind, Args{Holder: "a", FencingToken: 1, TTL: 1000, KeepToken: true})
				must.Nil(t, err)
			}
			end := 11.0
			if newProposer {
				current.began, current.memory = seconds(4), map[string]monotime.Time{}
				end = 14
			}
			_, err = current.apply(seconds(end-0.1), "lock/claim", Args{Holder: "b", TTL: 1000})
			must.NotNil(t, err, must.Sprintf("%s, new proposer %v", kind, newProposer))
			if !newProposer {
				// A lease that ends after both of the others replaces them.
				_, err = current.apply(seconds(10.5), kind, Args{Holder: "a", FencingToken: 1, TTL: 1000, KeepToken: true})
				must.Nil(t, err)
				end = 11.5
			}
			_, err = current.apply(seconds(end+1.01), "lock/claim", Args{Holder: "b", TTL: 1000})
			must.Nil(t, err, must.Sprintf("%s, new proposer %v", kind, newProposer))
		}
	}
}

// A release may consist of a read followed by a release that names the grant number from the read.
// In any interleaving with another acquire under the same fencing token, the lock stays held if the
// read came before the acquire.
func TestReleaseOfAnEarlierGrantFreesNothing(t *testing.T) {
	for _, order := range [][]string{{"read", "release", "acquire"}, {"read", "acquire", "release"}, {"acquire", "read", "release"}} {
		current := newTerm(1)
		_, err := current.apply(seconds(1), "lock/claim", Args{Holder: "a", TTL: 5000, KeepToken: true})
		must.Nil(t, err)
		var readGrant Grant
		token := uint64(0)
		for i, step := range order {
			at := seconds(1.1 + float64(i)/10)
			switch step {
			case "read":
				readGrant, err = current.apply(at, "lock/read", Args{})
				must.Nil(t, err)
			case "acquire":
				grant, err := current.apply(at, "lock/claim", Args{Holder: "a", TTL: 5000, KeepToken: true})
				must.Nil(t, err)
				token = grant.FencingToken
			case "release":
				_, _ = current.apply(at, "lock/release", Args{Holder: "a", FencingToken: 1, GrantNumber: readGrant.Number})
			}
		}
		grant, err := current.apply(seconds(2), "lock/read", Args{})
		must.Nil(t, err)
		must.Eq(t, order[0] != "acquire", grant.Held, must.Sprint(order))
		if grant.Held {
			must.Eq(t, token, grant.FencingToken)
		}
	}
}

// A release that waits for a round until after its deadline does not free the lock, and its outcome
// says that the release was not executed.
func TestOperationIsNotBegunAfterItsDeadline(t *testing.T) {
	for _, late := range []time.Duration{0, 899 * time.Millisecond, 901 * time.Millisecond, 1100 * time.Millisecond} {
		replica, now := newSingleReplica(seconds(1)), seconds(1)
		replica.submit(now, "lock/claim", Args{Holder: "a", TTL: 5000})
		replica.flush(now)
		replica.outcomes = nil
		replica.submit(now, "lock/read", Args{}) // its round is in flight while the release waits
		replica.collect(replica.proposer.Submit(now, proposer.Operation{
			Key:      "lock/l",
			Kind:     "lock/release",
			Op:       ident.OperationID("op"),
			Deadline: now.Add(900 * time.Millisecond),
			Args:     operation.Encode(Args{Holder: "a", FencingToken: 1}),
		}))
		replica.flush(now.Add(late))
		must.Len(t, 2, replica.outcomes)
		begun := late < 900*time.Millisecond
		must.Eq(t, !begun, replica.outcomes[1].Abandoned)
		must.False(t, replica.outcomes[1].MayHaveTakenEffect)
		replica.outcomes = nil
		replica.submit(now.Add(1200*time.Millisecond), "lock/claim", Args{Holder: "b", TTL: 5000})
		replica.flush(now.Add(1200 * time.Millisecond))
		must.Eq(t, begun, replica.outcomes[0].Failure == nil, must.Sprint(late))
	}
}
