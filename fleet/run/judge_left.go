package run

import (
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/client"
	"cottonarch.example/cottonarch/standin/endpoint"
)

const (
	// abandonDeadline is the time after a client abandoned a request within which the request may
	// still reach an endpoint, and within which an execution that can be repeated must end.
	abandonDeadline = 500 * time.Millisecond
	// maxLateArrivals is the number of abandoned requests that may reach an endpoint after
	// abandonDeadline in a whole run.
	maxLateArrivals = 3
	// Of the long executions (see abandonedCounts), at most one in maxContinuedOneIn may continue after
	// abandonDeadline. This limit applies from minLongExecutions long executions on.
	maxContinuedOneIn = 4
	minLongExecutions = 8
	// outageMargin is the time before and after a client abandons a request in which an outage of a
	// sidecar on the request's path excuses the request.
	outageMargin = time.Second
)

// abandonedCounts counts the executions of abandoned requests.
type abandonedCounts struct {
	lateArrivals        int // requests that reached an endpoint after abandonDeadline
	longExecutions      int // executions that can be repeated and whose work would last beyond abandonDeadline
	continuedExecutions int // long executions that did not end before abandonDeadline
}

// exceedLimits reports whether the late arrivals or the continued executions exceed their limit.
func (c *abandonedCounts) exceedLimits() bool {
	return c.lateArrivals > maxLateArrivals || c.longExecutions >= minLongExecutions && c.continuedExecutions*maxContinuedOneIn > c.longExecutions
}

// checkAbandoned checks that the mesh stops the work for abandoned requests. The caller must hold mu.
func (f *Fleet) checkAbandoned() {
	abandoned := map[string]client.Result{}
	for _, call := range f.results.All() {
		if call.Outcome == client.Abandoned {
			abandoned[call.ID] = call
		}
	}
	var counts abandonedCounts
	for _, execution := range f.executions.All() {
		if call, ok := abandoned[execution.ID]; ok {
			f.checkAbandonedExecution(&counts, call, execution)
		}
	}
	f.Counts["sent on for clients that left"] = counts.lateArrivals
	f.Counts["long runs of clients that left"] = counts.longExecutions
	f.Counts["long runs that went on"] = counts.continuedExecutions
	if counts.exceedLimits() {
		f.Checker.Violate(f.now(), ruleAbandonedWork, "%d abandoned requests reached an endpoint late and %d of %d long executions continued after their client had left",
			counts.lateArrivals, counts.continuedExecutions, counts.longExecutions)
	}
}

// checkAbandonedExecution counts one execution of an abandoned request, unless the execution is excused
// by an outage. The caller must hold mu.
func (f *Fleet) checkAbandonedExecution(counts *abandonedCounts, call client.Result, execution endpoint.Execution) {
	abandonedAt := call.Start.Add(call.Duration)
	sidecar, _, _ := strings.Cut(call.ID, "-")
	for _, name := range []string{sidecar, f.sidecarOfEndpoint(execution.Server)} {
		for cause := range f.outageCauses(name, abandonedAt.Add(-outageMargin), abandonedAt.Add(outageMargin)) {
			f.Checker.Excuse(ruleAbandonedWork, cause)
			return
		}
	}
	f.Checker.Observe(ruleAbandonedWork)
	deadline := abandonedAt.Add(abandonDeadline)
	if execution.ReceivedAt.After(deadline) {
		counts.lateArrivals++
	}
	if atMostOnce(call.RequestKind) || !execution.ReceivedAt.Add(execution.WorkTime).After(deadline) || execution.ReceivedAt.After(deadline) {
		return
	}
	counts.longExecutions++
	if execution.EndedAt.IsZero() || execution.EndedAt.After(deadline) {
		counts.continuedExecutions++
	}
}

// sidecarOfEndpoint returns the name of the sidecar on the endpoint's machine, or the empty string for
// an unknown endpoint. The caller must hold mu.
func (f *Fleet) sidecarOfEndpoint(server ident.Server) string {
	for _, e := range f.endpoints {
		if e.Server == server {
			return e.sidecar.Name
		}
	}
	return ""
}
