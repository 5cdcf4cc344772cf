package attempt

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

const start = monotime.Time(time.Second)

// healthyWorkload is the record of an endpoint that may be chosen.
func healthyWorkload(server string, service ident.Service, sidecar string) record.Address {
	return record.Address{Workload: &record.Workload{
		UID:         ident.Server(server),
		Service:     service,
		SidecarAddr: ident.Addr(sidecar),
		Weight:      1,
		Status:      record.Healthy,
	}}
}

// newPlanner makes a planner with a route to service a, or with a split, and three endpoints each of
// a and b.
func newPlanner(split ...validation.WeightedService) *Planner {
	planner := New(start, "d", 1, retrybudget.Limits{})
	planner.RetryBudget.Unlimited = true
	planner.Enforce(&validation.Config{
		Revision: 1,
		Services: map[ident.Service]validation.Service{
			"a": {Hostname: "a", RetryRatio: 0.2},
			"b": {Hostname: "b", RetryRatio: 0.2},
		},
		Routes: []validation.Route{{
			Name:        "w",
			Host:        "h",
			PathPrefix:  "/",
			Service:     "a",
			Timeout:     4 * time.Second,
			MaxAttempts: 3,
			Split:       split,
		}},
	})
	var records []record.Address
	for _, service := range []ident.Service{"a", "b"} {
		for i := range 3 {
			records = append(records, healthyWorkload(fmt.Sprint(service, i), service, fmt.Sprint("g", i)))
		}
	}
	planner.Index.Merge([]record.Set{{Author: "n", LeaseEpoch: 1, Records: records}})
	return planner
}

// Every order of three outcomes, for a repeatable and another method: what may have been executed is
// never tried again unless it is repeatable, no failure says "not executed" after an unknown
// outcome, and no server is tried twice.
func TestAllOrdersOfOutcomes(t *testing.T) {
	outcomes := []Outcome{Executed, NotExecuted, Unknown}
	for _, method := range []string{"GET", "POST"} {
		for n := range 27 {
			planner, call := newPlanner(), &Call{Host: "h", Path: "/x", Method: method, Caller: "c"}
			must.Nil(t, planner.Route(start, call, 0))
			unknown, seen := false, map[ident.Server]bool{}
			for i := 0; ; i++ {
				decision := planner.Next(start.Add(time.Duration(i)*time.Millisecond), call)
				if decision.Failure != nil {
					must.Eq(t, unknown, decision.Failure.Outcome == failure.OutcomeUnknown,
						must.Sprintf("%s %d: outcome %s", method, n, decision.Failure.Outcome))
					break
				}
				must.False(t, unknown && method == "POST", must.Sprintf("%d: a POST with unknown outcome was tried again", n))
				must.False(t, seen[decision.Entry.UID])
				seen[decision.Entry.UID] = true
				outcome := outcomes[n/[]int{1, 3, 9}[i]%3]
				unknown = unknown || outcome == Unknown
				again := planner.Finished(start.Add(time.Duration(i)*time.Millisecond), call, Result{
					Outcome: outcome,
					Failure: &failure.Error{Kind: failure.LostResponse, Outcome: failure.OutcomeUnknown},
				})
				if outcome == Executed {
					must.False(t, again)
					break
				}
				must.Eq(t, outcome == NotExecuted || method == "GET", again)
				if !again {
					must.Eq(t, failure.OutcomeUnknown, planner.FinalFailure(call).Outcome)
					break
				}
			}
		}
	}
}

// The route's repeat policy goes before the method, for an attempt with unknown outcome.
func TestRouteDecidesWhatMayRepeat(t *testing.T) {
	for repeat, wantByMethod := range map[validation.RepeatPolicy]map[string]bool{
		validation.ByMethod: {"GET": true, "POST": false}, validation.Repeatable: {"GET": true, "POST": true}, validation.Download: {"GET": true, "POST": true},
		validation.OneShot: {"GET": false, "POST": false}, validation.Upload: {"GET": false, "PUT": false},
	} {
		for method, want := range wantByMethod {
			planner, call := newPlanner(), &Call{Host: "h", Path: "/x", Method: method, Caller: "c"}
			planner.config.Routes[0].Repeat = repeat
			must.Nil(t, planner.Route(start, call, 0))
			must.Eq(t, want, call.Repeatable())
			must.Nil(t, planner.Next(start, call).Failure)
			must.Eq(t, want, planner.Finished(start, call, Result{
				Outcome: Unknown,
				Failure: failure.NewUnknown(failure.LostResponse, "x"),
			}), must.Sprint(repeat, method))
		}
	}
}

