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
