package bandwidth

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// maxOutboundWait is the maximum time that the link may need for all sent and expected bytes
	// when a large response is admitted. maxLastResortWait is the same limit for requests that no
	// other machine is left to serve. Expected responses are sent only after their runs, so fewer
	// of their bytes wait at the same time.
	maxOutboundWait   = 350 * time.Millisecond
	maxLastResortWait = 800 * time.Millisecond
	// headerBytes is the assumed size of a response header.
	headerBytes = 300
)

// Outbound estimates the bytes waiting at the outbound side of a link. Outbound reads no clock.
// Invariants: queued is the number of bytes that were sent and, by the estimate, not yet carried
// at updatedAt; expected is the number of bytes that were admitted and not yet sent.
type Outbound struct {
	rate      rate
	queued    float64
	expected  float64
	updatedAt monotime.Time
}

// NewOutbound returns the limiter for the outbound direction of a link with the given rate; 0
// means unknown.
func NewOutbound(bytesPerSecond float64) *Outbound {
	return &Outbound{rate: bodyRate(bytesPerSecond)}
}

// Admit decides on a request with the given expected response size. lastResort reports whether no
// other machine is left to serve the request. An admitted request must be ended with Sent; a
// rejected request may be retried after retryAfter.
func (o *Outbound) Admit(now monotime.Time, bytes int, lastResort bool) (retryAfter time.Duration, ok bool) {
	if !o.rate.known() {
		return 0, true
	}
	o.drain(now)
	limit := maxOutboundWait
	if lastResort {
		limit = maxLastResortWait
	}
	waiting := o.queued + o.expected
	if !o.rate.fits(waiting, float64(bytes), limit) {
		return o.rate.retryAfter(waiting, float64(bytes), limit), false
	}
	o.expected += float64(bytes)
	return 0, true
}

// Sent ends an admitted request. expected is the response size that was passed to Admit, and bytes
// is the size that was sent, 0 without a response.
func (o *Outbound) Sent(now monotime.Time, expected, bytes int) {
	if !o.rate.known() {
		return
	}
	o.drain(now)
	o.expected = max(0, o.expected-float64(expected))
	if bytes > 0 {
		o.queued += float64(bytes + headerBytes)
	}
}

// Wait returns the estimated time that data sent now waits at the link.
func (o *Outbound) Wait(now monotime.Time) time.Duration {
	if !o.rate.known() {
		return 0
	}
	o.drain(now)
	return o.rate.transferTime(o.queued)
}

// drain subtracts the bytes that the link has carried since the last update.
func (o *Outbound) drain(now monotime.Time) {
	if now.After(o.updatedAt) {
		o.queued = max(0, o.queued-float64(o.rate)*now.Since(o.updatedAt).Seconds())
		o.updatedAt = now
	}
}
