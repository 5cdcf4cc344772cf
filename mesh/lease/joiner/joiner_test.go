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
		a := ident.Addr(fmt.Sprint("core-", i, ":1"))
		addrs = append(addrs, a)
		locations = append(locations, record.CoreLocation{Addr: a, Zone: ident.Zone(fmt.Sprint("z", i%4))})
	}
	return
}

// A herd spreads over all cores, whatever order they are listed in.
func TestHerdSpreadsOverAllCores(t *testing.T) {
	addrs, _ := testCores(12)
	joins := map[ident.Addr]int{}
	for n := range 120 {
		joins[New(ident.Node(fmt.Sprint("node-", n)), "").NextCore(addrs, nil)]++
	}
	for _, a := range addrs {
		must.Between(t, 3, joins[a], 20, must.Sprint(a))
	}
}

// Cores of the own district go first; the ones that failed go last, the longest ago first.
func TestOwnZoneFirstAndFailedLast(t *testing.T) {
	addrs, locations := testCores(12)
	j := New("node-1", "z2")
	now := startTime
	for n := range 12 {
		a := j.NextCore(addrs, locations)
		sameZone := a == "core-2:1" || a == "core-6:1" || a == "core-10:1"
		must.Eq(t, n < 3, sameZone, must.Sprint(n, a))
		must.MapNotContainsKey(t, j.lastFailure, a)
		j.HandleFailure(now, a)
		now = now.Add(time.Second)
	}
	must.Eq(t, j.lastFailure[j.NextCore(addrs, locations)], startTime)
	must.Eq(t, "", New("node-1", "z2").NextCore(nil, nil))
}

// The word of a core when to come back is kept to, and sidecars that were refused together
// come back at times of their own.
func TestRefusedOnesComeBackSpread(t *testing.T) {
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

// Failures without a word are followed by pauses that grow to a bound, and that are
// forgotten with a join.
func TestPausesGrowToABound(t *testing.T) {
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
