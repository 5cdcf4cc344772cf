package mesh

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A single change is sent after the short delay. Changes in quick succession get the longer delay,
// except a new configuration.
func TestChangesInQuickSuccessionAreBatched(t *testing.T) {
	must.Eq(t, batchDelay, batchDelayFor(time.Second, false))
	must.Eq(t, batchDelay, batchDelayFor(recentPollAge, false))
	must.Eq(t, burstBatchDelay, batchDelayFor(0, false))
	must.Eq(t, burstBatchDelay, batchDelayFor(recentPollAge-1, false))
	must.Eq(t, batchDelay, batchDelayFor(0, true))
}
