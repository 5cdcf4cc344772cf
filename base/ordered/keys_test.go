package ordered

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestKeysAreInOrder(t *testing.T) {
	must.Eq(t, []string{"a", "b", "c"}, Keys(map[string]int{"c": 1, "a": 2, "b": 3}))
	must.Eq(t, []uint64{}, Keys(map[uint64]bool{}))
}

func TestKeysAllocateOnce(t *testing.T) {
	m := map[uint64]bool{}
	for i := range uint64(100) {
		m[i] = true
	}
	must.Eq(t, 1, testing.AllocsPerRun(100, func() { Keys(m) }))
}
