package node

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// minBuckets and maxBuckets, powers of two, bound the number of digests that a comparison exchanges.
const (
	minBuckets = 16
	maxBuckets = 1024
)

// AntiEntropyPass is the outcome of an anti-entropy pass.
type AntiEntropyPass struct {
	// FinishedAt is when the pass ended, 0 if there was none.
	FinishedAt monotime.Time
	// Read is how many of the CountedDisks were read and compared.
	DisksRead    int
	CountedDisks int
	// LaggingKeys is how many keys had an outdated copy on one of the disks that were read.
	LaggingKeys int
}

// antiEntropyState is when this core began its last anti-entropy pass, and its outcome.
type antiEntropyState struct {
	startedAt monotime.Time
	result    AntiEntropyPass
}

// LastAntiEntropyPass returns the outcome of this core's last anti-entropy pass. It returns false
// if there is none, or if another core holds the singleton role by now.
func (n *Node) LastAntiEntropyPass() (AntiEntropyPass, bool) {
	return n.antiEntropy.result, n.singletonRole.held && n.antiEntropy.result.FinishedAt != 0
}

// repairLagging reads every key whose copies differ through its proposer, which repairs them.
func (n *Node) repairLagging(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
	if reader == nil {
		return
	}
	found := reader.Entries()
	result := &n.antiEntropy.result
	*result = AntiEntropyPass{FinishedAt: now}
	result.DisksRead, result.CountedDisks = reader.Coverage()
	for _, k := range sortedKeys(found) {
		if len(reader.Lagging(found[k])) == 0 {
			continue
		}
		result.LaggingKeys++
		n.KeysRepaired++
		n.submitInternal(now, proposer.Operation{Key: k, Kind: proposer.Repair}, fx, ignoreResult)
	}
}

// bucketCount returns how many digests a comparison of a number of keys exchanges.
func bucketCount(keys int) int {
	count := minBuckets
	for count < keys/2 && count < maxBuckets {
		count *= 2
	}
	return count
}
