package cluster_test

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore/search"
)

// script drives a system with choices that are selected by their descriptions.
type script struct {
	t      *testing.T
	system search.System
}

// apply applies the first choice of a kind whose description contains all fragments.
func (s script) apply(kind search.Kind, fragments ...string) {
	s.t.Helper()
	var descriptions []string
	for _, c := range s.system.Choices() {
		description := s.system.Describe(c)
		descriptions = append(descriptions, string(c.Kind)+": "+description)
		matches := c.Kind == kind
		for _, fragment := range fragments {
			matches = matches && strings.Contains(description, fragment)
		}
		if matches {
			s.system.Apply(c)
			s.t.Log(description)
			return
		}
	}
	s.t.Fatalf("no choice of kind %s contains %v among\n%s", kind, fragments, strings.Join(descriptions, "\n"))
}

// A member that has copied all records must sync the copy before becoming a counted voter: otherwise
// a power loss leaves a counted disk without the acknowledged records. In this test m1 and m2
// acknowledge a write; m2 loses its disk; m2 with a new disk takes the slot of the lost disk in the
// membership, copies the records and loses power before the sync. m2 must not be counted before the
// sync.
func TestCopyIsSyncedBeforeDiskIsCounted(t *testing.T) {
	settings := testSettings()
	settings.Spares, settings.Operations = 0, 1
	run := script{t, settings.Factory()()}
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
	run.apply("join", "m2") // has no effect before the sync
	run.apply("power", "m2", "none")
	must.Nil(t, run.system.Violation())
	run.system.Settle()
	must.Nil(t, run.system.Violation())
}
