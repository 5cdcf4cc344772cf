package bandwidth

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// maxWait is how long the link may need for all that was sent or is expected when a large
	// response is admitted, and maxLastResortWait the same where no other machine is left to serve
	// the request. What is expected comes only after its run, so less of it waits at once.
	maxWait           = 350 * time.Millisecond
	maxLastResortWait = 800 * time.Millisecond
	// headerBytes stands for the header of a response.
	headerBytes = 300
)

// Outbound estimates what waits at the link on its way out. It reads no clock. Invariants: queued is
// what was sent and, by the estimate, had not been carried at updatedAt; expected is the sum of what
// was admitted and has not been sent; both are in bytes.
type Outbound struct {
	rate      rate
	queued    float64
	expected  float64
	updatedAt monotime.Time
}

// NewOutbound makes the outbound side of a link that carries so many bytes a second, 0 for unknown.
func NewOutbound(bytesPerSecond float64) *Outbound {
	return &Outbound{rate: usableRate(bytesPerSecond)}
}

// Admit decides on a request whose response is expected to have so many bytes; lastResort says that
// no other machine is left to serve it. An admitted one must be ended with Sent; a rejected one may
// be tried again after retryAfter.
func (o *Outbound) Admit(now monotime.Time, bytes int, lastResort bool) (retryAfter time.Duration, ok bool) {
	if !o.rate.known() {
		return 0, true
	}
	o.drain(now)
	limit := maxWait
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

// Sent ends an admitted request: so many bytes were expected, and so many were sent, 0 for no
// response.
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

// Wait is how long what is sent now waits at the link, by the estimate.
func (o *Outbound) Wait(now monotime.Time) time.Duration {
	if !o.rate.known() {
		return 0
	}
	o.drain(now)
	return o.rate.transferTime(o.queued)
}

// drain takes out what the link has carried since the last step.
func (o *Outbound) drain(now monotime.Time) {
	if now.After(o.updatedAt) {
		o.queued = max(0, o.queued-float64(o.rate)*now.Since(o.updatedAt).Seconds())
		o.updatedAt = now
	}
}
