package ident

import (
	"testing"

	"github.com/shoenig/test/must"
)

// IDs made at the same time differ, as no clock is read for them.
func TestIDsAreUniqueWithoutAClock(t *testing.T) {
	seen := map[string]bool{}
	for range 10000 {
		id := NewID()
		must.Eq(t, 32, len(id))
		must.False(t, seen[id])
		seen[id] = true
	}
}
