// Package attempt is a request's walk through the sidecar of its caller: way, pick,
// send, return, and whether to try again.
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
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry"
	"cottonarch.example/cottonarch/mesh/retrybudget"
	"cottonarch.example/cottonarch/mesh/routetable"
)

// Outcome is what became of one try.
type Outcome string

// The three verdicts. Invariant: NotRun is said only when it is proved, by the
// gate's refusal or because no byte was sent, and never of something still queued.
const (
	Executed       Outcome = "ran"
	NotExecuted    Outcome = "not-run"
	Unknown        Outcome = "unknown"
	minAttemptTime         = 5 * time.Millisecond
	// retryAfterSeconds is when a caller may come back that was turned away, in seconds.
	retryAfterSeconds = 0.1
	// maxUncharged is how many tries of a call may end before any endpoint without a charge,
	// so that machines that can't be reached make no storm.
	maxUncharged = 4
)

// Call is one request of a caller. Invariant: risk is set once any try ended Unsure,
// and from then on the fate is never said to be "no".
type Call struct {
	Host, Path, Method, Caller string
	// Session, when given, keeps the calls of one session on one side of a split.
	Session  string
	Deadline monotime.Time

	Route   validation.Route
	Service validation.Service
	// Nested says that the endpoint of this machine may have made the call.
	Nested bool

	tried         map[ident.Server]bool
	attempts      int
	charged       int     // tries that may have arrived at an endpoint
	uncharged     int     // tries that certainly did not
	retryGranted  bool    // a further try was granted, and did not arrive yet
	repeatChance  float64 // the chance that the whole call is one of a run repeated
	maybeExecuted bool
	shed          bool
	lastFailure   *failure.Error
	current       registry.Entry
}

// Repeatable tells whether the call may be run twice: its way says so, or else its method.
func (c *Call) Repeatable() bool { return c.Route.Repeat.Allows(c.Method) }

// Attempts counts the tries so far.
func (c *Call) Attempts() int { return c.attempts }

// Decision is what to do next: send to Entry, or end with Defect. Further says that the try
// was charged, since an earlier one may have arrived at an endpoint. Repeat is the chance,
// 0 to 1, that the run is a repeat, for allowance.Tree.Begin beside the endpoint.
type Decision struct {
	Retry        bool
	RepeatChance float64
	Entry        registry.Entry
	Timeout      time.Duration
	Failure      *failure.Error
	// MeanWork, Peers and Must are for the bay at the destination; see bay.Ask. Bytes is what a
	// return of the way has had on the mean, for the link there.
	MeanWork          time.Duration
	MeanResponseBytes int
	PeerFailureRate   float64
	LastResort        bool
}

// Result is the end of one try. Turned says the gate refused; Lost that the machine
// could not be reached or fell silent. Arrived says that a try that was not run reached
// the endpoint, which turned it away itself; of the other verdicts it is taken for granted.
type Result struct {
	Outcome         Outcome
	Failure         *failure.Error
	Rejected        bool
	Unreachable     bool
	ReachedEndpoint bool
	EndpointFailed  bool // a return that says the endpoint failed
	// Shed says that the bay turned it away: the endpoint is known, and not suspect.
	Shed bool
	// LoadReport is what the gate told of its endpoint with this end, nil if it did not.
	LoadReport *loadreport.Report
	// Elapsed is how long the endpoint had it, 0 if that is not known, and Size its return's
	// bytes.
	Elapsed       time.Duration
	ResponseBytes int64
}

// Planner holds what one sidecar knows. Invariant: the manifest only moves to higher
// epochs, and never to one below Floor, the newest that was confirmed when this sidecar
// was let in: an earlier run of it may have shown that one.
type Planner struct {
	MinRevision ident.Epoch
	Index       *registry.Index
	Balancer    *loadbalancer.Balancer
	RetryBudget *retrybudget.Budget
	config      *validation.Config
	routes      *routetable.Table
	outcomes    map[ident.Service]reconcile.CallCounts
	// RetryUnsafe breaks the retry rule; only tests of the checkers set it.
	RetryUnsafe bool
	// Counters.
	Calls, Retries, GaveUp, NoRoutes uint64
}

// New makes a path without a manifest.
func New(now monotime.Time, zone ident.Zone, seed uint64, limits retrybudget.Limits) *Planner {
	return &Planner{Index: registry.New(), Balancer: loadbalancer.New(zone, seed), RetryBudget: retrybudget.New(now, limits), routes: routetable.New(nil), outcomes: map[ident.Service]reconcile.CallCounts{}}
}

// Revision is the manifest epoch in force here.
func (p *Planner) Revision() ident.Epoch {
	if p.config == nil {
		return 0
	}
	return p.config.Revision
}

