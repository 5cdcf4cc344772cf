package run

import (
	"math/rand/v2"
	"sync"
)

// lockedSource is a random source that is safe for concurrent use.
type lockedSource struct {
	mu     sync.Mutex
	source rand.Source
}

// Uint64 returns the next random value of the source.
func (s *lockedSource) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.source.Uint64()
}
