// Package ordered iterates over maps in an order that is the same in every run.
package ordered

import (
	"cmp"
	"slices"
)

// Keys returns the keys of m in ascending order. Unlike slices.Sorted(maps.Keys(m)), Keys allocates
// only once, because the steps of a core list their peers and rounds several times per message.
func Keys[M ~map[K]V, K cmp.Ordered, V any](m M) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
