// Package bandwidth estimates how long what a machine sends waits at its own network link, so
// that large answers are let in only as fast as the link carries them. What waits at the
// link holds up everything behind it: heartbeats, renewals and configurations too.
package bandwidth

import (
	"time"

	"cottonarch.example/cottonarch/base/monotime"
)

const (
	// usableShare is the part of the link that answers may fill; the rest is for everything else.
	usableShare = 0.85
	// maxWait is how long the link may need for all that was sent or is expected when a
	// large answer is admitted, and waitMust the same where no other machine is left to serve
	// the request. What is expected comes only after its run, so less of it waits at once.
	maxWait           = 350 * time.Millisecond
	maxLastResortWait = 800 * time.Millisecond
	// smallBytes is the size up to which an answer is always admitted.
	smallBytes = 8 << 10
	// headerBytes stands for the head of an answer.
	headerBytes = 300
)

// Outbound is the step function of one machine's link. Invariants: queued is what was sent and
// is not carried yet by the estimate as of at; expected is the sum of what was admitted and
// has not been sent.
type Outbound struct {
	rate      float64 // bytes a second, 0 is unknown and bounds nothing
	queued    float64
	expected  float64
	updatedAt monotime.Time
}

// NewOutbound makes the link of a machine that carries so many bytes a second, 0 for unknown.
func NewOutbound(bytesPerSecond float64) *Outbound {
	return &Outbound{rate: bytesPerSecond * usableShare}
}

// Admit decides on a request whose answer is expected to have so many bytes. An admitted one
// must be ended with Sent; a refused one may come back after retryAfter.
func (o *Outbound) Admit(now monotime.Time, bytes int, lastResort bool) (retryAfter time.Duration, ok bool) {
	if o.rate <= 0 {
		return 0, true
	}
	o.drain(now)
	limit := maxWait
	if lastResort {
		limit = maxLastResortWait
	}
	wait := o.transferTime(o.queued + o.expected)
	if bytes > smallBytes && wait > 0 && wait+o.transferTime(float64(bytes)) > limit {
		return max(wait-limit/2, o.transferTime(float64(bytes))), false
	}
	o.expected += float64(bytes)
	return 0, true
}

// Sent ends an admitted request: so many bytes were expected, and so many were sent, 0 for
// none.
func (o *Outbound) Sent(now monotime.Time, expected, bytes int) {
	if o.rate <= 0 {
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
	if o.rate <= 0 {
		return 0
	}
	o.drain(now)
	return o.transferTime(o.queued)
}

// drain takes out what the link has carried since the last step.
func (o *Outbound) drain(now monotime.Time) {
	if now.After(o.updatedAt) {
		o.queued = max(0, o.queued-o.rate*now.Since(o.updatedAt).Seconds())
		o.updatedAt = now
	}
}

func (o *Outbound) transferTime(bytes float64) time.Duration {
	return time.Duration(bytes / o.rate * float64(time.Second))
}
