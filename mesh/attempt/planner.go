// Package attempt plans the attempts of a request in the sidecar of its client: it finds the route,
// chooses an endpoint, takes the result, and decides whether the request is tried again.
package attempt

import (
	"hash/fnv"
	"maps"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/rollout/reconcile"
	"cottonarch.example/cottonarch/mesh/loadbalancer"
	"cottonarch.example/cottonarch/mesh/registry"
	"cottonarch.example/cottonarch/mesh/retrybudget"
	"cottonarch.example/cottonarch/mesh/routetable"
)

const (
	// minAttemptTime is the least time that must be left for an attempt to be made.
	minAttemptTime = 5 * time.Millisecond
	// retryAfterSeconds is when a client may retry that was rejected here.
	retryAfterSeconds = 0.1
	// maxUncharged is how many attempts of a call may fail before any endpoint, at no charge to the
	// retry budget, so that unreachable machines cause no storm of attempts.
	maxUncharged = 4
)

// Planner plans the attempts of one sidecar's calls. Invariant: the configuration only moves to
// higher revisions, and never to one below MinRevision.
type Planner struct {
	// MinRevision is the newest revision that was confirmed when this sidecar joined: an earlier run
	// of it may have enforced that one.
	MinRevision   ident.ConfigRevision
	Index         *registry.Index
	Balancer      *loadbalancer.Balancer
	RetryBudget   *retrybudget.Budget
	config        *validation.Config
	routes        *routetable.Table
	outcomeCounts map[ident.Service]reconcile.CallCounts
	// RetryUnsafe breaks the rule of what may be retried; only tests of the checkers set it.
	RetryUnsafe bool
	// Counters.
	Calls, Retries, GaveUp, NoRoutes uint64
}

// New makes a planner without a configuration.
func New(now monotime.Time, zone ident.Zone, seed uint64, limits retrybudget.Limits) *Planner {
	return &Planner{
		Index:         registry.New(),
		Balancer:      loadbalancer.New(zone, seed),
		RetryBudget:   retrybudget.New(now, limits),
		routes:        routetable.New(nil),
		outcomeCounts: map[ident.Service]reconcile.CallCounts{},
	}
}

// Revision is the revision of the configuration in force, 0 for none.
func (p *Planner) Revision() ident.ConfigRevision {
	if p.config == nil {
		return 0
	}
	return p.config.Revision
}

// OutcomeCounts counts, since the start, how the attempts at each service ended.
func (p *Planner) OutcomeCounts() map[ident.Service]reconcile.CallCounts {
	return maps.Clone(p.outcomeCounts)
}

// Config is the configuration in force, nil for none.
func (p *Planner) Config() *validation.Config { return p.config }

// Enforce puts a configuration in force, unless its revision is not higher or below MinRevision.
func (p *Planner) Enforce(config *validation.Config) bool {
	if config.Revision <= p.Revision() || config.Revision < p.MinRevision {
		return false
	}
	p.config, p.routes = config, routetable.New(config)
	return true
}

// Route finds a call's route and service and sets its deadline; requestedTimeout is what the client
// asked for, 0 for nothing.
func (p *Planner) Route(now monotime.Time, call *Call, requestedTimeout time.Duration) *failure.Error {
	if p.config == nil {
		return failure.New(failure.NotReady, "no configuration is in force yet").WithRetryAfter(retryAfterSeconds)
	}
	route, err := p.routes.Find(call.Host, call.Path)
	if err != nil {
		p.NoRoutes++
		return err
	}
	route.Service = p.chooseService(now, call, route)
	call.Route, call.Service, call.tried = route, p.config.Services[route.Service], map[ident.Server]bool{}
	timeout := route.Timeout
	if requestedTimeout > 0 && requestedTimeout < timeout {
		timeout = requestedTimeout
	}
	call.Deadline = now.Add(timeout)
	p.Calls++
	if call.Nested {
		call.repeatChance = p.RetryBudget.CountNestedRequest(now, call.Service, call.Caller)
	} else {
		p.RetryBudget.CountRequest(now, call.Service, call.Caller)
	}
	return nil
}

// chooseService chooses a service of a weighted route. The new services have the low positions, so
// as their parts grow a session moves to them once and not back. A new service without a healthy
// workload is passed over.
func (p *Planner) chooseService(now monotime.Time, call *Call, route validation.Route) ident.Service {
	if len(route.Split) == 0 {
		return route.Service
	}
	position := p.Balancer.IntN(validation.FullShare)
	if call.Session != "" {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(route.Name + "\x00" + call.Session))
		position = int(hash.Sum32() % validation.FullShare)
	}
	for _, split := range route.Split {
		if position < split.Millionths() {
			if _, ok := p.Balancer.Choose(now, p.Index.Workloads(split.Service), nil); ok {
				return split.Service
			}
			return route.Service
		}
		position -= split.Millionths()
	}
	return route.Service
}

