package cluster_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore/search"
)

// script drives a cluster by the descriptions of its choices.
type script struct {
	t      *testing.T
	system search.System
}

// apply makes the first choice of a kind whose description holds all fragments.
func (s script) apply(kind search.Kind, fragments ...string) {
	s.t.Helper()
	var all []string
	for _, c := range s.system.Choices() {
		description := s.system.Describe(c)
		all = append(all, string(c.Kind)+": "+description)
		fits := c.Kind == kind
		for _, w := range fragments {
			fits = fits && strings.Contains(description, w)
		}
		if fits {
			s.system.Apply(c)
			s.t.Log(description)
			return
		}
	}
	s.t.Fatalf("no %s of %v among\n%s", kind, fragments, strings.Join(all, "\n"))
}

// A member that has copied all records and is then counted must not have its copy still to sync:
// a loss of power would leave a disk that counts and knows nothing. A write is acknowledged by m1
// and m2; m2 loses its disk, and the new one takes the slot, copies, counts, and loses power.
func TestCopyIsSyncedBeforeItsDiskCounts(t *testing.T) {
	set := testSettings()
	set.Spares, set.Operations = 0, 1
	run := script{t, set.Factory()()}
	run.apply("ask", "m1: write")
	run.apply("deliver", "m1 -> m2", "prepare")
	run.apply("deliver", "m1 -> m2", "accept")
	run.apply("empty", "m2")
	run.apply("restart", "m2")
	run.apply("tell", "m1 tells m2")
	run.apply("join", "m2")
	for _, step := range []string{"prepare", "accept"} {
		run.apply("deliver", "m2 -> m1", "membership "+step)
		run.apply("deliver", "m2 -> m3", "membership "+step)
	}
	run.apply("tell", "m2 tells m1")
	run.apply("tell", "m2 tells m3")
	run.apply("join", "m2")
	run.apply("deliver", "m2 -> m1", "scan")
	run.apply("deliver", "m2 -> m3", "scan")
	must.Nil(t, run.system.Violation())
	run.apply("join", "m2") // does nothing before the sync
	run.apply("power", "m2", "none")
	must.Nil(t, run.system.Violation())
	run.system.Settle()
	must.Nil(t, run.system.Violation())
}
