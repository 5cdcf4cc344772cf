// Package bandwidth estimates how full a machine's own network link is, so that large bodies are
// admitted only as fast as the link carries them. What waits at the link delays everything behind
// it: heartbeats, lease renewals and configurations too.
package bandwidth

import "time"

const (
	// usableShare is the part of the link that bodies may fill; the rest is for everything else.
	usableShare = 0.85
	// smallBytes is the size up to which a body is always admitted.
	smallBytes = 8 << 10
)

// rate is what a link carries for bodies, in bytes a second; 0 is unknown and bounds nothing.
type rate float64

// usableRate is the rate of a link that carries so many bytes a second in all, 0 for unknown.
func usableRate(bytesPerSecond float64) rate { return rate(bytesPerSecond * usableShare) }

func (r rate) known() bool { return r > 0 }

// transferTime is how long the link takes for so many bytes. The rate must be known.
func (r rate) transferTime(bytes float64) time.Duration {
	return time.Duration(bytes / float64(r) * float64(time.Second))
}

// fits reports whether a body may be added where another size waits already: it is small, or
// nothing waits, or both together are carried within the limit.
func (r rate) fits(waiting, bytes float64, limit time.Duration) bool {
	wait := r.transferTime(waiting)
	return bytes <= smallBytes || wait <= 0 || wait+r.transferTime(bytes) <= limit
}

// retryAfter is when a body that does not fit may be tried again: when half of the limit is free, and
// not before the link could have carried the body itself.
func (r rate) retryAfter(waiting, bytes float64, limit time.Duration) time.Duration {
	return max(r.transferTime(waiting)-limit/2, r.transferTime(bytes))
}
