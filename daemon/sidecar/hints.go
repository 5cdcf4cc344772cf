package sidecar

import (
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
)

const (
	// hintFields is the number of fields of the hints as text; earlier releases wrote fewer.
	hintFields = 9
	// The bounds of what is read: other sidecars are not trusted with a larger value.
	maxHintPriority     = 1000
	maxHintMicroseconds = 1 << 40
	maxHintBytes        = 1 << 30
	hintRateScale       = 1000
	// earlyRejectionFraction: a request that is rejected within this part of its latency target
	// (one in four) can still be answered in time by another endpoint.
	earlyRejectionFraction = 4
)

// admissionHints is what the caller's sidecar tells the admission queue beside the endpoint of a
// request. All times are what is left, as the clocks of two machines differ. The text is nine
// whole numbers, in the order of the fields: times in microseconds, the rate in thousandths.
type admissionHints struct {
	priority            int
	expectedServiceTime time.Duration // how long the endpoint will take; 0 if that is not known
	earlyRejection      time.Duration // until when a rejection costs the caller nothing
	latencyTarget       time.Duration // until when the response is worth most
	peerFailureRate     float64       // how often the other endpoints of the service fail, 0 to 1
	lastResort          bool          // there is no other endpoint to send it to
	responseBytes       int           // the mean size of such responses
	repeatable          bool          // a run of it may be broken off when its client leaves
	nested              bool          // the run of another request waits for it
}

// hintsFor returns the hints of a call for the endpoint that was chosen. The target of a nested call
// is its deadline: until then its response lets the run that waits for it end well.
func hintsFor(now, receivedAt monotime.Time, call *attempt.Call, decision attempt.Decision) admissionHints {
	target := call.Route.TargetLatency
	if target <= 0 || call.Nested {
		target = call.Deadline.Since(receivedAt)
	}
	return admissionHints{
		priority:            call.Route.Priority,
		expectedServiceTime: decision.MeanServiceTime,
		earlyRejection:      receivedAt.Add(target / earlyRejectionFraction).Since(now),
		latencyTarget:       receivedAt.Add(target).Since(now),
		peerFailureRate:     decision.PeerFailureRate,
		lastResort:          decision.LastResort,
		responseBytes:       decision.MeanResponseBytes,
		repeatable:          call.Repeatable(),
		nested:              call.Nested,
	}
}

// encode writes the hints as the text of a header.
func (h admissionHints) encode() string {
	fields := [hintFields]int64{
		int64(h.priority),
		h.expectedServiceTime.Microseconds(),
		h.earlyRejection.Microseconds(),
		h.latencyTarget.Microseconds(),
		int64(h.peerFailureRate * hintRateScale),
		boolToInt64(h.lastResort),
		int64(h.responseBytes),
		boolToInt64(h.repeatable),
		boolToInt64(h.nested),
	}
	buf := make([]byte, 0, 52)
	for i, field := range fields {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, field, 10)
	}
	return string(buf)
}

// parseHints reads the text of a header. A field that is missing or can't be read is 0, and each
// is bounded.
func parseHints(text string) admissionHints {
	var fields [hintFields]int64
	for i := range fields {
		field, rest, _ := strings.Cut(text, ",")
		fields[i], _ = strconv.ParseInt(field, 10, 64)
		text = rest
	}
	return admissionHints{
		priority:            int(clamp(fields[0], 0, maxHintPriority)),
		expectedServiceTime: max(0, hintDuration(fields[1])),
		earlyRejection:      hintDuration(fields[2]),
		latencyTarget:       hintDuration(fields[3]),
		peerFailureRate:     float64(clamp(fields[4], 0, hintRateScale)) / hintRateScale,
		lastResort:          fields[5] == 1,
		responseBytes:       int(clamp(fields[6], 0, maxHintBytes)),
		repeatable:          fields[7] == 1,
		nested:              fields[8] == 1,
	}
}

// flag is a truth value as a field.
func boolToInt64(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

func clamp(value, least, most int64) int64 { return min(max(value, least), most) }

func hintDuration(microseconds int64) time.Duration {
	return time.Duration(clamp(microseconds, -maxHintMicroseconds, maxHintMicroseconds)) * time.Microsecond
}

// request makes the request to the admission queue.
func (h admissionHints) request(now monotime.Time, id uint64, deadline monotime.Time) admission.Request {
	return admission.Request{
		ID:              id,
		Rank:            h.priority,
		Nested:          h.nested,
		ServiceTime:     h.expectedServiceTime,
		FreeRejectUntil: now.Add(h.earlyRejection),
		Target:          now.Add(h.latencyTarget),
		Deadline:        deadline,
		PeerFailureRate: h.peerFailureRate,
		LastResort:      h.lastResort,
	}
}
