package loadreport

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTextAndBack(t *testing.T) {
	for _, b := range []Report{{}, {Running: 7, Waiting: 3, Slots: 6, RelativeTime: 1.25, FailureRate: 0.5, QueueDelay: 40 * time.Millisecond}} {
		got, d := Parse(b.Text())
		must.Nil(t, d)
		must.Eq(t, b, got)
	}
	got, d := Parse(Report{Running: -1, Waiting: 1 << 40, RelativeTime: math.NaN(), FailureRate: math.Inf(1), QueueDelay: -1}.Text())
	must.Nil(t, d)
	must.Eq(t, Report{Waiting: most, FailureRate: 1}, got)
	for _, bad := range []string{"", "1,2,3", "1,2,3,4,5,6,7", "1,2,3,4,5,", "1,2,3,4,5,-6", "a,2,3,4,5,6", "1,2,3,4,5,99999999"} {
		_, d := Parse(bad)
		must.NotNil(t, d, must.Sprint(bad))
	}
}
