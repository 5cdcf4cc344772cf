package explore_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore"
	"cottonarch.example/cottonarch/explore/cluster"
)

// A saved run violates the same rule in the same way when it is replayed, found breadth first or
// by a walk.
func TestReplayFindsTheSameViolation(t *testing.T) {
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

// The same options find the same run, however the work is distributed.
func TestRunsAreTheSame(t *testing.T) {
	first, second := explore.Run(ciOptions("cell-old")), explore.Run(ciOptions("cell-old"))
	must.Eq(t, explore.Text(first), explore.Text(second))
}

// A file that is no trace, or one whose choices are not possible, is refused.
func TestBadTraces(t *testing.T) {
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
