package explore_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore"
	"cottonarch.example/cottonarch/explore/cluster"
)

// The replay of a saved run gives the same violation and the same lines, for a run found by the
// breadth-first search and for a run found by a random walk.
func TestReplayReproducesViolation(t *testing.T) {
	for _, name := range []string{"offer", "cell-old"} {
		t.Run(name, func(t *testing.T) {
			runs := explore.Run(ciOptions(cluster.Mutant(name)))
			found := runs[len(runs)-1]
			must.NotNil(t, found.Violation)
			trace, invalid := explore.Decode(found.Trace().Encode())
			must.Nil(t, invalid)
			lines, violation, invalid := trace.Replay()
			must.Nil(t, invalid)
			must.Eq(t, found.Violation, violation)
			must.Eq(t, found.Trace().Lines, lines)
		})
	}
}

// Two runs with the same options give the same report, however the work is distributed.
func TestRunIsDeterministic(t *testing.T) {
	first, second := explore.Run(ciOptions("cell-old")), explore.Run(ciOptions("cell-old"))
	must.Eq(t, explore.Text(first), explore.Text(second))
}

// Decode rejects invalid JSON and invalid settings; Replay rejects a choice that is not possible.
func TestInvalidTracesAreRejected(t *testing.T) {
	_, invalid := explore.Decode([]byte("no"))
	must.NotNil(t, invalid)
	_, invalid = explore.Decode([]byte(`{"settings":{"Members":99}}`))
	must.NotNil(t, invalid)
	runs := explore.Run(ciOptions("offer"))
	trace := runs[len(runs)-1].Trace()
	trace.Choices[0].Member = 9
	_, _, invalid = trace.Replay()
	must.NotNil(t, invalid)
}
