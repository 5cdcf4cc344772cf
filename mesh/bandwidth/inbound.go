package bandwidth

import "time"

// maxInboundWait is the maximum time that the link may need for all large bodies being received.
// Fetching a configuration takes several round trips, and each round trip waits behind these
// bodies.
const maxInboundWait = 200 * time.Millisecond

// Inbound limits the large bodies that other machines send to this machine at the same time. Large
// bodies fill the link, and all other inbound traffic, including configurations, waits behind
// them. Inbound reads no clock. Invariant: receiving is the total size, in bytes, of the admitted
// bodies that have not ended.
type Inbound struct {
	rate      rate
	receiving float64
}

// NewInbound returns the limiter for the inbound direction of a link with the given rate; 0 means
// unknown.
func NewInbound(bytesPerSecond float64) *Inbound {
	return &Inbound{rate: bodyRate(bytesPerSecond)}
}

// Admit decides whether a body of the given size may be sent to this machine now. An admitted body
// must be ended with Received; a rejected body may be retried after retryAfter. While no body is
// being received, a body of any size is admitted. There is no exception for a request that no
// other machine can serve: if all links were full, every machine would receive its configurations
// late.
func (i *Inbound) Admit(bytes int64) (retryAfter time.Duration, ok bool) {
	if !i.rate.known() {
		return 0, true
	}
	if !i.rate.fits(i.receiving, float64(bytes), maxInboundWait) {
		return i.rate.retryAfter(i.receiving, float64(bytes), maxInboundWait), false
	}
	i.receiving += float64(bytes)
	return 0, true
}

// Received ends an admitted body, whether or not the body was received completely.
func (i *Inbound) Received(bytes int64) { i.receiving = max(0, i.receiving-float64(bytes)) }
