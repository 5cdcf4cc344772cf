// Package attempt plans the attempts of a request in the sidecar of the client: a Planner finds
// the route, chooses an endpoint, evaluates the result, and decides whether to retry.
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
	// minRemainingTime is the minimum time before the deadline for which an attempt is still made.
	minRemainingTime = 5 * time.Millisecond
	// retryAfterSeconds is the Retry-After of failures that the planner generates.
	retryAfterSeconds = 0.1
	// maxUnchargedAttempts is how many attempts of a call may fail before they reach an endpoint.
	// Such attempts are not charged to the retry budget, so this limit prevents retry storms
	// against unreachable machines.
	maxUnchargedAttempts = 4
)

// Planner plans the attempts of all calls of one sidecar. Invariant: the enforced configuration
// only moves to higher revisions, and never to a revision below MinRevision.
type Planner struct {
	// MinRevision is the newest revision that was confirmed when this sidecar joined. An earlier
	// process of this sidecar may already have enforced MinRevision.
	MinRevision   ident.ConfigRevision
	Index         *registry.Index
	Balancer      *loadbalancer.Balancer
	RetryBudget   *retrybudget.Budget
	config        *validation.Config
	routes        *routetable.Table
	outcomeCounts map[ident.Service]reconcile.CallCounts
	// RetryUnsafe allows retries of calls that are not repeatable. Only tests set RetryUnsafe, to
	// verify that the checkers detect the violation.
	RetryUnsafe bool
	// Counters.
	Calls, Retries, GaveUp, NoRoutes uint64
}

// New returns a planner that enforces no configuration yet.
func New(now monotime.Time, zone ident.Zone, seed uint64, limits retrybudget.Limits) *Planner {
	return &Planner{
		Index:         registry.New(),
		Balancer:      loadbalancer.New(zone, seed),
		RetryBudget:   retrybudget.New(now, limits),
		routes:        routetable.New(nil),
		outcomeCounts: map[ident.Service]reconcile.CallCounts{},
	}
}

// Revision returns the revision of the enforced configuration, or 0 if there is none.
func (p *Planner) Revision() ident.ConfigRevision {
	if p.config == nil {
		return 0
	}
	return p.config.Revision
}

// OutcomeCounts returns, per service, the total and failed attempts since the planner was created.
func (p *Planner) OutcomeCounts() map[ident.Service]reconcile.CallCounts {
	return maps.Clone(p.outcomeCounts)
}

// Config returns the enforced configuration, or nil if there is none.
func (p *Planner) Config() *validation.Config { return p.config }

// Enforce replaces the enforced configuration and returns true. If the revision of config is not
// higher than the enforced revision, or is below MinRevision, Enforce returns false.
func (p *Planner) Enforce(config *validation.Config) bool {
	if config.Revision <= p.Revision() || config.Revision < p.MinRevision {
		return false
	}
	p.config, p.routes = config, routetable.New(config)
	return true
}

