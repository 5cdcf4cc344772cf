package sidecar

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/wire/exchange"
)

// reserveOutbound reserves capacity of this machine's outbound link for the response to another
// sidecar's request. Each reservation must be released with releaseOutbound.
func (s *Sidecar) reserveOutbound(hints admissionHints) *failure.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, ok := s.outboundLink.Admit(s.clock(), hints.responseBytes, hints.lastResort)
	if ok {
		return nil
	}
	s.count(counterOutboundLinkFull)
	return failure.New(failure.Busy, "the outbound link of %s is full", s.Settings.Node).WithRetryAfter(retryAfter.Seconds())
}

// releaseOutbound releases a reservation and accounts for the response being sent; resp is nil if
// there is none.
func (s *Sidecar) releaseOutbound(hints admissionHints, resp *exchange.Response) {
	sent := 0
	if resp != nil {
		sent = len(resp.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outboundLink.Sent(s.clock(), hints.responseBytes, sent)
}

// reserveInbound reserves capacity of this machine's inbound link for the body of another sidecar's
// request, before any of the body is read. The caller must call received when the body has been
// read, or reading the body has failed.
func (s *Sidecar) reserveInbound(size int64) (received func(), fail *failure.Error) {
	size = max(0, size)
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, ok := s.inboundLink.Admit(size)
	if !ok {
		s.count(counterInboundLinkFull)
		return nil, failure.New(failure.Busy, "the inbound link of %s is full", s.Settings.Node).WithRetryAfter(retryAfter.Seconds())
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inboundLink.Received(size)
	}, nil
}
