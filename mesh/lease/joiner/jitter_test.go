package joiner

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The simulator runs of a seed are reproducible only as long as these values don't change.
func TestJitterHasKnownValues(t *testing.T) {
	joiner := New("sidecar-1", "")
	for attempts, want := range []uint64{11228620, 2423089, 12754449} {
		joiner.attempts = uint64(attempts)
		must.Eq(t, float64(want)/(1<<24), joiner.jitter(), must.Sprint(attempts))
	}
}