// Route finds the route and the service of a call and sets the deadline of the call.
// requestedTimeout is the timeout requested by the client, or 0 for none.
func (p *Planner) Route(now monotime.Time, call *Call, requestedTimeout time.Duration) *failure.Error {
	if p.config == nil {
		return failure.New(failure.NotReady, "no configuration is in force yet").WithRetryAfter(retryAfterSeconds)
	}
	route, err := p.routes.Find(call.Host, call.Path)
	if err != nil {
		p.NoRoutes++
		return err
	}
	route.Service = p.selectService(now, call, route)
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

// selectService selects a service of a weighted route. The split services occupy the low
// positions, so a session moves to a new service once as the weight of that service grows, and
// never back. If the selected split service has no healthy workload, selectService returns the
// service of the route instead.
func (p *Planner) selectService(now monotime.Time, call *Call, route validation.Route) ident.Service {
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

// Next decides on the next attempt of a call, or ends the call. Next never blocks.
func (p *Planner) Next(now monotime.Time, call *Call) Decision {
	remaining := call.Deadline.Since(now)
	if remaining < minRemainingTime {
		return p.fail(call, failure.New(failure.DeadlineExceeded, "the deadline of the request has passed"))
	}
	if call.chargedAttempts >= call.Route.MaxAttempts || call.unchargedAttempts > maxUnchargedAttempts {
		return p.fail(call, call.lastFailure)
	}
	entry, ok := p.Balancer.ChooseForRoute(now, call.Route.Name, p.Index.Workloads(call.Route.Service), call.tried)
	if !ok {
		if call.lastFailure != nil {
			return p.fail(call, call.lastFailure)
		}
		return p.fail(call, failure.New(failure.NoEndpoint, "no healthy endpoint of service %q", call.Route.Service).WithRetryAfter(retryAfterSeconds))
	}
	retry, granted := p.chargeRetry(now, call)
	if !granted {
		return p.fail(call, call.lastFailure)
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

// chargeRetry charges the next attempt to the retry budget if an earlier attempt may have reached
// an endpoint. A granted retry stays valid until an attempt reaches an endpoint.
func (p *Planner) chargeRetry(now monotime.Time, call *Call) (retry, granted bool) {
	if call.chargedAttempts == 0 {
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

// Finished processes the result of the attempt that Next decided on. Finished returns whether
// another attempt may follow.
func (p *Planner) Finished(now monotime.Time, call *Call, result Result) (again bool) {
	p.recordOutcome(call, result)
	p.reportToBalancer(now, call, result)
	if result.ClientLeft {
		call.lastFailure = result.Failure
		call.maybeExecuted = call.maybeExecuted || result.Outcome != NotExecuted
		return false
	}
	switch result.Outcome {
	case Executed:
		// After a failure of the endpoint itself, only a repeatable call is tried elsewhere.
		return result.EndpointFailed && call.Repeatable()
	case Unknown:
		call.lastFailure = result.Failure
		call.maybeExecuted = true
		return call.Repeatable() || p.RetryUnsafe
	}
	call.lastFailure = result.Failure
	return true
}

// recordOutcome counts an attempt as charged or uncharged, depending on whether the attempt may
// have reached an endpoint, and adds its outcome to the counts of the service.
func (p *Planner) recordOutcome(call *Call, result Result) {
	if result.Outcome != NotExecuted || result.ReachedEndpoint {
		call.chargedAttempts++
		call.retryGranted = false
	} else {
		call.unchargedAttempts++
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

// reportToBalancer reports the outcome and the load report of an attempt to the balancer.
func (p *Planner) reportToBalancer(now monotime.Time, call *Call, result Result) {
	uncertain := result.Outcome == Unknown && !result.ClientLeft
	p.Balancer.Finished(now, call.current, uncertain, result.Unreachable && !result.ClientLeft)
	if result.LoadReport != nil {
		p.Balancer.HandleReport(now, call.current.UID, *result.LoadReport)
	}
	if result.Outcome == Executed && !result.EndpointFailed && result.Elapsed > 0 {
		p.Balancer.RecordRun(now, call.Route.Name, result.Elapsed, result.ResponseBytes)
	}
	call.shed = call.shed || result.Shed
	// A rejection of a retry by the retry budget of the destination gives no information about the
	// endpoint there.
	retryRejectedAsBusy := call.retryGranted && result.Failure != nil && result.Failure.Kind == failure.Busy
	if result.Rejected && !result.Shed && !retryRejectedAsBusy {
		p.Balancer.Rejected(now, call.current.UID)
	}
}

// FinalFailure ends a call and returns the failure to send to the client. The outcome of the
// failure is NotExecuted only if no attempt can have been executed.
func (p *Planner) FinalFailure(call *Call) *failure.Error {
	return p.fail(call, call.lastFailure).Failure
}

// fail ends a call with a failure. The outcome of the failure is NotExecuted only if no attempt
// can have been executed.
func (p *Planner) fail(call *Call, cause *failure.Error) Decision {
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
