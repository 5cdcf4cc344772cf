package invariant

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// executionSummary holds how often a call was executed, and when its first execution arrived.
type executionSummary struct {
	count        int
	firstArrival monotime.Time
}

// Finish runs the checks that need the whole run. Requests began at from, and faults ended at until.
func (c *Checker) Finish(from, until monotime.Time) {
	byCall := c.checkExecutions()
	for _, call := range c.Calls {
		c.checkCall(call, byCall[call.ID])
	}
	c.checkRetryBudget()
	c.checkRecovery(from, until)
}

// checkExecutions checks that no at-most-once call was executed twice, and returns the summary of
// each call.
func (c *Checker) checkExecutions() map[string]executionSummary {
	byCall := map[string]executionSummary{}
	for _, execution := range c.Executions {
		summary := byCall[execution.ID]
		if summary.count == 0 {
			summary.firstArrival = execution.ArrivedAt
		}
		summary.count++
		byCall[execution.ID] = summary
		if execution.AtMostOnce && summary.count == 2 {
			c.Violate(execution.ArrivedAt, DoubleExecution, "%s was executed twice, first at %v", execution.ID, time.Duration(summary.firstArrival))
		}
	}
	return byCall
}

// checkCall compares the outcome that the client was told with the executions of the call.
func (c *Checker) checkCall(call *Call, summary executionSummary) {
	if call.AtMostOnce {
		c.Observe(DoubleExecution)
	}
	if call.Outcome == NotExecuted {
		c.Observe(FalseNotExecuted)
		if summary.count > 0 {
			c.Violate(summary.firstArrival, FalseNotExecuted, "%s was reported as not executed (%s) but was executed", call.ID, call.Reason)
		}
	}
	c.checkUrgent(call)
	c.checkFailureDelay(call)
	if call.Outcome == Served {
		c.Observe(WrongResponse)
		if summary.count == 0 || !call.Complete {
			c.Violate(call.Ended, WrongResponse, "%s was served but no endpoint sent a complete response", call.ID)
		}
	}
}

// checkRetryBudget checks the retry budget of each service in every window that ends at a retry.
func (c *Checker) checkRetryBudget() {
	calls := map[ident.Service][]monotime.Time{}
	for _, call := range c.Calls {
		if call.Routed {
			calls[call.Service] = append(calls[call.Service], call.Began)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(c.retries)) {
		c.checkServiceRetries(service, c.retries[service], calls[service])
	}
}

// checkServiceRetries checks the retries of one service and stops at the first violation. Both
// lists of times are sorted.
func (c *Checker) checkServiceRetries(service ident.Service, retriedAt, calledAt []monotime.Time) {
	for i, at := range retriedAt {
		c.Observe(RetryBudget)
		windowStart := at.Add(-retryWindow)
		retries := i + 1 - countBefore(retriedAt[:i+1], windowStart)
		calls := countBefore(calledAt, at+1) - countBefore(calledAt, windowStart)
		if float64(retries) > retryRatio*float64(calls)+fixedRetryAllowance {
			c.Violate(at, RetryBudget, "%d retries of %s with %d calls in ten seconds", retries, service, calls)
			return
		}
	}
}

// countBefore counts the times before limit in a sorted list.
func countBefore(times []monotime.Time, limit monotime.Time) int {
	n, _ := slices.BinarySearch(times, limit)
	return n
}

// checkRecovery checks that, by the deadline after each outage, requests are served at no less than
// recoveredRatio of the rate before the faults.
func (c *Checker) checkRecovery(from, until monotime.Time) {
	baseline := c.servedRate(from, from.Add(baselineWindow))
	for _, outage := range c.Outages {
		deadline := outage.At.Add(recoveryDeadline)
		if deadline > until {
			c.Excuse(SlowRecovery, "the day ended")
			continue
		}
		c.Observe(SlowRecovery)
		if recovered := c.servedRate(deadline.Add(-recoveryWindow), deadline); recovered < recoveredRatio*baseline {
			c.Violate(deadline, SlowRecovery, "%.0f of %.0f requests a second served after the outage at %v (%s)", recovered, baseline, time.Duration(outage.At), outage.Name)
		}
	}
}

// servedRate returns the number of calls served per second from begin up to end.
func (c *Checker) servedRate(begin, end monotime.Time) float64 {
	served := 0
	for _, call := range c.Calls {
		if call.Outcome == Served && call.Ended >= begin && call.Ended < end {
			served++
		}
	}
	return float64(served) / end.Since(begin).Seconds()
}
