package attempt

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/mesh/loadreport"
)

// Load reports reach the balancer with every kind of result. After a rejection by an admission
// queue, the next attempt goes to another endpoint as a last resort; the rejecting endpoint counts
// as busy, not as suspect.
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
	// A suspect endpoint would not be chosen here.
	planner.Balancer.HandleReport(start, first.Entry.UID, loadreport.Report{Slots: 6, RelativeTime: 0.1})
	entry, _ := planner.Balancer.ChooseForRoute(start, "w", planner.Index.Workloads("a"), nil)
	must.Eq(t, first.Entry.UID, entry.UID)
	must.Eq(t, 80*time.Millisecond, planner.Balancer.MeanServiceTime("w"))
}
