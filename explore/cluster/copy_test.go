package cluster_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore/search"
)

// script drives a cluster by what its choices say.
type script struct {
	t *testing.T
	s search.System
}

// pick makes the first choice of a kind whose words hold all of some.
func (x script) pick(kind search.Kind, words ...string) {
	x.t.Helper()
	var all []string
	for _, c := range x.s.Choices() {
		said := x.s.Say(c)
		all = append(all, string(c.Kind)+": "+said)
		fits := c.Kind == kind
		for _, w := range words {
			fits = fits && strings.Contains(said, w)
		}
		if fits {
			x.s.Apply(c)
			x.t.Log(said)
			return
		}
	}
	x.t.Fatalf("no %s of %v among\n%s", kind, words, strings.Join(all, "\n"))
}

// A member that has copied all cells and is then counted must not have its copy yet to sync:
// a loss of power would leave a disk that counts and knows nothing. Acknowledged by m1 and
// m2; m2's disk is lost, and the new one takes the slot, copies, counts, and loses power.
func TestCopyIsSyncedBeforeItsDiskCounts(t *testing.T) {
	set := settings()
	set.Spares, set.Deeds = 0, 1
	x := script{t, set.Factory()()}
	x.pick("ask", "m1: write")
	x.pick("deliver", "m1 -> m2", "prepare")
	x.pick("deliver", "m1 -> m2", "accept")
	x.pick("empty", "m2")
	x.pick("restart", "m2")
	x.pick("tell", "m1 tells m2")
	x.pick("join", "m2")
	for _, step := range []string{"prepare", "accept"} {
		x.pick("deliver", "m2 -> m1", "roster "+step)
		x.pick("deliver", "m2 -> m3", "roster "+step)
	}
	x.pick("tell", "m2 tells m1")
	x.pick("tell", "m2 tells m3")
	x.pick("join", "m2")
	x.pick("deliver", "m2 -> m1", "scan")
	x.pick("deliver", "m2 -> m3", "scan")
	must.Nil(t, x.s.Breach())
	x.pick("join", "m2") // nothing to do before the sync
	x.pick("power", "m2", "none")
	must.Nil(t, x.s.Breach())
	x.s.Settle()
	must.Nil(t, x.s.Breach())
}
