// Package placement selects the core that acts as the proposer of a key, by rendezvous hashing.
package placement

import (
	"hash/fnv"

	"cottonarch.example/cottonarch/base/hashing"
	"cottonarch.example/cottonarch/base/ident"
)

// Proposer returns the live disk with the highest rendezvous weight for the key and its successor,
// the live disk with the second highest weight; each is "" if there is no such disk. Every core
// that knows the same live disks gets the same result, and a disk that joins or leaves only moves
// its own keys.
func Proposer(key ident.Key, live []ident.Disk) (proposer, successor ident.Disk) {
	var highest, secondHighest uint64
	for _, disk := range live {
		weight := rendezvousWeight(key, disk)
		if proposer == "" || weight > highest {
			successor, secondHighest = proposer, highest
			proposer, highest = disk, weight
		} else if successor == "" || weight > secondHighest {
			successor, secondHighest = disk, weight
		}
	}
	return proposer, successor
}

func rendezvousWeight(key ident.Key, disk ident.Disk) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(disk))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(key))
	return hashing.Finalize(hash.Sum64())
}
