// Package bandwidth estimates the utilization of the network link of a machine, so that large
// bodies are admitted only as fast as the link can carry them. Data queued at the link delays all
// later traffic, including heartbeats, lease renewals and configurations.
package bandwidth

import "time"

const (
	// bodyShare is the fraction of the link that bodies may use; the rest is reserved for all
	// other traffic.
	bodyShare = 0.85
	// smallBodyBytes is the size up to which a body is always admitted.
	smallBodyBytes = 8 << 10
)

// rate is the rate at which a link may carry bodies, in bytes per second. 0 means unknown and
// imposes no limit.
type rate float64

// bodyRate returns the rate for bodies on a link with the given total rate; 0 means unknown.
func bodyRate(bytesPerSecond float64) rate { return rate(bytesPerSecond * bodyShare) }

func (r rate) known() bool { return r > 0 }

// transferTime returns how long the link takes to carry the given number of bytes. The rate must
// be known.
func (r rate) transferTime(bytes float64) time.Duration {
	return time.Duration(bytes / float64(r) * float64(time.Second))
}

// fits reports whether a body may be added while other bytes are waiting: the body is small, or
// nothing is waiting, or the link carries both within the limit.
func (r rate) fits(waiting, bytes float64, limit time.Duration) bool {
	wait := r.transferTime(waiting)
	return bytes <= smallBodyBytes || wait <= 0 || wait+r.transferTime(bytes) <= limit
}

// retryAfter returns when a body that does not fit may be retried: when the waiting bytes take
// only half of the limit, but not before the link could have carried the body itself.
func (r rate) retryAfter(waiting, bytes float64, limit time.Duration) time.Duration {
	return max(r.transferTime(waiting)-limit/2, r.transferTime(bytes))
}
