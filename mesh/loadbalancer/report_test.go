package loadbalancer

import (
	"fmt"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry"
	"github.com/shoenig/test/must"
)

func healthyEntries(n int) (entries []registry.Entry) {
	for i := range n {
		entries = append(entries, newEntry(i, record.Healthy))
	}
	return entries
}

// choiceCounts counts how often each workload is chosen in 1000 choices at the same time, without
// sending requests.
func choiceCounts(balancer *Balancer, after time.Duration, entries []registry.Entry) map[ident.Server]int {
	chosen := map[ident.Server]int{}
	for range 1000 {
		entry, _ := balancer.ChooseForRoute(now.Add(after), "w", entries, nil)
		chosen[entry.UID]++
	}
	return chosen
}

// A load report affects the choice immediately, and less and less as the report ages.
func TestLoadReportsAffectChoice(t *testing.T) {
	normal := loadreport.Report{Running: 2, Slots: 6, RelativeTime: 1}
	for name, report := range map[string]loadreport.Report{
		"full":    {Running: 7, Waiting: 6, Slots: 6, RelativeTime: 1},
		"slow":    {Running: 2, Slots: 6, RelativeTime: 5},
		"failing": {Running: 0, Slots: 6, RelativeTime: 1, FailureRate: 0.5},
	} {
		balancer, entries := New("d", 1), healthyEntries(4)
		choiceCounts(balancer, 0, entries)
		for _, e := range entries {
			balancer.HandleReport(now, e.UID, normal)
		}
		balancer.HandleReport(now, "e1", report)
		must.Eq(t, 0, choiceCounts(balancer, 0, entries)["e1"], must.Sprint(name))
		must.Positive(t, choiceCounts(balancer, time.Minute, entries)["e1"], must.Sprint(name))
		balancer.HandleReport(now.Add(time.Second), "e1", normal)
		must.Positive(t, choiceCounts(balancer, time.Second, entries)["e1"], must.Sprint(name))
	}
}

// The own requests in flight that are not yet in a load report add to the load; requests that the
// report includes do not count twice.
func TestOwnInFlightRequestsCountOnce(t *testing.T) {
	balancer, entries := New("d", 1), healthyEntries(2)
	choiceCounts(balancer, 0, entries)
	for range 3 {
		balancer.Started("e0")
	}
	balancer.HandleReport(now, "e0", loadreport.Report{Running: 3, Slots: 6, RelativeTime: 1})
	balancer.HandleReport(now, "e1", loadreport.Report{Running: 3, Slots: 6, RelativeTime: 1})
	must.Between(t, 400, choiceCounts(balancer, 0, entries)["e0"], 600)
	for range 3 {
		balancer.Started("e0")
	}
	must.Less(t, 100, choiceCounts(balancer, 0, entries)["e0"])
	for range 6 {
		balancer.Finished(now, entries[0], false, false)
	}
	must.Between(t, 400, choiceCounts(balancer, 0, entries)["e0"], 600)
}

// Failing workloads are ejected, but at most MaxEjectedShare of a service, and never the only
// workload. If all workloads of a service fail, none is ejected.
func TestEjectionIsLimitedToMaxEjectedShare(t *testing.T) {
	for failing := range 7 {
		balancer, entries := New("d", 1), healthyEntries(6)
		choiceCounts(balancer, 0, entries)
		for i, e := range entries {
			report := loadreport.Report{Running: 2, Slots: 6, RelativeTime: 1}
			if i < failing {
				report.FailureRate = 0.6
			}
			balancer.HandleReport(now, e.UID, report)
		}
		ejected := 0
		for _, e := range entries {
			if balancer.LastResort(now, e.UID) {
				ejected++
			}
		}
		must.LessEq(t, failing, ejected)
		chosen := choiceCounts(balancer, 0, entries)
		for i := range failing {
			if failing <= 2 {
				must.Eq(t, 0, chosen[entries[i].UID], must.Sprintf("%d failing", failing))
			}
		}
		if failing == 6 {
			must.MapLen(t, 6, chosen)
		}
	}
	balancer, entries := New("d", 1), healthyEntries(1)
	choiceCounts(balancer, 0, entries)
	balancer.HandleReport(now, "e0", loadreport.Report{Running: 30, Slots: 6, RelativeTime: 50, FailureRate: 1})
	must.Eq(t, 1000, choiceCounts(balancer, 0, entries)["e0"])
}

// Large responses stay in their zone while the zone is not much busier than others; small
// responses may cross zones.
func TestLargeResponsesPreferOwnZone(t *testing.T) {
	balancer, entries := New("d", 1), healthyEntries(2)
	entries[1].Zone = "other"
	balancer.CrossZoneCostPerKB = time.Millisecond
	count := func(route string) (crossZone int) {
		for range 1000 {
			e, _ := balancer.ChooseForRoute(now, route, entries, nil)
			if e.UID == "e1" {
				crossZone++
			}
		}
		return crossZone
	}
	for range 100 {
		balancer.RecordRun(now, "large", 50*time.Millisecond, 90<<10)
		balancer.RecordRun(now, "small", 50*time.Millisecond, 1<<10)
	}
	must.Eq(t, 50*time.Millisecond, balancer.MeanServiceTime("large"))
	must.Eq(t, 0, count("large"))
	must.Between(t, 30, count("small"), 600)
	balancer.HandleReport(now, "e1", loadreport.Report{Running: 1, Slots: 6, RelativeTime: 1})
	balancer.HandleReport(now, "e0", loadreport.Report{Running: 7, Waiting: 20, Slots: 6, RelativeTime: 1})
	must.Eq(t, 1000, count("large"))
}

// A workload that joins after the others counts as slow until its first load report.
func TestNewWorkloadsStartSlowly(t *testing.T) {
	balancer, entries := New("d", 1), healthyEntries(4)
	choiceCounts(balancer, 0, entries[:3])
	must.Eq(t, 0, choiceCounts(balancer, 0, entries)["e3"])
	for range 12 {
		balancer.Started("e0")
		balancer.Started("e1")
		balancer.Started("e2")
	}
	must.Positive(t, choiceCounts(balancer, 0, entries)["e3"])
	balancer.HandleReport(now, "e3", loadreport.Report{Slots: 6, RelativeTime: 1})
	must.Eq(t, 1000, choiceCounts(balancer, 0, entries)["e3"])
}

// ChooseForRoute allocates no memory.
func TestChooseForRouteDoesNotAllocate(t *testing.T) {
	balancer, entries := New("d", 1), healthyEntries(53)
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { balancer.ChooseForRoute(now, "w", entries, nil) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 10, 53} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, entries := New("d", 1), healthyEntries(n)
			balancer.ChooseForRoute(now, "w", entries, nil)
			for _, e := range entries {
				balancer.HandleReport(now, e.UID, loadreport.Report{Running: 2, Slots: 6, RelativeTime: 1})
			}
			for b.Loop() {
				balancer.ChooseForRoute(now, "w", entries, nil)
			}
		})
	}
}
