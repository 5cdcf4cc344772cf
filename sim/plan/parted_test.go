package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// parts is a day on which one kind of cut comes again and again, with manifests offered
// throughout and a burst right after each cut's begin.
func parts(seed uint64, fault string, more int) What {
	q := day(seed, 0.1)
	q.AddCores = more
	q.For, q.LastHeavy, q.Cells = 45*time.Second, false, true
	for s := 2 * time.Second; s < 37*time.Second; s += 7 * time.Second {
		q.At = append(q.At, Timed{fault, s}, Timed{"burst", s + 200*time.Millisecond}, Timed{"burst", s + 1500*time.Millisecond})
	}
	return q
}

// However a core is cut off from the other cores, silently or refused, one way or both, with
// the seeds or with a restart, every rule holds: among them that each sidecar has the newest
// manifest within 2 s of its acknowledgement whenever a core with a majority or a peer that
// has it can be reached, and that nothing acknowledged is read back older.
func TestSidecarsLeaveACoreThatIsCutOff(t *testing.T) {
	for fault := range parted {
		most := uint64(2)
		if fault == "core-apart-alone" {
			most = 6 // nothing but the core's own word sends the sidecars away
		}
		for seed := uint64(1); seed <= most; seed++ {
			for _, x := range []struct {
				dep  string
				more int // cores beyond the voters' number do not vote
			}{{"prairie", 0}, {"volta", 0}, {"volta", 3}} {
				t.Run(fmt.Sprint(fault, " ", x.dep, " ", x.more, " ", seed), func(t *testing.T) {
					t.Parallel()
					w := Simulate(Deployments[x.dep], parts(seed, fault, x.more))
					must.SliceEmpty(t, w.Check.Breaches, must.Sprint(w.Text()))
					must.Greater(t, 100, w.Check.Seen["manifest-late"])
				})
			}
		}
	}
}

// The faults that schedules alone name change nothing of what known seeds draw.
func TestPartedFaultsAreNotDrawn(t *testing.T) {
	for _, platform := range []bool{false, true} {
		r := &Run{World: Simulate(Deployments["prairie"], What{Seed: 1, For: 5 * time.Second, Burden: 0.01, Faults: []string{"none"}})}
		r.Platform = platform
		for _, name := range r.drawn() {
			must.Nil(t, parted[name], must.Sprint(name))
		}
	}
}
