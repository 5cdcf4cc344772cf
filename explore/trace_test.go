package explore_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/explore"
	"cottonarch.example/cottonarch/explore/cluster"
)

// A saved run breaks the same rule in the same way when it is replayed, found breadth first
// or by a walk.
func TestReplaySaysTheSameBreach(t *testing.T) {
	for _, name := range []string{"offer", "cell-old"} {
		t.Run(name, func(t *testing.T) {
			parts := explore.Run(ci(cluster.Break(name)))
			found := parts[len(parts)-1]
			must.NotNil(t, found.Breach)
			trace, bad := explore.Decode(found.Trace().Encode())
			must.Nil(t, bad)
			lines, breach, bad := trace.Replay()
			must.Nil(t, bad)
			must.Eq(t, found.Breach, breach)
			must.Eq(t, found.Trace().Lines, lines)
		})
	}
}

// The same options find the same run, however the work is shared out.
func TestRunsAreTheSame(t *testing.T) {
	first, second := explore.Run(ci("cell-old")), explore.Run(ci("cell-old"))
	must.Eq(t, explore.Text(first), explore.Text(second))
}

// A file that is no trace, or one whose choices are not possible, is bad input.
func TestBadTraces(t *testing.T) {
	_, bad := explore.Decode([]byte("no"))
	must.NotNil(t, bad)
	_, bad = explore.Decode([]byte(`{"settings":{"Members":99}}`))
	must.NotNil(t, bad)
	parts := explore.Run(ci("offer"))
	trace := parts[len(parts)-1].Trace()
	trace.Choices[0].Member = 9
	_, _, bad = trace.Replay()
	must.NotNil(t, bad)
}
