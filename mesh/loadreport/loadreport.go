// Package loadreport is what a sidecar tells of its endpoint's load with each response.
package loadreport

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// Report is the state of one endpoint as its gate sees it. Invariant: no field is
// negative and all are finite, also in one that was parsed.
type Report struct {
	// Running counts requests at the endpoint, Waiting those that wait for it at its gate, and
	// Slots those it works on at once; Slots 0 is unknown.
	Running, Waiting, Slots int
	// RelativeTime is its time for a request over that of the service's mean endpoint.
	RelativeTime float64
	// FailureRate is the part of its last runs that failed, 0 to 1.
	FailureRate float64
	// QueueDelay is how long a new request would wait for a slot, to the millisecond.
	QueueDelay time.Duration
}

// maxValue bounds every field of a text, so that no sum of a few runs over.
const maxValue = 1 << 20

// Text is the header form: running, waiting, slots, relative time and failure rate in
// thousandths, queue delay in milliseconds.
func (r Report) Text() string {
	buf := make([]byte, 0, 40)
	for i, value := range []int64{int64(r.Running), int64(r.Waiting), int64(r.Slots), thousandths(r.RelativeTime), thousandths(r.FailureRate), r.QueueDelay.Milliseconds()} {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, min(max(value, 0), maxValue), 10)
	}
	return string(buf)
}

func thousandths(value float64) int64 {
	if !(value > 0) {
		return 0
	}
	return int64(math.Round(min(value*1000, maxValue)))
}

// Parse reads the header form; a text with other fields is malformed.
func Parse(text string) (Report, *failure.Error) {
	var values [6]int
	rest := text
	for i := range values {
		field, tail, more := strings.Cut(rest, ",")
		n, err := strconv.ParseUint(field, 10, 32)
		if err != nil || n > maxValue || more != (i < len(values)-1) {
			return Report{}, failure.New(failure.Malformed, "a load report is six whole numbers")
		}
		values[i], rest = int(n), tail
	}
	return Report{Running: values[0], Waiting: values[1], Slots: values[2], RelativeTime: float64(values[3]) / 1000,
		FailureRate: min(float64(values[4])/1000, 1), QueueDelay: time.Duration(values[5]) * time.Millisecond}, nil
}
