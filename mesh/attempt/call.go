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

// Outcome is what became of one attempt.
type Outcome string

// The outcomes. Invariant: NotExecuted is said only when it is proved, since the destination
// rejected the request or no byte of it was sent, and never of a request that is still queued.
const (
	Executed    Outcome = "ran"
	NotExecuted Outcome = "not-run"
	Unknown     Outcome = "unknown"
)

// Call is one request of a client. Invariant: maybeExecuted is set once the outcome of any attempt
// was Unknown; from then on the call's failure never says that it was not executed.
type Call struct {
	Host, Path, Method, Caller string
	// Session, when given, keeps the calls of one session at one service of a weighted route.
	Session  string
	Deadline monotime.Time

	// Route and Service are set by Planner.Route.
	Route   validation.Route
	Service validation.Service
	// Nested says that the endpoint of this machine may have made the call.
	Nested bool

	tried         map[ident.Server]bool
	attempts      int
	charged       int     // attempts that may have reached an endpoint
	uncharged     int     // attempts that certainly did not
	retryGranted  bool    // the retry budget granted an attempt, which has not reached an endpoint yet
	repeatChance  float64 // the chance, 0 to 1, that the whole call comes from a repeated run
	maybeExecuted bool
	shed          bool // an admission queue rejected an attempt
	lastFailure   *failure.Error
	current       registry.Entry
}

// Repeatable reports whether the call may be executed twice: its route says so, or else its method.
func (c *Call) Repeatable() bool { return c.Route.Repeat.Allows(c.Method) }

// Attempts counts the attempts so far.
func (c *Call) Attempts() int { return c.attempts }

// Decision is what to do next with a call: send it to Entry, or end it with Failure.
type Decision struct {
	// Retry says that the attempt was charged to the retry budget, since an earlier one may have
	// reached an endpoint.
	Retry bool
	// RepeatChance is the chance, 0 to 1, that the endpoint runs the call a second time, for
	// retrybudget.Budget.BeginRun at the destination.
	RepeatChance float64
	Entry        registry.Entry
	Timeout      time.Duration
	Failure      *failure.Error
	// MeanServiceTime, PeerFailureRate and LastResort are for the admission queue at the destination, see
	// admission.Request; MeanResponseBytes, the mean size of the route's responses, is for the
	// link there.
	MeanServiceTime   time.Duration
	MeanResponseBytes int
	PeerFailureRate   float64
	LastResort        bool
}

// Result is how one attempt ended.
type Result struct {
	Outcome Outcome
	Failure *failure.Error
	// Rejected says that the destination's checks rejected it.
	Rejected bool
	// Unreachable says that the machine could not be reached or stopped answering.
	Unreachable bool
	// ReachedEndpoint says that the endpoint itself rejected an attempt that was not executed. It
	// is of no use with the other outcomes: those attempts may have reached it in any case.
	ReachedEndpoint bool
	// EndpointFailed says that the response tells of a failure of the endpoint.
	EndpointFailed bool
	// ClientLeft says that the attempt was given up as its client had left: it tells nothing of
	// its endpoint, and no other follows.
	ClientLeft bool
	// Shed says that the admission queue rejected it: the endpoint is busy, and not suspect.
	Shed bool
	// LoadReport is the endpoint's load as the destination reported it, nil if it did not.
	LoadReport *loadreport.Report
	// Elapsed is how long the endpoint had the request, 0 for unknown, and ResponseBytes the size
	// of its response.
	Elapsed       time.Duration
	ResponseBytes int64
}
