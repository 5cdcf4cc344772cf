package pick

import (
	"fmt"
	"testing"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/index"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"github.com/shoenig/test/must"
)

const now = monotime.Time(time.Second)

func entry(i int, st record.Status) index.Entry {
	return index.Entry{Workload: &record.Workload{UID: ident.Server(fmt.Sprint("e", i)), Gate: ident.Addr(fmt.Sprint("g", i)), District: "d", Weight: 1, Status: st}}
}

// Every mix of statuses, lapses and past tries of three workloads: only a well one that
// was not tried is ever chosen, one that has not lapsed before one that has, and somebody
// is chosen whenever there is one.
func TestAllMixesOfThree(t *testing.T) {
	statuses := []record.Status{record.Healthy, record.Draining, record.Unhealthy, record.Unknown}
	for n := range 16 * 16 * 16 {
		p := New("d", uint64(n))
		var all []index.Entry
		past, good, fair := map[ident.Server]bool{}, 0, 0
		for i := range 3 {
			x := n >> (4 * i) & 15
			e := entry(i, statuses[x&3])
			e.Lapsed = x&4 != 0
			past[e.UID] = x&8 != 0
			all = append(all, e)
			if e.Status == record.Healthy && !past[e.UID] {
				if e.Lapsed {
					fair++
				} else {
					good++
				}
			}
		}
		got, ok := p.Choose(now, all, past)
		must.Eq(t, good+fair > 0, ok)
		if ok {
			must.Eq(t, record.Healthy, got.Status)
			must.False(t, past[got.UID])
			must.Eq(t, good == 0, got.Lapsed)
		}
	}
}

// What is in hand, what is reported and the district turn the choice; a server that gave
// no sure return, and a machine that could not be reached, are left alone for a while.
func TestBurdenAndDoubtTurnTheChoice(t *testing.T) {
	all := []index.Entry{entry(0, record.Healthy), entry(1, record.Healthy), entry(2, record.Healthy)}
	count := func(p *Picker, at monotime.Time) map[ident.Server]int {
		out := map[ident.Server]int{}
		for range 600 {
			e, ok := p.Choose(at, all, nil)
			must.True(t, ok)
			out[e.UID]++
		}
		return out
	}
	p := New("d", 1)
	even := count(p, now)
	for i := range 3 {
		must.Between(t, 100, even[ident.Server(fmt.Sprint("e", i))], 300)
	}
	for range 8 {
		p.Sent("e0")
	}
	must.Less(t, even["e0"], count(p, now)["e0"])
	p = New("d", 1)
	p.Sent("e1")
	p.Back(now, all[1], true, false)
	p.Sent("e2")
	p.Back(now, all[2], false, true)
	must.Eq(t, 600, count(p, now)["e0"])
	must.Less(t, 300, count(p, now.Add(2*suspect))["e0"])
	p.TurnedAway(now, "e0")
	must.Positive(t, count(p, now)["e1"]) // all are doubtful: one of them it must be
}
