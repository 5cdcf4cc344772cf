package loadreport

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Parse returns the report that Text encoded, with out-of-range values clamped, and rejects
// malformed texts.
func TestTextRoundTrip(t *testing.T) {
	for _, report := range []Report{
		{},
		{Running: 7, Waiting: 3, Slots: 6, RelativeTime: 1.25, FailureRate: 0.5, QueueDelay: 40 * time.Millisecond},
	} {
		got, err := Parse(report.Text())
		must.Nil(t, err)
		must.Eq(t, report, got)
	}
	got, err := Parse(Report{Running: -1, Waiting: 1 << 40, RelativeTime: math.NaN(), FailureRate: math.Inf(1), QueueDelay: -1}.Text())
	must.Nil(t, err)
	must.Eq(t, Report{Waiting: maxValue, FailureRate: 1}, got)
	for _, bad := range []string{"", "1,2,3", "1,2,3,4,5,6,7", "1,2,3,4,5,", "1,2,3,4,5,-6", "a,2,3,4,5,6", "1,2,3,4,5,99999999"} {
		_, err := Parse(bad)
		must.NotNil(t, err, must.Sprint(bad))
	}
}
