package attempt

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/mesh/loadreport"
)

// Load reports reach the balancer both with a rejection and with a completed attempt. After a
// rejection by an admission queue, the next attempt goes to another endpoint and is marked as
// LastResort; the endpoint that rejected the attempt counts as busy, not as suspect.
func TestLoadReportsReachTheBalancer(t *testing.T) {
	planner, call := newPlanner(), &Call{Host: "h", Path: "/x", Method: "POST"}
	must.Nil(t, planner.Route(start, call, 0))
	first := planner.Next(start, call)
	must.False(t, first.LastResort)
	must.Eq(t, 0, first.MeanServiceTime)
	must.True(t, planner.Finished(start, call, Result{
		Outcome:    NotExecuted,
		Rejected:   true,
		Shed:       true,
		LoadReport: &loadreport.Report{Running: 7, Waiting: 20, Slots: 6, RelativeTime: 1},
	}))
	next := planner.Next(start, call)
	must.True(t, next.LastResort)
	must.NotEq(t, first.Entry.UID, next.Entry.UID)
	must.False(t, planner.Finished(start, call, Result{
		Outcome:       Executed,
		Elapsed:       80 * time.Millisecond,
		ResponseBytes: 100,
		LoadReport:    &loadreport.Report{Running: 1, Slots: 6, RelativeTime: 1},
	}))
	for range 50 {
		entry, _ := planner.Balancer.ChooseForRoute(start, "w", planner.Index.Workloads("a"), nil)
		must.NotEq(t, first.Entry.UID, entry.UID)
	}
	// After a report of low load, the endpoint that rejected the attempt is chosen again. The
	// balancer would not choose a suspect endpoint.
	planner.Balancer.HandleReport(start, first.Entry.UID, loadreport.Report{Slots: 6, RelativeTime: 0.1})
	entry, _ := planner.Balancer.ChooseForRoute(start, "w", planner.Index.Workloads("a"), nil)
	must.Eq(t, first.Entry.UID, entry.UID)
	must.Eq(t, 80*time.Millisecond, planner.Balancer.MeanServiceTime("w"))
}
