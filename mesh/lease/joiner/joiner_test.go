package joiner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const start = monotime.Time(time.Minute)

func cores(n int) (all []ident.Addr, places []record.Place) {
	for i := range n {
		a := ident.Addr(fmt.Sprint("core-", i, ":1"))
		all = append(all, a)
		places = append(places, record.Place{Addr: a, District: ident.District(fmt.Sprint("z", i%4))})
	}
	return
}

// A herd spreads over all cores, whatever order they are listed in.
func TestHerdSpreadsOverAllCores(t *testing.T) {
	all, _ := cores(12)
	asked := map[ident.Addr]int{}
	for n := range 120 {
		asked[New(ident.Node(fmt.Sprint("node-", n)), "").Core(all, nil)]++
	}
	for _, a := range all {
		must.Between(t, 3, asked[a], 20, must.Sprint(a))
	}
}

// Cores of the own district go first; the ones that failed go last, the longest ago first.
func TestOwnDistrictFirstAndFailedLast(t *testing.T) {
	all, places := cores(12)
	j := New("node-1", "z2")
	now := start
	for n := range 12 {
		a := j.Core(all, places)
		near := a == "core-2:1" || a == "core-6:1" || a == "core-10:1"
		must.Eq(t, n < 3, near, must.Sprint(n, a))
		must.MapNotContainsKey(t, j.failed, a)
		j.Failed(now, a)
		now = now.Add(time.Second)
	}
	must.Eq(t, j.failed[j.Core(all, places)], start)
	must.Eq(t, "", New("node-1", "z2").Core(nil, nil))
}

// The word of a core when to come back is kept to, and sidecars that were refused together
// come back at times of their own.
func TestRefusedOnesComeBackSpread(t *testing.T) {
	back := map[time.Duration]bool{}
	for n := range 100 {
		j := New(ident.Node(fmt.Sprint("node-", n)), "")
		j.Refused(start, "core", time.Second)
		wait := j.Wait(start)
		must.Between(t, time.Second, wait, 1250*time.Millisecond)
		must.Eq(t, 0, j.Wait(start.Add(2*time.Second)))
		back[wait.Truncate(time.Millisecond)] = true
	}
	must.Greater(t, 60, len(back))
}

// Failures without a word are followed by pauses that grow to a bound, and that are
// forgotten with a join.
func TestPausesGrowToABound(t *testing.T) {
	j := New("node-1", "")
	j.Failed(start, "core")
	must.LessEq(t, 3*pauseLeast/2, j.Wait(start))
	for range 20 {
		j.Failed(start, "core")
		must.LessEq(t, 3*pauseMost/2, j.Wait(start))
	}
	must.Greater(t, pauseMost/3, j.Wait(start))
	j.Joined()
	must.Eq(t, 0, j.Wait(start))
}
