package node

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

const (
	// catchUpPause parts two comparisons, catchUpMost bounds them: while much is written,
	// something on its way always looks as if it was missed. The anti-entropy pass does the rest.
	catchUpPause = 200 * time.Millisecond
	catchUpMost  = 5
)

// catchUp is how a voter that counts again, after a start, a cut or a stalled disk, finds
// what it missed. It need not wait for the next anti-entropy pass, whose holder may be the one that was
// lost.
type catchUp struct {
	done  bool
	busy  bool
	tries int
	next  monotime.Time
}

// catchUp compares this disk's copies with those of the others, by digests first, and has
// repaired what is behind here.
func (n *Node) catchUp(now monotime.Time, fx *Effects) {
	if !n.Votes() || n.leaving || !n.majority(now, silentMajorityAge) {
		n.missed = &catchUp{}
		return
	}
	c := n.missed
	if c.done || c.busy || c.next.After(now) {
		return
	}
	c.busy = true
	n.quorumRead(now, &reading{until: now.Add(proofWait), all: n.allHeard(now, ""), buckets: buckets(n.Records()), done: func(now monotime.Time, s *quorumread.Reader, fx *Effects) {
		c.busy, c.next = false, now.Add(catchUpPause)
		c.tries++
		if s == nil {
			return
		}
		behind := n.laggingHere(s)
		c.done = len(behind) == 0 || c.tries >= catchUpMost
		n.mendAll(now, behind, fx)
	}}, "", false, "", fx)
}

// laggingHere lists the keys of which a quorum read found an older copy here than elsewhere.
func (n *Node) laggingHere(s *quorumread.Reader) (out []ident.Key) {
	all := s.Found()
	for _, k := range sortedKeys(all) {
		if slices.Contains(s.Lagging(all[k]), n.Disk) {
			out = append(out, k)
		}
	}
	return out
}
