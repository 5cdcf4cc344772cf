// Package invariant holds one checker for each line of "What must never happen".
package invariant

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// Outcome is what a caller was told.
type Outcome string

// The fates.
const (
	Served      Outcome = "served"
	NotExecuted Outcome = "not-run"
	Unknown     Outcome = "unknown"
	SidecarDown Outcome = "no-node"
	Pending     Outcome = ""
)

// Call is one request.
type Call struct {
	ID                 string
	Service            ident.Service
	AtMostOnce         bool
	Routed             bool
	Urgent             bool
	UrgentInFlight     int // urgent calls in hand at its own sidecar when it was put in line, it too
	UrgentCapacity     int // how many of them that sidecar has room for
	Began, Ended       monotime.Time
	LastAttemptEnded   monotime.Time // when its last try ended, or it came if there was none
	Deadline           monotime.Time // when its time is over
	Outcome            Outcome
	Reason             string
	RejectedAtEndpoint bool // its last try was turned away by an endpoint or its bay
	Arrivals           int  // tries that reached an endpoint
	Complete           bool // some endpoint gave its whole return
	Done               func()
}

// Execution is one line of an endpoint's ledger.
type Execution struct {
	ID                        string
	Server                    ident.Server
	Service, RequestedService ident.Service
	ArrivedAt                 monotime.Time // when the request reached the endpoint
	ExecutedAt                monotime.Time // when it was run, 0 if at once
	LeaveConfirmedAt          monotime.Time // when its leaving was confirmed on its machine, 0 if it was not
	LossConfirmedAt           monotime.Time // when its loss was
	AtMostOnce                bool
}

// Violation is one rule broken.
type Violation struct {
	Rule string
	At   monotime.Time
	Note string
}

// Rules names every rule, in the order of the brief.
var Rules = []string{"double-run", "false-not-run", "late-to-leaver", "wrong-service", "wrong-return", "manifest-late", "manifest-back",
	"manifest-turned", "dropped-in-stop", "further-tries", "lock-shared", "number-repeated", "stale-read", "watch-forgotten", EntryOrder, EntryStale, EntryWatch, EntryRejected, AdmissionRejected, AdmissionDecision, AdmissionStop, "slow-recovery", "urgent-turned", "held-back", "not-mended", "audit", "disk", "invalid", "damaged", HerdReady}

// HerdReady: sidecars that come together are all ready soon after a majority of the cores
// is there. Only faults that must be asked for by name look at it.
const HerdReady = "herd-ready"

// onDemand lists the rules that only such faults look at.
var onDemand = map[string]bool{HerdReady: true}

// The rules of a bay: what it turned away never ran; a request gets one word; nobody waits
// there soon after a planned stop began.
const (
	AdmissionRejected = "bay-turned"
	AdmissionDecision = "bay-told"
	AdmissionStop     = "bay-stop"
)

// Bounds are the times of the brief.
const (
	leaveDeadline    = 2 * time.Second
	ConfigDeadline   = 2 * time.Second
	recoveryDeadline = 15 * time.Second
	maxHoldBack      = time.Millisecond
)

// requiredObservations says how often a rule must have been looked at to be judged, where ten times
// would be asked of a fault that comes once or twice.
var requiredObservations = map[string]int{"slow-recovery": 1, "dropped-in-stop": 1, "disk": 1, "late-to-leaver": 1, AdmissionStop: 1}

const defaultRequiredObservations = 10

// Checker gathers what happened. Invariants: nothing in it is read by what is checked;
// each observation is counted once: as a look, which is judged, or as excused, with its
// cause. A look that had to wait for a fault's end is counted in Waited as well.
type Checker struct {
	Violations        []Violation
	Calls             []*Call
	Executions        []Execution
	retries           map[ident.Service][]monotime.Time
	Observed          map[string]int            // how often each rule was looked at
	Excused           map[string]map[string]int // rule, cause
	Delayed           map[string]map[string]int // rule, cause
	rejectedProposals map[string]string
	Outages           []Outage
}

// Outage is a bad loss. Invariant: At is when it struck, whether or not it lasts.
type Outage struct {
	At   monotime.Time
	Name string
}

// New makes one.
func New() *Checker {
	return &Checker{retries: map[ident.Service][]monotime.Time{}, Observed: map[string]int{}, Excused: map[string]map[string]int{}, Delayed: map[string]map[string]int{}, rejectedProposals: map[string]string{}}
}

// Observe counts an observation that is judged.
func (c *Checker) Observe(rule string) { c.Observed[rule]++ }

// Excuse counts an observation that can't be judged, and why.
func (c *Checker) Excuse(rule, cause string) { addCount(c.Excused, rule, cause, 1) }

// ObserveDelayed counts an observation whose bound ran from the end of a fault.
func (c *Checker) ObserveDelayed(rule, cause string) { addCount(c.Delayed, rule, cause, 1) }

