package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

const (
	// catchUpPause is the time between two comparisons.
	catchUpPause = 200 * time.Millisecond
	// maxCatchUpTries bounds the comparisons: while there are many writes, some that are in
	// progress always look like missed ones. The anti-entropy pass repairs the rest.
	maxCatchUpTries = 5
)

// catchUpState tracks how a voter that counts again (after a start, a partition or a stalled
// disk) finds the writes that it missed. It does not wait for the next anti-entropy pass, because
// the core that runs these passes may be the one that failed.
type catchUpState struct {
	done    bool
	reading bool
	tries   int
	nextTry monotime.Time
}

// tickCatchUp compares this disk's copies with those of the other voters, and has the keys
// repaired whose copy here is older.
func (n *Node) tickCatchUp(now monotime.Time, fx *Effects) {
	if !n.IsVoter() || n.leaving || !n.hasMajorityWithin(now, silentMajorityAge) {
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
		lagging := n.laggingHere(reader)
		state.done = len(lagging) == 0 || state.tries >= maxCatchUpTries
		n.repairKeys(now, lagging, fx)
	})
}

// laggingHere lists the keys of which a quorum read found an older copy here than elsewhere.
func (n *Node) laggingHere(reader *quorumread.Reader) (keys []ident.Key) {
	found := reader.Entries()
	for _, k := range sortedKeys(found) {
		if slices.Contains(reader.Lagging(found[k]), n.Disk) {
			keys = append(keys, k)
		}
	}
	return keys
}
