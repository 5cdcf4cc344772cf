// Package ordered walks maps in an order that does not change from run to run.
package ordered

import (
	"cmp"
	"slices"
)

// Keys lists the keys of m in ascending order. Unlike slices.Sorted of maps.Keys it allocates once:
// the steps of a core list their peers and rounds several times a message.
func Keys[M ~map[K]V, K cmp.Ordered, V any](m M) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
