package sidecar

import (
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/wire/exchange"
)

// linkAdmits decides whether this machine's link has room for the answer to another
// sidecar's request. What it admits must be ended with linkSent.
func (s *Sidecar) linkAdmits(w want) *failure.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, ok := s.link.Admit(s.clock(), w.bytes, w.must)
	if ok {
		return nil
	}
	s.Board.Add("link_turned_away", 1)
	return failure.New(failure.Busy, "the link of %s is full", s.Boot.Node).Later(retryAfter.Seconds())
}

// linkSent counts the answer that goes out now; there is none if ret is nil.
func (s *Sidecar) linkSent(w want, ret *exchange.Return) {
	bytes := 0
	if ret != nil {
		bytes = len(ret.Body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.link.Sent(s.clock(), w.bytes, bytes)
}

// bodyAdmits decides whether this machine's link has room for the body of another sidecar's
// request, before any of it is read. received must be called once it was, or was not.
func (s *Sidecar) bodyAdmits(size int64) (received func(), d *failure.Error) {
	size = max(0, size)
	s.mu.Lock()
	defer s.mu.Unlock()
	retryAfter, ok := s.inbound.Admit(size)
	if !ok {
		s.Board.Add("bodies_not_asked_for", 1)
		return nil, failure.New(failure.Busy, "the link of %s is full of what comes in", s.Boot.Node).Later(retryAfter.Seconds())
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inbound.Received(size)
	}, nil
}
