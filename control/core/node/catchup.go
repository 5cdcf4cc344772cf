package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/quorumread"
)

const (
	// catchUpPause parts two comparisons, catchUpMost bounds them: while much is written,
	// something on its way always looks as if it was missed. The anti-entropy pass does the rest.
	catchUpPause    = 200 * time.Millisecond
	maxCatchUpTries = 5
)

// catchUp is how a voter that counts again, after a start, a cut or a stalled disk, finds
// what it missed. It need not wait for the next anti-entropy pass, whose holder may be the one that was
// lost.
type catchUp struct {
	done    bool
	reading bool
	tries   int
	nextTry monotime.Time
}

// catchUp compares this disk's copies with those of the others, by digests first, and has
// repaired what is behind here.
func (n *Node) catchUp(now monotime.Time, fx *Effects) {
	if !n.IsVoter() || n.leaving || !n.hasMajorityWithin(now, silentMajorityAge) {
		n.catchUpState = &catchUp{}
		return
	}
	state := n.catchUpState
	if state.done || state.reading || state.nextTry.After(now) {
		return
	}
	state.reading = true
	n.startRead(now, &pendingRead{deadline: now.Add(compareTimeout), everyVoter: n.allVotersHeard(now, ""), buckets: bucketCount(n.RecordCount()), onDone: func(now monotime.Time, reader *quorumread.Reader, fx *Effects) {
		state.reading, state.nextTry = false, now.Add(catchUpPause)
		state.tries++
		if reader == nil {
			return
		}
		behind := n.laggingHere(reader)
		state.done = len(behind) == 0 || state.tries >= maxCatchUpTries
		n.repairKeys(now, behind, fx)
	}}, "", false, "", fx)
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
