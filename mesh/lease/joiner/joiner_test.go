package joiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

const startTime = monotime.Time(time.Minute)

func testCores(n int) (addrs []ident.Addr, locations []record.CoreLocation) {
	for i := range n {
		addr := ident.Addr(fmt.Sprint("core-", i, ":1"))
		addrs = append(addrs, addr)
		locations = append(locations, record.CoreLocation{Addr: addr, Zone: ident.Zone(fmt.Sprint("z", i%4))})
	}
	return addrs, locations
}

// Many sidecars that start at the same time spread over all cores, although the cores are listed in
// the same order for all sidecars.
func TestSimultaneousJoinsSpreadOverAllCores(t *testing.T) {
	addrs, _ := testCores(12)
	joins := map[ident.Addr]int{}
	for n := range 120 {
		joins[New(ident.Node(fmt.Sprint("node-", n)), "").NextCore(addrs, nil)]++
	}
	for _, addr := range addrs {
		must.Between(t, 3, joins[addr], 20, must.Sprint(addr))
	}
}

// Cores of the sidecar's own zone are asked first. Cores that failed are asked last, the core whose
// failure is oldest first.
func TestSameZoneCoresFirstAndFailedCoresLast(t *testing.T) {
	addrs, locations := testCores(12)
	j := New("node-1", "z2")
	now := startTime
	for n := range 12 {
		core := j.NextCore(addrs, locations)
		sameZone := core == "core-2:1" || core == "core-6:1" || core == "core-10:1"
		must.Eq(t, n < 3, sameZone, must.Sprint(n, core))
		must.MapNotContainsKey(t, j.lastFailure, core)
		j.HandleFailure(now, core)
		now = now.Add(time.Second)
	}
	must.Eq(t, j.lastFailure[j.NextCore(addrs, locations)], startTime)
	must.Eq(t, "", New("node-1", "z2").NextCore(nil, nil))
}

// Sidecars respect a core's Retry-After, and sidecars that were rejected at the same time retry at
// different times.
func TestRetriesOfRejectedJoinsAreJittered(t *testing.T) {
	waits := map[time.Duration]bool{}
	for n := range 100 {
		j := New(ident.Node(fmt.Sprint("node-", n)), "")
		j.HandleRejection(startTime, "core", time.Second)
		wait := j.Backoff(startTime)
		must.Between(t, time.Second, wait, 1250*time.Millisecond)
		must.Eq(t, 0, j.Backoff(startTime.Add(2*time.Second)))
		waits[wait.Truncate(time.Millisecond)] = true
	}
	must.Greater(t, 60, len(waits))
}

// The backoff after failures without a Retry-After grows up to a bound, and Reset clears the
// backoff.
func TestBackoffIsBounded(t *testing.T) {
	j := New("node-1", "")
	j.HandleFailure(startTime, "core")
	must.LessEq(t, 3*minBackoff/2, j.Backoff(startTime))
	for range 20 {
		j.HandleFailure(startTime, "core")
		must.LessEq(t, 3*maxBackoff/2, j.Backoff(startTime))
	}
	must.Greater(t, maxBackoff/3, j.Backoff(startTime))
	j.Reset()
	must.Eq(t, 0, j.Backoff(startTime))
}
