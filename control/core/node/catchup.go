package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

const (
	// catchUpPause is the pause between two comparisons.
	catchUpPause = 200 * time.Millisecond
	// maxCatchUpTries limits the number of comparisons. Under heavy write load, some writes in
	// progress always look like missed writes. Anti-entropy passes repair the remaining keys.
	maxCatchUpTries = 5
)

// catchUpState tracks how a voter that counts again (after a start, a partition or a disk stall)
// finds the writes that it missed. The voter does not wait for the next anti-entropy pass, because
// the core that runs these passes may have failed.
type catchUpState struct {
	done    bool
	reading bool
	tries   int
	nextTry monotime.Time
}

// tickCatchUp compares this disk's copies with the copies of the other voters, and starts a repair
// of each key whose copy on this disk is older.
func (n *Node) tickCatchUp(now monotime.Time, fx *Effects) {
	if !n.IsVoter() || n.leaving || !n.hasMajorityWithin(now, maxMajoritySilence) {
		n.catchUp = &catchUpState{}
		return
	}
	state := n.catchUp
	if state.done || state.reading || state.nextTry.After(now) {
		return
	}
	state.reading = true
	n.startCompare(now, n.allVotersHeard(now, ""), "", fx, func(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
		state.reading, state.nextTry = false, now.Add(catchUpPause)
		state.tries++
		if reader == nil {
			return
		}
		lagging := n.localLaggingKeys(reader)
		state.done = len(lagging) == 0 || state.tries >= maxCatchUpTries
		n.repairKeys(now, lagging, fx)
	})
}

// localLaggingKeys lists the keys whose copy on this disk was older than another disk's copy in a
// quorum read.
func (n *Node) localLaggingKeys(reader *quorumread.Reader) (keys []ident.Key) {
	found := reader.Entries()
	for _, k := range sortedKeys(found) {
		if slices.Contains(reader.Lagging(found[k]), n.Disk) {
			keys = append(keys, k)
		}
	}
	return keys
}
