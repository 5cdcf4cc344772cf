package sidecar

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A call belongs to a run if its id is that of the run, a separator, and more.
func TestCallsOfActiveRuns(t *testing.T) {
	runs := activeRuns{}
	must.False(t, runs.made("a1.b"))
	runs.begin("a1")
	runs.begin("a1")
	runs.begin("")
	for id, want := range map[string]bool{
		"a1.b": true, "a1-b": true, "a1.b.c": true, "a1/b": true,
		"a1": false, "a1.": false, "a1b": false, "a.1": false, "a12.b": false, ".a1": false, "": false, "b.a1": false,
	} {
		must.Eq(t, want, runs.made(id), must.Sprint(id))
	}
	runs.end("a1")
	must.True(t, runs.made("a1.b"))
	runs.end("a1")
	must.False(t, runs.made("a1.b"))
	runs.end("never")
	must.Eq(t, 0, len(runs), must.Sprint(runs))
}
