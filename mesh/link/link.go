// Package link estimates how long what a machine sends waits at its own network link, so
// that large answers are let in only as fast as the link carries them. What waits at the
// link holds up everything behind it: heartbeats, renewals and configurations too.
package link

import (
	"time"

	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// part is the part of the link that answers may fill; the rest is for everything else.
	part = 0.85
	// waitMost is how long the link may need for all that was sent or is expected when a
	// large answer is admitted, and waitMust the same where no other machine is left to serve
	// the request. What is expected comes only after its run, so less of it waits at once.
	waitMost = 350 * time.Millisecond
	waitMust = 800 * time.Millisecond
	// smallBytes is the size up to which an answer is always admitted.
	smallBytes = 8 << 10
	// headBytes stands for the head of an answer.
	headBytes = 300
)

// Link is the step function of one machine's link. Invariants: queued is what was sent and
// is not carried yet by the estimate as of at; expected is the sum of what was admitted and
// has not been sent.
type Link struct {
	rate     float64 // bytes a second, 0 is unknown and bounds nothing
	queued   float64
	expected float64
	at       monotime.Time
}

// New makes the link of a machine that carries so many bytes a second, 0 for unknown.
func New(bytesPerSecond float64) *Link { return &Link{rate: bytesPerSecond * part} }

// Admit decides on a request whose answer is expected to have so many bytes. An admitted one
// must be ended with Sent; a refused one may come back after retryAfter.
func (l *Link) Admit(now monotime.Time, bytes int, must bool) (retryAfter time.Duration, ok bool) {
	if l.rate <= 0 {
		return 0, true
	}
	l.carry(now)
	most := waitMost
	if must {
		most = waitMust
	}
	wait := l.span(l.queued + l.expected)
	if bytes > smallBytes && wait > 0 && wait+l.span(float64(bytes)) > most {
		return max(wait-most/2, l.span(float64(bytes))), false
	}
	l.expected += float64(bytes)
	return 0, true
}

// Sent ends an admitted request: so many bytes were expected, and so many were sent, 0 for
// none.
func (l *Link) Sent(now monotime.Time, expected, bytes int) {
	if l.rate <= 0 {
		return
	}
	l.carry(now)
	l.expected = max(0, l.expected-float64(expected))
	if bytes > 0 {
		l.queued += float64(bytes + headBytes)
	}
}

// Wait is how long what is sent now waits at the link, by the estimate.
func (l *Link) Wait(now monotime.Time) time.Duration {
	if l.rate <= 0 {
		return 0
	}
	l.carry(now)
	return l.span(l.queued)
}

// carry takes out what the link has carried since the last step.
func (l *Link) carry(now monotime.Time) {
	if now.After(l.at) {
		l.queued = max(0, l.queued-l.rate*now.Since(l.at).Seconds())
		l.at = now
	}
}

func (l *Link) span(bytes float64) time.Duration {
	return time.Duration(bytes / l.rate * float64(time.Second))
}
