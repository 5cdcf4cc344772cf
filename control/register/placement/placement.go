// Package placement says which core is the proposer of a key.
package placement

import (
	"hash/fnv"

	"cottonarch.example/cottonarch/base/ident"
)

// Proposer is the live disk with the highest rendezvous weight for the key; the
// second is its successor. Every core with the same picture gets the same result,
// and a disk that comes or goes moves only its own keys.
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
	weight := hash.Sum64()
	weight ^= weight >> 33
	weight *= 0xff51afd7ed558ccd
	weight ^= weight >> 33
	weight *= 0xc4ceb9fe1a85ec53
	return weight ^ weight>>33
}
