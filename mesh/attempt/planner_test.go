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

// healthyWorkload returns the record of an endpoint that the balancer may choose.
func healthyWorkload(server string, service ident.Service, sidecar string) record.Address {
	return record.Address{Workload: &record.Workload{
		UID:         ident.Server(server),
		Service:     service,
		SidecarAddr: ident.Addr(sidecar),
		Weight:      1,
		Status:      record.Healthy,
	}}
}

// newPlanner returns a planner with a route to service a, optionally with weighted services, and
// three endpoints each for services a and b.
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

// Covers every sequence of three outcomes, for a repeatable and for an unrepeatable method: a call
// that may have been executed is retried only if the call is repeatable, no failure claims "not
// executed" after an unknown outcome, and no server is tried twice.
func TestAllOrdersOfOutcomes(t *testing.T) {
	outcomes := []Outcome{Executed, NotExecuted, Unknown}
	for _, method := range []string{"GET", "POST"} {
		for n := range 27 {
			planner, call := newPlanner(), &Call{Host: "h", Path: "/x", Method: method, Caller: "c"}
			must.Nil(t, planner.Route(start, call, 0))
			unknown, triedServers := false, map[ident.Server]bool{}
			for i := 0; ; i++ {
				decision := planner.Next(start.Add(time.Duration(i)*time.Millisecond), call)
				if decision.Failure != nil {
					must.Eq(t, unknown, decision.Failure.Outcome == failure.OutcomeUnknown,
						must.Sprintf("%s %d: outcome %s", method, n, decision.Failure.Outcome))
					break
				}
				must.False(t, unknown && method == "POST", must.Sprintf("%d: a POST with unknown outcome was retried", n))
				must.False(t, triedServers[decision.Entry.UID])
				triedServers[decision.Entry.UID] = true
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

// After an attempt with unknown outcome, the repeat policy of the route takes precedence over the
// method.
func TestRouteRepeatPolicyOverridesMethod(t *testing.T) {
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

// The weights of a split may be finer than one percent.
func TestSplitWeightsBelowOnePercent(t *testing.T) {
	planner, chosenB := newPlanner(validation.WeightedService{Service: "b", Percent: 33, ExtraMillionths: 3333}), 0
	for range 30000 {
		call := &Call{Host: "h", Path: "/", Method: "GET"}
		must.Nil(t, planner.Route(start, call, 0))
		if call.Route.Service == "b" {
			chosenB++
		}
	}
	must.Between(t, 9700, chosenB, 10300)
}

// While the weight of the new service grows, each session moves to the new service at most once,
// and the number of moved sessions matches the weight.
func TestSessionsMoveToNewServiceAtMostOnce(t *testing.T) {
	serviceBySession := map[string]ident.Service{}
	for _, percent := range []int{0, 5, 25, 50, 100} {
		planner := newPlanner(validation.WeightedService{Service: "b", Percent: percent})
		moved := 0
		for i := range 2000 {
			session := fmt.Sprint("session", i)
			call := &Call{Host: "h", Path: "/", Method: "GET", Session: session}
			must.Nil(t, planner.Route(start, call, 0))
			must.False(t, serviceBySession[session] == "b" && call.Route.Service == "a", must.Sprint("a session moved back to service a"))
			serviceBySession[session] = call.Route.Service
			if serviceBySession[session] == "b" {
				moved++
			}
		}
		must.Between(t, percent*20-60, moved, percent*20+60)
	}
}

// Without a healthy workload, the call fails immediately with a Retry-After.
func TestNoWorkloadFailsImmediately(t *testing.T) {
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

// A configuration with a revision below MinRevision is never enforced, whichever core or peer
// sends the configuration.
func TestRevisionBelowMinRevisionIsNotEnforced(t *testing.T) {
	planner := New(start, "d", 1, retrybudget.Limits{})
	planner.MinRevision = 10
	must.False(t, planner.Enforce(&validation.Config{Revision: 9}))
	must.Eq(t, 0, planner.Revision())
	must.True(t, planner.Enforce(&validation.Config{Revision: 10}))
	must.False(t, planner.Enforce(&validation.Config{Revision: 10}))
	must.Eq(t, 10, planner.Revision())
}

// Covers all sequences of four results before the last attempt. Only attempts that may have
// reached an endpoint are charged, once each, and count towards MaxAttempts of the route.
// Rejections by the checks of the destination and refused connections are not charged, but are
// limited by maxUnchargedAttempts.
func TestOnlyAttemptsThatMayReachAnEndpointAreCharged(t *testing.T) {
	results := []Result{
		{Outcome: NotExecuted, Rejected: true},
		{Outcome: NotExecuted, Unreachable: true},
		{Outcome: NotExecuted, ReachedEndpoint: true},
		{Outcome: Unknown},
	}
	for n := range 256 {
		planner, call := newPlanner(), &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
		extraRecords := []record.Address{}
		for i := range 12 {
			extraRecords = append(extraRecords, healthyWorkload(fmt.Sprint("more", i), "a", fmt.Sprint("m", i)))
		}
		planner.Index.Merge([]record.Set{{Author: "m", LeaseEpoch: 1, Records: extraRecords}})
		must.Nil(t, planner.Route(start, call, 0))
		charged, uncharged, retries := 0, 0, 0
		for i := 0; ; i++ {
			decision := planner.Next(start, call)
			if charged == 3 || uncharged > maxUnchargedAttempts {
				must.NotNil(t, decision.Failure)
				break
			}
			must.Nil(t, decision.Failure)
			must.Eq(t, charged > 0, decision.Retry)
			must.Eq(t, charged > 0, decision.RepeatChance == 1)
			retries = charged // one retry per charged attempt, never charged twice
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

// If all attempts are rejected, a call makes at most maxUnchargedAttempts+1 attempts.
func TestUnchargedAttemptsAreBounded(t *testing.T) {
	planner, call := newPlanner(), &Call{Host: "h", Path: "/", Method: "POST"}
	planner.RetryBudget.Unlimited = false
	must.Nil(t, planner.Route(start, call, 0))
	attempts := 0
	for ; planner.Next(start, call).Failure == nil; attempts++ {
		delete(call.tried, call.current.UID)
		must.True(t, planner.Finished(start, call, Result{Outcome: NotExecuted, Rejected: true, Failure: &failure.Error{}}))
	}
	must.Eq(t, maxUnchargedAttempts+1, attempts)
	must.Eq(t, uint64(0), planner.RetryBudget.Granted+planner.RetryBudget.Denied)
}

// Each attempt may use all the time until the deadline, however many attempts may follow. An
// endpoint that has not responded may still be processing the request, and a shorter timeout would
// lose the response.
func TestAttemptTimeoutIsTimeUntilDeadline(t *testing.T) {
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

// If the retry budget of the destination rejects a retry, first attempts still use that endpoint,
// because the rejection gives no information about the endpoint. After any other rejection, first
// attempts avoid the endpoint.
func TestBusyRetryRejectionDoesNotPenalizeEndpoint(t *testing.T) {
	for kind, wantChosen := range map[failure.Kind]bool{failure.Busy: true, failure.EndpointRejected: false} {
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
		gotChosen := false
		for range 100 {
			next := &Call{Host: "h", Path: "/", Method: "GET", Caller: "c"}
			must.Nil(t, planner.Route(start, next, 0))
			decision := planner.Next(start, next)
			gotChosen = gotChosen || decision.Entry.UID == retry.Entry.UID
			planner.Finished(start, next, Result{Outcome: Executed})
		}
		must.Eq(t, wantChosen, gotChosen, must.Sprint(kind))
	}
}

// An attempt that was canceled because its client disconnected is the last attempt of its call,
// does not make the endpoint or the machine suspect, and does not count as a failure in the
// outcome counts that rollouts use.
func TestClientLeftDoesNotPenalizeEndpoint(t *testing.T) {
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
		must.True(t, chosen[decision.Entry.UID], must.Sprint(outcome, ": the endpoint is avoided"))
	}
}
