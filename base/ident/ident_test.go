package ident

import (
	"testing"

	"github.com/shoenig/test/must"
)

// NewID must return a different ID on every call, also for calls at the same time of the clock.
func TestIDsAreUniqueWithoutAClock(t *testing.T) {
	seen := map[string]bool{}
	for range 10000 {
		id := NewID()
		must.Eq(t, 32, len(id))
		must.False(t, seen[id])
		seen[id] = true
	}
}
