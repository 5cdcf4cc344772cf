package invariant

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// executions sums up how often a call ran.
type executions struct {
	count        int
	firstArrival monotime.Time
}

// Finish checks what can be judged only when the run is over. Requests began at from, and
// faults ended at until.
func (c *Checker) Finish(from, until monotime.Time) {
	byCall := c.checkExecutions()
	for _, call := range c.Calls {
		c.checkCall(call, byCall[call.ID])
	}
	c.checkRetryBudget()
	c.checkRecovery(from, until)
}

// checkExecutions checks that nothing ran too often, and sums up the executions of each call.
func (c *Checker) checkExecutions() map[string]executions {
	byCall := map[string]executions{}
	for _, execution := range c.Executions {
		ran := byCall[execution.ID]
		if ran.count == 0 {
			ran.firstArrival = execution.ArrivedAt
		}
		ran.count++
		byCall[execution.ID] = ran
		if execution.AtMostOnce && ran.count == 2 {
			c.Violate(execution.ArrivedAt, DoubleExecution, "%s ran twice, first at %v", execution.ID, time.Duration(ran.firstArrival))
		}
	}
	return byCall
}

// checkCall compares what the client of a call was told with what ran.
func (c *Checker) checkCall(call *Call, ran executions) {
	if call.AtMostOnce {
		c.Observe(DoubleExecution)
	}
	if call.Outcome == NotExecuted {
		c.Observe(FalseNotExecuted)
		if ran.count > 0 {
			c.Violate(ran.firstArrival, FalseNotExecuted, "%s was reported not executed (%s) and ran", call.ID, call.Reason)
		}
	}
	c.checkUrgent(call)
	c.checkHeldBack(call)
	if call.Outcome == Served {
		c.Observe(WrongResponse)
		if ran.count == 0 || !call.Complete {
			c.Violate(call.Ended, WrongResponse, "%s was served and no endpoint gave a complete response", call.ID)
		}
	}
}

// checkRetryBudget checks, for each service, every window of time that ends at a retry.
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

// checkServiceRetries checks the retries of one service up to the first that is too many. Both
// lists of times are sorted.
func (c *Checker) checkServiceRetries(service ident.Service, retriedAt, calledAt []monotime.Time) {
	for i, at := range retriedAt {
		c.Observe(RetryBudget)
		windowStart := at.Add(-retryWindow)
		retries := i + 1 - countBefore(retriedAt[:i+1], windowStart)
		calls := countBefore(calledAt, at+1) - countBefore(calledAt, windowStart)
		if float64(retries) > retryPart*float64(calls)+retriesBeyond {
			c.Violate(at, RetryBudget, "%d retries of %s beside %d calls in ten seconds", retries, service, calls)
			return
		}
	}
}

// countBefore counts the times of a sorted list that are before a limit.
func countBefore(times []monotime.Time, limit monotime.Time) int {
	n, _ := slices.BinarySearch(times, limit)
	return n
}

// checkRecovery checks that by the deadline after each outage requests are served again, at a
// part of the rate that was normal before the faults.
func (c *Checker) checkRecovery(from, until monotime.Time) {
	normal := c.servedRate(from, from.Add(normalWindow))
	for _, outage := range c.Outages {
		deadline := outage.At.Add(recoveryDeadline)
		if deadline > until {
			c.Excuse(SlowRecovery, "the day ended")
			continue
		}
		c.Observe(SlowRecovery)
		if recovered := c.servedRate(deadline.Add(-recoveryWindow), deadline); recovered < recoveredPart*normal {
			c.Violate(deadline, SlowRecovery, "%.0f of %.0f a second after the loss at %v (%s)", recovered, normal, time.Duration(outage.At), outage.Name)
		}
	}
}

// servedRate is how many calls a second were served within a span of time.
func (c *Checker) servedRate(begin, end monotime.Time) float64 {
	served := 0
	for _, call := range c.Calls {
		if call.Outcome == Served && call.Ended >= begin && call.Ended < end {
			served++
		}
	}
	return float64(served) / end.Since(begin).Seconds()
}
