package ident

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Marks made at the very same moment differ: nothing of a clock is in them.
func TestMarksAreUniqueWithoutAClock(t *testing.T) {
	seen := map[string]bool{}
	for range 10000 {
		m := Mark()
		must.Eq(t, 32, len(m))
		must.False(t, seen[m])
		seen[m] = true
	}
}
