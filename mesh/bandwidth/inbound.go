package bandwidth

import "time"

// maxReceiveTime is how long the link may need for all large bodies that are received at once. A
// configuration takes some round trips, and each waits behind them.
const maxReceiveTime = 200 * time.Millisecond

// Inbound bounds the large bodies that other machines send to this one at the same time: they
// fill the link in, and whatever else comes, configurations too, waits behind them. It is a
// step function. Invariant: receiving is the sum of what was admitted and has not ended.
type Inbound struct {
	rate      float64 // bytes a second, 0 is unknown and bounds nothing
	receiving float64
}

// NewInbound makes the inbound side of a link that carries so many bytes a second, 0 for
// unknown.
func NewInbound(bytesPerSecond float64) *Inbound { return &Inbound{rate: bytesPerSecond * usableShare} }

// Admit decides whether a body of so many bytes may be sent now. An admitted one must be ended
// with Received; a refused one may come back after retryAfter. While nothing is received, any
// size is admitted. No request is let by for want of another machine: where all are full, each
// would be late with its configurations.
func (i *Inbound) Admit(bytes int64) (retryAfter time.Duration, ok bool) {
	if i.rate <= 0 {
		return 0, true
	}
	wait := i.transferTime(i.receiving)
	if bytes > smallBytes && wait > 0 && wait+i.transferTime(float64(bytes)) > maxReceiveTime {
		return max(wait-maxReceiveTime/2, i.transferTime(float64(bytes))), false
	}
	i.receiving += float64(bytes)
	return 0, true
}

// Received ends an admitted body, whether or not it came whole.
func (i *Inbound) Received(bytes int64) { i.receiving = max(0, i.receiving-float64(bytes)) }

func (i *Inbound) transferTime(bytes float64) time.Duration {
	if i.rate <= 0 {
		return 0
	}
	return time.Duration(bytes / i.rate * float64(time.Second))
}
