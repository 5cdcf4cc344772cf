// Package loadreport holds the report of an endpoint's load that a sidecar adds to each response, and
// its form in a header.
package loadreport

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// Report is the load of one endpoint as the admission queue of its machine sees it. Invariant: no
// field is negative and all are finite, also in one that was parsed.
type Report struct {
	// Running counts the requests at the endpoint, Waiting those that wait for it in its admission
	// queue, and Slots is how many it works on at once, 0 for unknown.
	Running, Waiting, Slots int
	// RelativeTime is its time for a request over that of the service's mean endpoint.
	RelativeTime float64
	// FailureRate is the part of its last runs that failed, 0 to 1.
	FailureRate float64
	// QueueDelay is how long a new request would wait for a slot, to the millisecond.
	QueueDelay time.Duration
}

// maxValue bounds every field of the header form, so that sums of a few do not overflow.
const maxValue = 1 << 20

// fieldCount is how many fields the header form has.
const fieldCount = 6

// Text returns the header form: running, waiting, slots, relative time and failure rate in
// thousandths, queue delay in milliseconds.
func (r Report) Text() string {
	buf := make([]byte, 0, 40)
	values := [fieldCount]int64{
		int64(r.Running), int64(r.Waiting), int64(r.Slots),
		thousandths(r.RelativeTime), thousandths(r.FailureRate), r.QueueDelay.Milliseconds(),
	}
	for i, value := range values {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, min(max(value, 0), maxValue), 10)
	}
	return string(buf)
}

// thousandths rounds a fraction; what is negative or no number is 0.
func thousandths(value float64) int64 {
	if !(value > 0) {
		return 0
	}
	return int64(math.Round(min(value*1000, maxValue)))
}

// Parse reads the header form.
func Parse(text string) (Report, *failure.Error) {
	var values [fieldCount]int
	rest := text
	for i := range values {
		field, tail, more := strings.Cut(rest, ",")
		n, err := strconv.ParseUint(field, 10, 32)
		if err != nil || n > maxValue || more != (i < len(values)-1) {
			return Report{}, failure.New(failure.Malformed, "a load report is six whole numbers")
		}
		values[i], rest = int(n), tail
	}
	return Report{
		Running:      values[0],
		Waiting:      values[1],
		Slots:        values[2],
		RelativeTime: float64(values[3]) / 1000,
		FailureRate:  min(float64(values[4])/1000, 1),
		QueueDelay:   time.Duration(values[5]) * time.Millisecond,
	}, nil
}