// Parts of a weighted route may be finer than a hundredth.
func TestSplitsFinerThanAHundredth(t *testing.T) {
	planner, n := newPlanner(validation.WeightedService{Service: "b", Percent: 33, ExtraMillionths: 3333}), 0
	for range 30000 {
		call := &Call{Host: "h", Path: "/", Method: "GET"}
		must.Nil(t, planner.Route(start, call, 0))
		if call.Route.Service == "b" {
			n++
		}
	}
	must.Between(t, 9700, n, 10300)
}

// A session moves to the new service at most once while the service's part grows, and the parts
// hold.
func TestSessionsMoveOnce(t *testing.T) {
	serviceBySession := map[string]ident.Service{}
	for _, percent := range []int{0, 5, 25, 50, 100} {
		planner := newPlanner(validation.WeightedService{Service: "b", Percent: percent})
		moved := 0
		for i := range 2000 {
			session := fmt.Sprint("session", i)
			call := &Call{Host: "h", Path: "/", Method: "GET", Session: session}
			must.Nil(t, planner.Route(start, call, 0))
			must.False(t, serviceBySession[session] == "b" && call.Route.Service == "a", must.Sprint("a session went back"))
			serviceBySession[session] = call.Route.Service
			if serviceBySession[session] == "b" {
				moved++
			}
		}
		must.Between(t, percent*20-60, moved, percent*20+60)
	}
}

// Without a healthy workload the call fails at once, with a Retry-After.
func TestNoWorkloadFailsAtOnce(t *testing.T) {
	planner := newPlanner()
	planner.Index.Merge([]record.Set{{Author: "n", LeaseEpoch: 2}})
	call := &Call{Host: "h", Path: "/", Method: "POST"}
	must.Nil(t, planner.Route(start, call, 0))
	err := planner.Next(start, call).Failure
	must.NotNil(t, err)
	must.Eq(t, 503, err.Status())
	must.Eq(t, failure.NotExecuted, err.Outcome)
	must.Positive(t, err.RetryAfter)
	must.Eq(t, 404, planner.Route(start, &Call{Host: "other", Path: "/"}, 0).Status())
}

// A configuration below MinRevision is never put in force, whichever core or peer gives it.
func TestNothingBelowMinRevisionIsEnforced(t *testing.T) {
	planner := New(start, "d", 1, retrybudget.Limits{})
	planner.MinRevision = 10
	must.False(t, planner.Enforce(&validation.Config{Revision: 9}))
	must.Eq(t, 0, planner.Revision())
	must.True(t, planner.Enforce(&validation.Config{Revision: 10}))
	must.False(t, planner.Enforce(&validation.Config{Revision: 10}))
	must.Eq(t, 10, planner.Revision())
}

// All orders of four results before the last attempt: only what may have reached an endpoint is
// charged, once, and counts against the route's attempts; rejections by the destination's checks and
// refused connections cost nothing, but are bounded by maxUncharged.
func TestOnlyArrivalsAreCharged(t *testing.T) {
	results := []Result{
		{Outcome: NotExecuted, Rejected: true},
		{Outcome: NotExecuted, Unreachable: true},
		{Outcome: NotExecuted, ReachedEndpoint: true},
		{Outcome: Unknown},
	}
	for n := range 256 {
		planner, call := newPlanner(), &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
		more := []record.Address{}
		for i := range 12 {
			more = append(more, healthyWorkload(fmt.Sprint("more", i), "a", fmt.Sprint("m", i)))
		}
		planner.Index.Merge([]record.Set{{Author: "m", LeaseEpoch: 1, Records: more}})
		must.Nil(t, planner.Route(start, call, 0))
		charged, uncharged, retries := 0, 0, 0
		for i := 0; ; i++ {
			decision := planner.Next(start, call)
			if charged == 3 || uncharged > maxUncharged {
				must.NotNil(t, decision.Failure)
				break
			}
			must.Nil(t, decision.Failure)
			must.Eq(t, charged > 0, decision.Retry)
			must.Eq(t, charged > 0, decision.RepeatChance == 1)
			retries = charged // one for each that follows an arrival, and never twice
			must.Eq(t, uint64(retries), planner.RetryBudget.Granted, must.Sprint(n, i))
			result := results[[]int{n % 4, n / 4 % 4, n / 16 % 4, n / 64 % 4}[i%4]]
			result.Failure = &failure.Error{Kind: failure.LostResponse}
			if result.Outcome == Unknown || result.ReachedEndpoint {
				charged++
			} else {
				uncharged++
			}
			must.True(t, planner.Finished(start, call, result))
		}
	}
}