// Outcomes counts, since the start, how the tries at each service ended.
func (p *Planner) Outcomes() map[ident.Service]reconcile.CallCounts { return maps.Clone(p.outcomes) }

// Config is the one in force.
func (p *Planner) Config() *validation.Config { return p.config }

// Enforce puts a manifest in force unless it is older.
func (p *Planner) Enforce(config *validation.Config) bool {
	if config.Revision <= p.Revision() || config.Revision < p.MinRevision {
		return false
	}
	p.config, p.routes = config, routetable.New(config)
	return true
}

// Route finds a call's way and sets its limit.
func (p *Planner) Route(now monotime.Time, call *Call, requestedTimeout time.Duration) *failure.Error {
	if p.config == nil {
		return failure.New(failure.NotReady, "no manifest is in force yet").WithRetryAfter(retryAfterSeconds)
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

// chooseService chooses the service of a split way. The new services have the low parts,
// so as their parts grow a session moves once and not back. A side without any well
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

// Next chooses the next try, or ends the call. Giving up is said at once.
func (p *Planner) Next(now monotime.Time, call *Call) Decision {
	remaining := call.Deadline.Since(now)
	if remaining < minAttemptTime {
		return p.giveUp(call, failure.New(failure.DeadlineExceeded, "the time for the request is over"))
	}
	if call.charged >= call.Route.MaxAttempts || call.uncharged > maxUncharged {
		return p.giveUp(call, call.lastFailure)
	}
	entry, ok := p.Balancer.ChooseForRoute(now, call.Route.Name, p.Index.Workloads(call.Route.Service), call.tried)
	if !ok {
		if call.lastFailure != nil {
			return p.giveUp(call, call.lastFailure)
		}
		return p.giveUp(call, failure.New(failure.NoWorkload, "no well endpoint of %q", call.Route.Service).WithRetryAfter(retryAfterSeconds))
	}
	retry, repeatChance := call.charged > 0, call.repeatChance
	if retry {
		if !call.retryGranted {
			if !p.RetryBudget.AllowRetry(now, call.Service, call.Caller) {
				return p.giveUp(call, call.lastFailure)
			}
			p.Retries++
		}
		call.retryGranted, repeatChance = true, 1
	}
	call.attempts++
	call.tried[entry.UID] = true
	call.current = entry
	p.Balancer.Started(entry.UID)
	return Decision{Entry: entry, Timeout: remaining, Retry: retry, RepeatChance: repeatChance, MeanWork: p.Balancer.MeanWork(call.Route.Name), MeanResponseBytes: p.Balancer.MeanResponseBytes(call.Route.Name), PeerFailureRate: p.Balancer.MeanFailureRate(call.Route.Service),
		LastResort: call.shed || p.Balancer.LastResort(now, entry.UID)}
}

// Finished takes the end of the try that was out; again says whether another may follow.
func (p *Planner) Finished(now monotime.Time, call *Call, result Result) (again bool) {
	if result.Outcome != NotExecuted || result.ReachedEndpoint {
		call.charged++
		call.retryGranted = false
	} else {
		call.uncharged++
	}
	if result.Outcome != NotExecuted {
		counts := p.outcomes[call.Route.Service]
		counts.Total++
		if result.Outcome == Unknown || result.EndpointFailed {
			counts.Failed++
		}
		p.outcomes[call.Route.Service] = counts
	}
	p.Balancer.Finished(now, call.current, result.Outcome == Unknown, result.Unreachable)
	if result.LoadReport != nil {
		p.Balancer.HandleReport(now, call.current.UID, *result.LoadReport)
	}
	if result.Outcome == Executed && !result.EndpointFailed && result.Elapsed > 0 {
		p.Balancer.RecordRun(now, call.Route.Name, result.Elapsed, result.ResponseBytes)
	}
	call.shed = call.shed || result.Shed
	// A repeat that finds no room at a gate says nothing of the endpoint behind it.
	if result.Rejected && !result.Shed && !(call.retryGranted && result.Failure != nil && result.Failure.Kind == failure.Busy) {
		p.Balancer.Rejected(now, call.current.UID)
	}
	if result.Outcome == Executed {
		// A failure of the endpoint's own ran; only what may run again goes elsewhere.
		return result.EndpointFailed && call.Repeatable()
	}
	call.lastFailure = result.Failure
	if result.Outcome == Unknown {
		call.maybeExecuted = true
		return call.Repeatable() || p.RetryUnsafe
	}
	return true
}

// FinalFailure is the failure to end the call with, its fate as known.
func (p *Planner) FinalFailure(call *Call) *failure.Error {
	return p.giveUp(call, call.lastFailure).Failure
}

func (p *Planner) giveUp(call *Call, cause *failure.Error) Decision {
	p.GaveUp++
	if cause == nil {
		cause = failure.New(failure.NoWorkload, "no try could be made")
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
