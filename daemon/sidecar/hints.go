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
	// hintFields is the number of fields of the encoded hints; earlier releases wrote fewer.
	hintFields = 9
	// Upper bounds of decoded values: larger values from other sidecars are not trusted.
	maxHintPriority     = 1000
	maxHintMicroseconds = 1 << 40
	maxHintBytes        = 1 << 30
	hintRateScale       = 1000
	// The latency target divided by earlyRejectionDivisor is the period in which a rejection has no
	// cost for the caller: after a rejection in the first quarter of the target, another endpoint
	// can still respond in time.
	earlyRejectionDivisor = 4
)

// admissionHints is the information about a request that the caller's sidecar sends to the
// admission queue at the endpoint. All times are relative to the time at which the hints are built or
// decoded, because the clocks of two machines differ. The encoded form has nine integers in the order
// of the fields: times in microseconds, the rate in thousandths, and bools as 0 or 1.
type admissionHints struct {
	priority            int
	expectedServiceTime time.Duration // expected service time at the endpoint; 0 if unknown
	earlyRejection      time.Duration // how long from now a rejection has no cost for the caller
	latencyTarget       time.Duration // how long from now until the latency target
	peerFailureRate     float64       // failure rate of the service's other endpoints, 0 to 1
	lastResort          bool          // the request can't be sent to any other endpoint
	responseBytes       int           // expected size of the response: a mean of earlier responses
	repeatable          bool          // the request may be executed again, so its execution may be canceled when the client disconnects
	nested              bool          // the execution of another request waits for this one
}

// hintsFor returns the hints of a call for the selected endpoint. The latency target of a nested
// call, and of a call whose route has no target, is the deadline of the call. For a nested call, any
// response before the deadline lets the waiting execution succeed.
func hintsFor(now, receivedAt monotime.Time, call *attempt.Call, decision attempt.Decision) admissionHints {
	target := call.Route.TargetLatency
	if target <= 0 || call.Nested {
		target = call.Deadline.Since(receivedAt)
	}
	return admissionHints{
		priority:            call.Route.Priority,
		expectedServiceTime: decision.MeanServiceTime,
		earlyRejection:      receivedAt.Add(target / earlyRejectionDivisor).Since(now),
		latencyTarget:       receivedAt.Add(target).Since(now),
		peerFailureRate:     decision.PeerFailureRate,
		lastResort:          decision.LastResort,
		responseBytes:       decision.MeanResponseBytes,
		repeatable:          call.Repeatable(),
		nested:              call.Nested,
	}
}

// encode encodes the hints as a header value.
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

// parseHints decodes a header value. A missing or malformed field is 0, and each field is limited
// to its bounds.
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

// boolToInt64 encodes a bool as a field.
func boolToInt64(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

func clamp(value, low, high int64) int64 { return min(max(value, low), high) }

func hintDuration(microseconds int64) time.Duration {
	return time.Duration(clamp(microseconds, -maxHintMicroseconds, maxHintMicroseconds)) * time.Microsecond
}

// request builds the request to the admission queue.
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
