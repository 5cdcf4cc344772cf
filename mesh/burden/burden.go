// Package burden is what a gate tells of an endpoint with each return.
package burden

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
)

// Burden is the state of one endpoint as its gate sees it. Invariant: no field is
// negative and all are finite, also in one that was parsed.
type Burden struct {
	// Hand counts requests at the endpoint, Wait those that wait for it at its gate, and
	// Slots those it works on at once; Slots 0 is unknown.
	Hand, Wait, Slots int
	// Pace is its time for a request over that of the service's mean endpoint.
	Pace float64
	// Ill is the part of its last runs that failed, 0 to 1.
	Ill float64
	// Drain is how long a new request would wait for a slot, to the millisecond.
	Drain time.Duration
}

// most bounds every field of a text, so that no sum of a few runs over.
const most = 1 << 20

// Text is the header form: hand, waiting, slots, pace and illness in thousandths, drain in
// milliseconds.
func (b Burden) Text() string {
	buf := make([]byte, 0, 40)
	for i, x := range []int64{int64(b.Hand), int64(b.Wait), int64(b.Slots), thousandths(b.Pace), thousandths(b.Ill), b.Drain.Milliseconds()} {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, min(max(x, 0), most), 10)
	}
	return string(buf)
}

func thousandths(x float64) int64 {
	if !(x > 0) {
		return 0
	}
	return int64(math.Round(min(x*1000, most)))
}

// Parse reads the header form; a text with other fields is malformed.
func Parse(s string) (Burden, *failure.Error) {
	var x [6]int
	rest := s
	for i := range x {
		part, tail, more := strings.Cut(rest, ",")
		n, err := strconv.ParseUint(part, 10, 32)
		if err != nil || n > most || more != (i < len(x)-1) {
			return Burden{}, failure.New(failure.Malformed, "a burden is six whole numbers")
		}
		x[i], rest = int(n), tail
	}
	return Burden{Hand: x[0], Wait: x[1], Slots: x[2], Pace: float64(x[3]) / 1000,
		Ill: min(float64(x[4])/1000, 1), Drain: time.Duration(x[5]) * time.Millisecond}, nil
}