// A call makes no more than maxUncharged+1 attempts where all are rejected.
func TestUnchargedAttemptsAreBounded(t *testing.T) {
	planner, call := newPlanner(), &Call{Host: "h", Path: "/", Method: "POST"}
	planner.RetryBudget.Unlimited = false
	must.Nil(t, planner.Route(start, call, 0))
	n := 0
	for ; planner.Next(start, call).Failure == nil; n++ {
		delete(call.tried, call.current.UID)
		must.True(t, planner.Finished(start, call, Result{Outcome: NotExecuted, Rejected: true, Failure: &failure.Error{}}))
	}
	must.Eq(t, maxUncharged+1, n)
	must.Eq(t, uint64(0), planner.RetryBudget.Granted+planner.RetryBudget.Denied)
}

// An attempt has all the time that is left, however many attempts may follow: an endpoint that does
// not answer may be at work, and to cut the attempt short is to lose its response.
func TestAttemptHasAllTheTimeLeft(t *testing.T) {
	planner := newPlanner()
	for _, method := range []string{"GET", "POST"} {
		for _, requestedTimeout := range []time.Duration{0, time.Second} {
			call := &Call{Host: "h", Path: "/", Method: method}
			must.Nil(t, planner.Route(start, call, requestedTimeout))
			decision := planner.Next(start, call)
			must.Nil(t, decision.Failure)
			must.Eq(t, call.Deadline.Since(start), decision.Timeout, must.Sprint(method, requestedTimeout))
		}
	}
}

// A retry that the destination's retry budget rejects tells nothing of the endpoint, so first
// attempts still go there; after any other rejection they avoid it.
func TestBusyRepeatLeavesTheEndpointAlone(t *testing.T) {
	for kind, chosen := range map[failure.Kind]bool{failure.Busy: true, failure.EndpointRejected: false} {
		planner, call := newPlanner(), &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
		must.Nil(t, planner.Route(start, call, 0))
		must.Nil(t, planner.Next(start, call).Failure)
		must.True(t, planner.Finished(start, call, Result{
			Outcome:         NotExecuted,
			ReachedEndpoint: true,
			Failure:         &failure.Error{Kind: failure.Busy},
		}))
		retry := planner.Next(start, call)
		must.True(t, retry.Retry)
		must.True(t, planner.Finished(start, call, Result{Outcome: NotExecuted, Rejected: true, Failure: &failure.Error{Kind: kind}}))
		seen := false
		for range 100 {
			next := &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
			must.Nil(t, planner.Route(start, next, 0))
			decision := planner.Next(start, next)
			seen = seen || decision.Entry.UID == retry.Entry.UID
			planner.Finished(start, next, Result{Outcome: Executed})
		}
		must.Eq(t, chosen, seen, must.Sprint(kind))
	}
}

// An attempt that was given up as its client left is the last one, says nothing of its endpoint or
// its machine, and is no failure in the counts of a rollout.
func TestClientLeftTellsNothingOfTheEndpoint(t *testing.T) {
	for _, outcome := range []Outcome{NotExecuted, Unknown} {
		planner, call := newPlanner(), &Call{Host: "h", Path: "/x", Method: "GET", Caller: "c"}
		must.Nil(t, planner.Route(start, call, 0))
		decision := planner.Next(start, call)
		must.Nil(t, decision.Failure)
		fail := &failure.Error{Kind: failure.ClientDisconnected, Outcome: failure.OutcomeUnknown}
		must.False(t, planner.Finished(start, call, Result{Outcome: outcome, Failure: fail, ClientLeft: true, Unreachable: true}))
		must.Zero(t, planner.OutcomeCounts()["a"].Failed)
		must.Eq(t, outcome == Unknown, planner.FinalFailure(call).Outcome == failure.OutcomeUnknown)
		for _, workload := range planner.Index.Workloads("a") {
			must.False(t, planner.Balancer.LastResort(start, workload.UID), must.Sprint(outcome, workload.UID))
		}
		chosen := map[ident.Server]bool{}
		for range 100 {
			next := &Call{Host: "h", Path: "/x", Method: "GET", Caller: "c"}
			must.Nil(t, planner.Route(start, next, 0))
			again := planner.Next(start, next)
			chosen[again.Entry.UID] = true
			planner.Finished(start, next, Result{Outcome: Executed})
		}
		must.True(t, chosen[decision.Entry.UID], must.Sprint(outcome, " the endpoint is avoided"))
	}
}
