// Package placement chooses the core that is the proposer of a key, by rendezvous hashing.
package placement

import (
	"hash/fnv"

	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
)

// Proposer returns the live disk with the highest rendezvous weight for the key, and the one with
// the second highest, which is its successor; "" where there is none. Every core that knows the
// same live disks gets the same result, and a disk that joins or leaves moves only its own keys.
func Proposer(key ident.Key, live []ident.Disk) (first, second ident.Disk) {
	var highest, secondHighest uint64
	for _, disk := range live {
		weight := rendezvousWeight(key, disk)
		if first == "" || weight > highest {
			second, secondHighest = first, highest
			first, highest = disk, weight
		} else if second == "" || weight > secondHighest {
			second, secondHighest = disk, weight
		}
	}
	return first, second
}

func rendezvousWeight(key ident.Key, disk ident.Disk) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(disk))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return hashing.Finalize(hash.Sum64())
}
