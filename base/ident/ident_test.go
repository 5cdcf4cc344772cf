package ident

import (
	"testing"

	"github.com/shoenig/test/must"
)

// IDs created at the same time differ, because they do not depend on a clock.
func TestIDsAreUniqueWithoutAClock(t *testing.T) {
	seen := map[string]bool{}
	for range 10000 {
		id := NewID()
		must.Eq(t, 32, len(id))
		must.False(t, seen[id])
		seen[id] = true
	}
}
