// Package placement says which core is the proposer of a key.
package placement

import (
	"hash/fnv"

	"cottonarch.example/cottonarch/kernel/ident"
)

// Proposer is the live disk with the highest rendezvous weight for the key; the
// second is its successor. Every core with the same picture gets the same result,
// and a disk that comes or goes moves only its own keys.
func Proposer(key ident.Key, live []ident.Disk) (first, second ident.Disk) {
	var high, next uint64
	for _, d := range live {
		w := weigh(key, d)
		if first == "" || w > high {
			second, next = first, high
			first, high = d, w
		} else if second == "" || w > next {
			second, next = d, w
		}
	}
	return first, second
}

func weigh(key ident.Key, d ident.Disk) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	w := h.Sum64()
	w ^= w >> 33
	w *= 0xff51afd7ed558ccd
	w ^= w >> 33
	w *= 0xc4ceb9fe1a85ec53
	return w ^ w>>33
}
