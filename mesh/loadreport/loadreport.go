// Package loadreport defines the report of an endpoint's load that a sidecar adds to each response,
// and the encoding of the report in a header.
package loadreport

import (
	"math"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// Report is the load of one endpoint as the admission queue of its machine measures the load.
// Invariant: every field is finite and not negative, including the fields of a parsed report.
type Report struct {
	// Running is the number of requests at the endpoint, Waiting the number of requests in its
	// admission queue, and Slots the number of requests that the endpoint processes concurrently, 0
	// if unknown.
	Running, Waiting, Slots int
	// RelativeTime is the endpoint's time per request, divided by the mean over the endpoints of
	// the service.
	RelativeTime float64
	// FailureRate is the fraction of the endpoint's recent executions that failed, 0 to 1.
	FailureRate float64
	// QueueDelay is how long a new request would wait for a slot, in whole milliseconds.
	QueueDelay time.Duration
}

// maxValue bounds every field of the header encoding, so that sums of a few fields don't overflow.
const maxValue = 1 << 20

// fieldCount is the number of fields of the header encoding.
const fieldCount = 6

// Text returns the header encoding, a comma-separated list: running, waiting, slots, relative time
// and failure rate in thousandths, queue delay in milliseconds.
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

// thousandths returns a value in thousandths, rounded; negative values and NaN become 0.
func thousandths(value float64) int64 {
	if !(value > 0) {
		return 0
	}
	return int64(math.Round(min(value*1000, maxValue)))
}

// Parse parses the header encoding.
func Parse(text string) (Report, *failure.Error) {
	var values [fieldCount]int
	rest := text
	for i := range values {
		field, tail, more := strings.Cut(rest, ",")
		n, err := strconv.ParseUint(field, 10, 32)
		if err != nil || n > maxValue || more != (i < len(values)-1) {
			return Report{}, failure.New(failure.Malformed, "load report %q must be %d integers from 0 to %d, separated by commas", text, fieldCount, maxValue)
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
