package joiner

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The jitter of a sidecar depends only on the sidecar's name and the number of attempts. A simulator
// run with a given seed is reproducible only as long as these values don't change.
func TestJitterHasKnownValues(t *testing.T) {
	joiner := New("sidecar-1", "")
	for attempts, want := range []uint64{11228620, 2423089, 12754449} {
		joiner.attempts = uint64(attempts)
		must.Eq(t, float64(want)/(1<<24), joiner.jitter(), must.Sprint(attempts))
	}
}
