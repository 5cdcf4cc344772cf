package node

import (
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

// minBuckets and maxBuckets limit the number of digests that a comparison exchanges. Both are
// powers of two.
const (
	minBuckets = 16
	maxBuckets = 1024
)

// AntiEntropyPass is the outcome of an anti-entropy pass.
type AntiEntropyPass struct {
	// FinishedAt is the time at which the pass ended, 0 if no pass has ended.
	FinishedAt monotime.Time
	// DisksRead is the number of the CountedDisks whose copies were read and compared.
	DisksRead    int
	CountedDisks int
	// LaggingKeys is the number of keys with an outdated copy on at least one of the disks read.
	LaggingKeys int
}

// antiEntropyState holds the start time of this core's last anti-entropy pass, and the outcome of
// the last completed pass.
type antiEntropyState struct {
	startedAt monotime.Time
	result    AntiEntropyPass
}

// LastAntiEntropyPass returns the outcome of this core's last anti-entropy pass. It returns false
// if there is none, or if another core holds the singleton role by now.
func (n *Node) LastAntiEntropyPass() (AntiEntropyPass, bool) {
	return n.antiEntropy.result, n.singletonRole.held && n.antiEntropy.result.FinishedAt != 0
}

// repairLagging submits a repair operation for each key whose copies differ. The key's proposer
// reads the key and thereby repairs its copies.
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

// bucketCount returns the number of digests that a comparison of the given number of keys
// exchanges.
func bucketCount(keys int) int {
	count := minBuckets
	for count < keys/2 && count < maxBuckets {
		count *= 2
	}
	return count
}
