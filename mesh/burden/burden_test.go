package burden

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestTextAndBack(t *testing.T) {
	for _, b := range []Burden{{}, {Hand: 7, Wait: 3, Slots: 6, Pace: 1.25, Ill: 0.5, Drain: 40 * time.Millisecond}} {
		got, d := Parse(b.Text())
		must.Nil(t, d)
		must.Eq(t, b, got)
	}
	got, d := Parse(Burden{Hand: -1, Wait: 1 << 40, Pace: math.NaN(), Ill: math.Inf(1), Drain: -1}.Text())
	must.Nil(t, d)
	must.Eq(t, Burden{Wait: most, Ill: 1}, got)
	for _, bad := range []string{"", "1,2,3", "1,2,3,4,5,6,7", "1,2,3,4,5,", "1,2,3,4,5,-6", "a,2,3,4,5,6", "1,2,3,4,5,99999999"} {
		_, d := Parse(bad)
		must.NotNil(t, d, must.Sprint(bad))
	}
}
