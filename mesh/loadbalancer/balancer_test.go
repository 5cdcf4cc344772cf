package loadbalancer

import (
	"fmt"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/registry"
	"github.com/shoenig/test/must"
)

const now = monotime.Time(time.Second)

func newEntry(i int, status record.Status) registry.Entry {
	return registry.Entry{Workload: &record.Workload{
		UID:         ident.Server(fmt.Sprint("e", i)),
		SidecarAddr: ident.Addr(fmt.Sprint("g", i)),
		Zone:        "d",
		Weight:      1,
		Status:      status,
	}}
}

// Covers every combination of status, lapsed lease and earlier attempt for three workloads: only a
// healthy workload that was not tried is chosen, a workload with a valid lease is chosen before
// one whose lease has lapsed, and a workload is chosen whenever a candidate exists.
func TestAllStatesOfThreeWorkloads(t *testing.T) {
	statuses := []record.Status{record.Healthy, record.Draining, record.Unhealthy, record.Unknown}
	for n := range 16 * 16 * 16 {
		balancer := New("d", uint64(n))
		var entries []registry.Entry
		tried, inForce, lapsed := map[ident.Server]bool{}, 0, 0
		for i := range 3 {
			x := n >> (4 * i) & 15
			e := newEntry(i, statuses[x&3])
			e.Lapsed = x&4 != 0
			tried[e.UID] = x&8 != 0
			entries = append(entries, e)
			if e.Status == record.Healthy && !tried[e.UID] {
				if e.Lapsed {
					lapsed++
				} else {
					inForce++
				}
			}
		}
		got, ok := balancer.Choose(now, entries, tried)
		must.Eq(t, inForce+lapsed > 0, ok)
		if ok {
			must.Eq(t, record.Healthy, got.Status)
			must.False(t, tried[got.UID])
			must.Eq(t, inForce == 0, got.Lapsed)
		}
	}
}

// Requests in flight affect the choice. A workload after an attempt with unknown outcome and a
// machine that could not be reached are avoided for a while.
func TestInFlightRequestsAndSuspectsAffectChoice(t *testing.T) {
	entries := []registry.Entry{newEntry(0, record.Healthy), newEntry(1, record.Healthy), newEntry(2, record.Healthy)}
	count := func(balancer *Balancer, at monotime.Time) map[ident.Server]int {
		chosen := map[ident.Server]int{}
		for range 600 {
			e, ok := balancer.Choose(at, entries, nil)
			must.True(t, ok)
			chosen[e.UID]++
		}
		return chosen
	}
	balancer := New("d", 1)
	baseline := count(balancer, now)
	for i := range 3 {
		must.Between(t, 100, baseline[ident.Server(fmt.Sprint("e", i))], 300)
	}
	for range 8 {
		balancer.Started("e0")
	}
	must.Less(t, baseline["e0"], count(balancer, now)["e0"])
	balancer = New("d", 1)
	balancer.Started("e1")
	balancer.Finished(now, entries[1], true, false)
	balancer.Started("e2")
	balancer.Finished(now, entries[2], false, true)
	must.Eq(t, 600, count(balancer, now)["e0"])
	must.Less(t, 300, count(balancer, now.Add(2*suspectDuration))["e0"])
	balancer.Rejected(now, "e0")
	must.Positive(t, count(balancer, now)["e1"]) // all workloads are suspect, so a suspect is chosen
}