// Next decides on the next attempt of a call, or ends the call: it never waits.
func (p *Planner) Next(now monotime.Time, call *Call) Decision {
	remaining := call.Deadline.Since(now)
	if remaining < minAttemptTime {
		return p.giveUp(call, failure.New(failure.DeadlineExceeded, "the deadline of the request has passed"))
	}
	if call.charged >= call.Route.MaxAttempts || call.uncharged > maxUncharged {
		return p.giveUp(call, call.lastFailure)
	}
	entry, ok := p.Balancer.ChooseForRoute(now, call.Route.Name, p.Index.Workloads(call.Route.Service), call.tried)
	if !ok {
		if call.lastFailure != nil {
			return p.giveUp(call, call.lastFailure)
		}
		return p.giveUp(call, failure.New(failure.NoEndpoint, "no healthy endpoint of %q", call.Route.Service).WithRetryAfter(retryAfterSeconds))
	}
	retry, granted := p.chargeRetry(now, call)
	if !granted {
		return p.giveUp(call, call.lastFailure)
	}
	repeatChance := call.repeatChance
	if retry {
		repeatChance = 1
	}
	call.attempts++
	call.tried[entry.UID] = true
	call.current = entry
	p.Balancer.Started(entry.UID)
	return Decision{
		Retry:             retry,
		RepeatChance:      repeatChance,
		Entry:             entry,
		Timeout:           remaining,
		MeanServiceTime:   p.Balancer.MeanServiceTime(call.Route.Name),
		MeanResponseBytes: p.Balancer.MeanResponseBytes(call.Route.Name),
		PeerFailureRate:   p.Balancer.MeanFailureRate(call.Route.Service),
		LastResort:        call.shed || p.Balancer.LastResort(now, entry.UID),
	}
}

// chargeRetry charges the next attempt to the retry budget if an earlier one may have reached an
// endpoint. What was granted once holds until an attempt reaches an endpoint.
func (p *Planner) chargeRetry(now monotime.Time, call *Call) (retry, granted bool) {
	if call.charged == 0 {
		return false, true
	}
	if !call.retryGranted {
		if !p.RetryBudget.AllowRetry(now, call.Service, call.Caller) {
			return true, false
		}
		p.Retries++
		call.retryGranted = true
	}
	return true, true
}

// Finished takes the result of the attempt that Next decided on; again says whether another may
// follow.
func (p *Planner) Finished(now monotime.Time, call *Call, result Result) (again bool) {
	p.countResult(call, result)
	p.updateBalancer(now, call, result)
	if result.ClientLeft {
		call.lastFailure = result.Failure
		call.maybeExecuted = call.maybeExecuted || result.Outcome != NotExecuted
		return false
	}
	switch result.Outcome {
	case Executed:
		// Where the endpoint itself failed, only a repeatable call is tried elsewhere.
		return result.EndpointFailed && call.Repeatable()
	case Unknown:
		call.lastFailure = result.Failure
		call.maybeExecuted = true
		return call.Repeatable() || p.RetryUnsafe
	}
	call.lastFailure = result.Failure
	return true
}

// countResult counts an attempt by whether it may have reached an endpoint, and its outcome.
func (p *Planner) countResult(call *Call, result Result) {
	if result.Outcome != NotExecuted || result.ReachedEndpoint {
		call.charged++
		call.retryGranted = false
	} else {
		call.uncharged++
	}
	if result.Outcome == NotExecuted || result.ClientLeft {
		return
	}
	counts := p.outcomeCounts[call.Route.Service]
	counts.Total++
	if result.Outcome == Unknown || result.EndpointFailed {
		counts.Failed++
	}
	p.outcomeCounts[call.Route.Service] = counts
}

// updateBalancer passes on what an attempt tells of its endpoint.
func (p *Planner) updateBalancer(now monotime.Time, call *Call, result Result) {
	uncertain := result.Outcome == Unknown && !result.ClientLeft
	p.Balancer.Finished(now, call.current, uncertain, result.Unreachable && !result.ClientLeft)
	if result.LoadReport != nil {
		p.Balancer.HandleReport(now, call.current.UID, *result.LoadReport)
	}
	if result.Outcome == Executed && !result.EndpointFailed && result.Elapsed > 0 {
		p.Balancer.RecordRun(now, call.Route.Name, result.Elapsed, result.ResponseBytes)
	}
	call.shed = call.shed || result.Shed
	// A retry that the destination's retry budget rejects tells nothing of the endpoint there.
	busyRetry := call.retryGranted && result.Failure != nil && result.Failure.Kind == failure.Busy
	if result.Rejected && !result.Shed && !busyRetry {
		p.Balancer.Rejected(now, call.current.UID)
	}
}

// FinalFailure is the failure to end a call with, its outcome as far as it is known.
func (p *Planner) FinalFailure(call *Call) *failure.Error {
	return p.giveUp(call, call.lastFailure).Failure
}

// giveUp ends a call. Its failure says that the call was not executed only if no attempt can have
// been.
func (p *Planner) giveUp(call *Call, cause *failure.Error) Decision {
	p.GaveUp++
	if cause == nil {
		cause = failure.New(failure.NoEndpoint, "no attempt could be made")
	}
	failed := *cause
	failed.Outcome = failure.NotExecuted
	if call.maybeExecuted {
		failed.Outcome = failure.OutcomeUnknown
		if failed.Status() == 503 {
			failed.Kind = failure.LostResponse
		}
	}
	if failed.RetryAfter == 0 && (failed.Outcome == failure.NotExecuted || call.Repeatable()) && failed.Kind != failure.NoRoute {
		failed.RetryAfter = retryAfterSeconds
	}
	return Decision{Failure: &failed}
}
