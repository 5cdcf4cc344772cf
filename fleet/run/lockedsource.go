package run

import (
	"math/rand/v2"
	"sync"
)

// lockedSource is a random source that several goroutines may use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 draws from the source.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}
