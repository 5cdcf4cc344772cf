package sidecar

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/wire/exchange"
)

// reserveOutbound reserves this machine's link for the response to another sidecar's request. A
// reservation must be ended with releaseOutbound.
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

// releaseOutbound ends a reservation, and counts the response that goes out now; resp is nil if
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

// reserveInbound reserves this machine's link for the body of another sidecar's request, before
// any of it is read. received must be called once the body was read, or reading it failed.
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
