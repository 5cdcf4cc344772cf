package sidecar

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/wire/exchange"
)

// reserveOutbound decides whether this machine's link has room for the answer to another
// sidecar's request. What it admits must be ended with linkSent.
func (s *Sidecar) reserveOutbound(hints admissionHints) *failure.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, ok := s.outboundLink.Admit(s.clock(), hints.responseBytes, hints.lastResort)
	if ok {
		return nil
	}
	s.Metrics.Add("link_turned_away", 1)
	return failure.New(failure.Busy, "the link of %s is full", s.Settings.Node).WithRetryAfter(retryAfter.Seconds())
}

// releaseOutbound counts the answer that goes out now; there is none if ret is nil.
func (s *Sidecar) releaseOutbound(hints admissionHints, resp *exchange.Response) {
	bytes := 0
	if resp != nil {
		bytes = len(resp.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outboundLink.Sent(s.clock(), hints.responseBytes, bytes)
}

// reserveInbound decides whether this machine's link has room for the body of another sidecar's
// request, before any of it is read. received must be called once it was, or was not.
func (s *Sidecar) reserveInbound(size int64) (received func(), fail *failure.Error) {
	size = max(0, size)
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, ok := s.inboundLink.Admit(size)
	if !ok {
		s.Metrics.Add("bodies_not_asked_for", 1)
		return nil, failure.New(failure.Busy, "the link of %s is full of what comes in", s.Settings.Node).WithRetryAfter(retryAfter.Seconds())
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inboundLink.Received(size)
	}, nil
}
