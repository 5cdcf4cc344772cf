package attempt

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry"
)

// Outcome tells whether the endpoint executed the request of one attempt.
type Outcome string

// The outcomes. Invariant: NotExecuted is reported only when proven, because the destination
// rejected the request or because no byte of the request was sent. A request that is still queued
// never has the outcome NotExecuted.
const (
	Executed    Outcome = "ran"
	NotExecuted Outcome = "not-run"
	Unknown     Outcome = "unknown"
)

// Call is one request of a client and the state of its attempts. Invariant: maybeExecuted is set
// as soon as the outcome of any attempt is Unknown; from then on, the failure of the call never
// claims that the call was not executed.
type Call struct {
	Host, Path, Method, Caller string
	// Session, if set, pins all calls of the session to the same service of a weighted route.
	Session  string
	Deadline monotime.Time

	// Route and Service are set by Planner.Route.
	Route   validation.Route
	Service validation.Service
	// Nested reports whether the local endpoint may have made the call.
	Nested bool

	tried             map[ident.Server]bool
	attempts          int
	chargedAttempts   int     // attempts that may have reached an endpoint
	unchargedAttempts int     // attempts that certainly did not reach an endpoint
	retryGranted      bool    // the retry budget granted an attempt that has not reached an endpoint yet
	repeatChance      float64 // probability (0 to 1) that the call was made by a repeated run
	maybeExecuted     bool
	shed              bool // an admission queue rejected an attempt
	lastFailure       *failure.Error
	current           registry.Entry
}

// Repeatable reports whether the call may be executed more than once, according to the repeat
// policy of its route or, if the policy leaves the decision to the method, according to the
// method.
func (c *Call) Repeatable() bool { return c.Route.Repeat.Allows(c.Method) }

// Attempts returns the number of attempts made so far.
func (c *Call) Attempts() int { return c.attempts }

// Decision is the next action for a call: send the call to Entry, or end the call with Failure.
type Decision struct {
	// Retry reports whether the attempt was charged to the retry budget, because an earlier
	// attempt may have reached an endpoint.
	Retry bool
	// RepeatChance is the probability (0 to 1) that the attempt repeats an earlier run; the
	// destination passes RepeatChance to retrybudget.Budget.BeginRun.
	RepeatChance float64
	Entry        registry.Entry
	Timeout      time.Duration
	Failure      *failure.Error
	// MeanServiceTime, PeerFailureRate and LastResort are inputs of the admission queue at the
	// destination (see admission.Request). MeanResponseBytes is the mean response size of the
	// route; the destination uses it to limit the load on its network link.
	MeanServiceTime   time.Duration
	MeanResponseBytes int
	PeerFailureRate   float64
	LastResort        bool
}

// Result describes how one attempt ended.
type Result struct {
	Outcome Outcome
	Failure *failure.Error
	// Rejected reports whether the checks of the destination rejected the attempt.
	Rejected bool
	// Unreachable reports whether the machine could not be reached or stopped responding.
	Unreachable bool
	// ReachedEndpoint reports whether the endpoint itself rejected an attempt that was not
	// executed. ReachedEndpoint has no effect for the other outcomes, because attempts with those
	// outcomes may have reached the endpoint anyway.
	ReachedEndpoint bool
	// EndpointFailed reports whether the response indicates a failure of the endpoint.
	EndpointFailed bool
	// ClientLeft reports whether the attempt was canceled because its client disconnected. Such an
	// attempt gives no information about its endpoint and is not followed by another attempt.
	ClientLeft bool
	// Shed reports whether the admission queue rejected the attempt. The endpoint is then busy,
	// but not suspect.
	Shed bool
	// LoadReport is the load of the endpoint as reported by the destination, or nil without a
	// report.
	LoadReport *loadreport.Report
	// Elapsed is the time that the request spent at the endpoint, 0 if unknown. ResponseBytes is
	// the size of the response.
	Elapsed       time.Duration
	ResponseBytes int64
}
