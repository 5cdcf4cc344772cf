package bandwidth

import "time"

// maxReceiveTime is how long the link may need for all large bodies that are received at once. A
// configuration takes some round trips, and each waits behind them.
const maxReceiveTime = 200 * time.Millisecond

// Inbound bounds the large bodies that other machines send to this one at the same time: they fill
// the link, and everything else that comes, configurations too, waits behind them. It reads no
// clock. Invariant: receiving is the sum of what was admitted and has not ended, in bytes.
type Inbound struct {
	rate      rate
	receiving float64
}

// NewInbound makes the inbound side of a link that carries so many bytes a second, 0 for unknown.
func NewInbound(bytesPerSecond float64) *Inbound {
	return &Inbound{rate: usableRate(bytesPerSecond)}
}

// Admit decides whether a body of so many bytes may be sent here now. An admitted one must be ended
// with Received; a rejected one may be tried again after retryAfter. While nothing is received, any
// size is admitted. There is no exception for a request that no other machine can take: where all
// links are full, every machine would get its configurations late.
func (i *Inbound) Admit(bytes int64) (retryAfter time.Duration, ok bool) {
	if !i.rate.known() {
		return 0, true
	}
	if !i.rate.fits(i.receiving, float64(bytes), maxReceiveTime) {
		return i.rate.retryAfter(i.receiving, float64(bytes), maxReceiveTime), false
	}
	i.receiving += float64(bytes)
	return 0, true
}

// Received ends an admitted body, whether or not it came whole.
func (i *Inbound) Received(bytes int64) { i.receiving = max(0, i.receiving-float64(bytes)) }