func addCount(m map[string]map[string]int, rule, cause string, n int) {
	if m[rule] == nil {
		m[rule] = map[string]int{}
	}
	m[rule][cause] += n
}

// Merge adds another run's counts to this one.
func (c *Checker) Merge(other *Checker) {
	for rule, n := range other.Observed {
		c.Observed[rule] += n
	}
	for rule, m := range other.Excused {
		for cause, n := range m {
			addCount(c.Excused, rule, cause, n)
		}
	}
	for rule, m := range other.Delayed {
		for cause, n := range m {
			addCount(c.Delayed, rule, cause, n)
		}
	}
	c.Violations = append(c.Violations, other.Violations...)
}

// Inconclusive lists the rules that were looked at too seldom.
func (c *Checker) Inconclusive() []string {
	var out []string
	for _, rule := range Rules {
		if onDemand[rule] && c.Observed[rule] == 0 {
			continue
		}
		required, ok := requiredObservations[rule]
		if !ok {
			required = defaultRequiredObservations
		}
		if c.Observed[rule] < required {
			out = append(out, rule)
		}
	}
	return out
}

// Violate notes a breach.
func (c *Checker) Violate(at monotime.Time, rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// Executed takes a run of an endpoint.
func (c *Checker) Executed(execution Execution) {
	if execution.ExecutedAt == 0 {
		execution.ExecutedAt = execution.ArrivedAt
	}
	c.Executions = append(c.Executions, execution)
	c.Observed["wrong-service"]++
	if execution.Service != execution.RequestedService {
		c.Violate(execution.ArrivedAt, "wrong-service", "%s meant for %s was run by %s of %s", execution.ID, execution.RequestedService, execution.Server, execution.Service)
	}
	for event, at := range map[string]monotime.Time{"leaving": execution.LeaveConfirmedAt, "loss": execution.LossConfirmedAt} {
		if at == 0 || execution.ArrivedAt < at {
			continue
		}
		if execution.ArrivedAt.Since(at) > leaveDeadline {
			c.Violate(execution.ArrivedAt, "late-to-leaver", "%s reached %s %v after its %s was confirmed", execution.ID, execution.Server, execution.ArrivedAt.Since(at), event)
		}
	}
}

// Retried takes a further try.
func (c *Checker) Retried(at monotime.Time, service ident.Service) {
	c.retries[service] = append(c.retries[service], at)
}

// ConfigShown takes a manifest that a node has put in force or shows.
func (c *Checker) ConfigShown(at monotime.Time, node string, config *validation.Config, last *ident.Epoch) {
	c.Observed["manifest-back"]++
	if config.Revision < *last {
		c.Violate(at, "manifest-back", "%s showed epoch %d after %d", node, config.Revision, *last)
	}
	*last = max(*last, config.Revision)
	c.Observed["manifest-turned"]++
	for _, service := range config.Services {
		if reason, rejected := c.rejectedProposals[service.Namespace]; rejected {
			c.Violate(at, "manifest-turned", "%s has epoch %d in force with %s, which was told %s", node, config.Revision, service.Namespace, reason)
		}
	}
}

// ProposalRejected notes the mark of an offer that was told a sure no.
func (c *Checker) ProposalRejected(marker, reason string) { c.rejectedProposals[marker] = reason }

// Finish looks at what can be judged only at the end.
func (c *Checker) Finish(from, until monotime.Time) {
	executions := map[string]int{}
	firstArrival := map[string]monotime.Time{}
	for _, execution := range c.Executions {
		executions[execution.ID]++
		if executions[execution.ID] == 1 {
			firstArrival[execution.ID] = execution.ArrivedAt
		}
		if execution.AtMostOnce && executions[execution.ID] == 2 {
			c.Violate(execution.ArrivedAt, "double-run", "%s ran twice, first at %v", execution.ID, time.Duration(firstArrival[execution.ID]))
		}
	}
	for _, call := range c.Calls {
		if call.AtMostOnce {
			c.Observed["double-run"]++
		}
		if call.Outcome == NotExecuted {
			c.Observed["false-not-run"]++
			if executions[call.ID] > 0 {
				c.Violate(firstArrival[call.ID], "false-not-run", "%s was told not run (%s) and ran", call.ID, call.Reason)
			}
		}
		c.checkUrgent(call)
		c.checkHeldBack(call)
		if call.Outcome == Served {
			c.Observed["wrong-return"]++
			if executions[call.ID] == 0 || !call.Complete {
				c.Violate(call.Ended, "wrong-return", "%s was served and no endpoint gave a whole return", call.ID)
			}
		}
	}
	c.checkRetryBudget()
	c.checkRecovery(from, until)
}

// checkUrgent: no urgent call is turned away at its own sidecar for want of room; what others
// fill is not its line.
func (c *Checker) checkUrgent(call *Call) {
	if !call.Urgent || call.Outcome == SidecarDown || call.Outcome == Pending {
		return
	}
	if call.Reason == "busy" && call.UrgentInFlight >= call.UrgentCapacity {
		c.Excuse("urgent-turned", "urgent calls alone filling its line")
		return
	}
	if call.Reason == "busy" && call.RejectedAtEndpoint {
		c.Excuse("urgent-turned", "no room at its endpoint, which is not its line")
		return
	}
	c.Observe("urgent-turned")
	if call.Reason == "busy" {
		c.Violate(call.Ended, "urgent-turned", "%s was turned away as busy", call.ID)
	}
}

// checkHeldBack: what is given up is said at once, not held back until the time is nearly over.
func (c *Checker) checkHeldBack(call *Call) {
	if call.Outcome != NotExecuted && call.Outcome != Unknown || call.LastAttemptEnded == 0 {
		return
	}
	c.Observe("held-back")
	if late := call.Ended.Since(call.LastAttemptEnded); late > maxHoldBack {
		c.Violate(call.Ended, "held-back", "%s was told %s %v after it was given up", call.ID, call.Outcome, late)
	}
}

// checkRetryBudget checks every window of ten seconds that ends at a further try.
func (c *Checker) checkRetryBudget() {
	calls := map[ident.Service][]monotime.Time{}
	for _, call := range c.Calls {
		if call.Routed {
			calls[call.Service] = append(calls[call.Service], call.Began)
		}
	}
	for _, service := range sortedServices(c.retries) {
		retriedAt := c.retries[service]
		for i, t := range retriedAt {
			c.Observed["further-tries"]++
			windowStart := t.Add(-10 * time.Second)
			retryCount := i + 1 - lowerBound(retriedAt[:i+1], windowStart)
			callTimes := calls[service]
			callCount := lowerBound(callTimes, t+1) - lowerBound(callTimes, windowStart)
			if float64(retryCount) > 0.2*float64(callCount)+60+1 {
				c.Violate(t, "further-tries", "%d further tries at %s beside %d calls in ten seconds", retryCount, service, callCount)
				break
			}
		}
	}
}

func sortedServices[V any](m map[ident.Service]V) []ident.Service {
	out := make([]ident.Service, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func lowerBound(list []monotime.Time, x monotime.Time) int {
	i, _ := slices.BinarySearch(list, x)
	return i
}

// checkRecovery: a quarter of normal must be served again within recoverMax of each loss.
func (c *Checker) checkRecovery(from, until monotime.Time) {
	const window = 2 * time.Second
	servedRate := func(begin, end monotime.Time) float64 {
		n := 0
		for _, call := range c.Calls {
			if call.Outcome == Served && call.Ended >= begin && call.Ended < end {
				n++
			}
		}
		return float64(n) / end.Since(begin).Seconds()
	}
	normal := servedRate(from, from.Add(5*time.Second))
	for _, outage := range c.Outages {
		if outage.At.Add(recoveryDeadline) > until {
			c.Excuse("slow-recovery", "the day ended")
			continue
		}
		c.Observe("slow-recovery")
		if recovered := servedRate(outage.At.Add(recoveryDeadline-window), outage.At.Add(recoveryDeadline)); recovered < normal/4 {
			c.Violate(outage.At.Add(recoveryDeadline), "slow-recovery", "%.0f of %.0f a second after the loss at %v (%s)", recovered, normal, time.Duration(outage.At), outage.Name)
		}
	}
}

// Text lists the verdict of every rule.
func (c *Checker) Text() string {
	var b strings.Builder
	violations := map[string]int{}
	for _, x := range c.Violations {
		violations[x.Rule]++
	}
	inconclusive := c.Inconclusive()
	for _, rule := range Rules {
		verdict := "held"
		switch {
		case violations[rule] > 0:
			verdict = "BROKEN"
		case slices.Contains(inconclusive, rule):
			verdict = "not judged"
		case onDemand[rule] && c.Observed[rule] == 0:
			verdict = "not asked"
		}
		fmt.Fprintf(&b, "%-18s %-10s looked at %d, broken %d", rule, verdict, c.Observed[rule], violations[rule])
		writeCauses(&b, "excused", c.Excused[rule])
		writeCauses(&b, "of them after a wait for the end of", c.Delayed[rule])
		b.WriteString("\n")
	}
	return b.String()
}

func writeCauses(b *strings.Builder, label string, causes map[string]int) {
	if len(causes) == 0 {
		return
	}
	total := 0
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		total += causes[cause]
		parts = append(parts, fmt.Sprintf("%s %d", cause, causes[cause]))
	}
	fmt.Fprintf(b, ", %s %d (%s)", label, total, strings.Join(parts, ", "))
}

// Summary says in one line what became of the rules.
func (c *Checker) Summary() string {
	if inconclusive := c.Inconclusive(); len(c.Violations) == 0 && len(inconclusive) > 0 {
		return "every rule that was looked at held; looked at too seldom to judge: " + strings.Join(inconclusive, ", ")
	}
	if len(c.Violations) == 0 {
		return "every rule held"
	}
	return "rules were broken"
}
