// Package chain remembers, in few bytes each, which proposals made the newest epochs of the
// manifest, and says of a proposal that is sent again what became of it.
package chain

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"cottonarch.example/cottonarch/kernel/ident"
)

const (
	// Window is how many of the newest changes are remembered.
	Window = 256
	// markBytes is the length of a mark. Marks are compared only between proposals on one
	// base, so 64 bits are ample.
	markBytes = 8
	// stepBase is the base that release steps are written in, stepEnd ends one.
	stepBase = 36
	stepEnd  = '.'
)

// markText is the length of a mark as text.
var markText = base64.RawStdEncoding.EncodedLen(markBytes)

// Mark names a proposal by its content. Invariant: proposals with different marks differ.
type Mark string

// MarkOf gives the mark of a proposal's parts.
func MarkOf(parts ...string) Mark {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Mark(base64.RawStdEncoding.EncodeToString(hash.Sum(nil)[:markBytes]))
}

// Change is one taken proposal: the epoch and the release that it made.
type Change struct {
	Epoch   ident.Epoch
	Release uint64
	Mark    Mark
}

// Chain is the newest taken proposals in order, one for each epoch. Invariants: Epoch and
// Release are those before the oldest change that is remembered; releases never fall, and a
// proposal on a base release is taken only while that release is the newest, and raises it.
type Chain struct {
	Epoch   ident.Epoch `json:"e"`
	Release uint64      `json:"r"`
	// Changes holds for each change by how much it raised the release, then its mark.
	Changes string `json:"c"`
}

// Fate is what the chain knows of a proposal.
type Fate int

// The fates of a proposal.
const (
	// Open: its base is the newest one, so it was not taken yet.
	Open Fate = iota
	// Taken: it made the change that is told.
	Taken
	// Never: it was not taken, and while the newest base is not its own it will not be.
	Never
	// Forgotten: its base is older than what is remembered, so it may have been taken.
	Forgotten
)

// Begin is a chain that remembers nothing up to an epoch and its release.
func Begin(epoch ident.Epoch, release uint64) Chain { return Chain{Epoch: epoch, Release: release} }

// Continue is the chain if it is whole up to the epoch, and else one that begins there. A
// process of a release that knows no chains drops it with its changes.
func (c *Chain) Continue(epoch ident.Epoch, release uint64) Chain {
	if c != nil {
		if last := c.last(); last.Epoch == epoch && last.Release == release {
			return *c
		}
	}
	return Begin(epoch, release)
}

// Add appends a change to a release at least as high as the newest one.
func (c Chain) Add(release uint64, mark Mark) Chain {
	step := release - c.last().Release
	c.Changes += strconv.FormatUint(step, stepBase) + string(stepEnd) + string(mark)
	for c.count() > Window {
		oldest, rest, _ := c.next(c.Changes, Change{Epoch: c.Epoch, Release: c.Release})
		c.Epoch, c.Release, c.Changes = oldest.Epoch, oldest.Release, rest
	}
	return c
}

// OnRelease tells the fate of a proposal that builds on a release. The change that led away
// from that release is the only one that the proposal can have made.
func (c Chain) OnRelease(base uint64, mark Mark) (Fate, Change) {
	if base < c.Release {
		return Forgotten, Change{}
	}
	before := c.Release
	for _, change := range c.all() {
		if before == base && change.Release > base {
			return decide(change, mark)
		}
		before = change.Release
	}
	if base == before {
		return Open, Change{}
	}
	return Never, Change{}
}

// OnEpoch tells the fate of a proposal that builds on an epoch, which can only have made
// the next one.
func (c Chain) OnEpoch(base ident.Epoch, mark Mark) (Fate, Change) {
	if base < c.Epoch {
		return Forgotten, Change{}
	}
	all := c.all()
	if n := uint64(base - c.Epoch); n < uint64(len(all)) {
		return decide(all[n], mark)
	}
	if base == c.Epoch+ident.Epoch(len(all)) {
		return Open, Change{}
	}
	return Never, Change{}
}

// Named looks for a proposal that has a name in place of a base: it is Forgotten if it is
// not found and there was a change before what is remembered.
func (c Chain) Named(mark Mark) (Fate, Change) {
	for _, change := range c.all() {
		if change.Mark == mark {
			return Taken, change
		}
	}
	if c.Epoch > 0 {
		return Forgotten, Change{}
	}
	return Open, Change{}
}

func decide(change Change, mark Mark) (Fate, Change) {
	if change.Mark == mark {
		return Taken, change
	}
	return Never, Change{}
}

func (c Chain) count() int { return strings.Count(c.Changes, string(stepEnd)) }

func (c Chain) last() Change {
	if all := c.all(); len(all) > 0 {
		return all[len(all)-1]
	}
	return Change{Epoch: c.Epoch, Release: c.Release}
}

// all decodes the changes; what is not well formed ends them.
func (c Chain) all() []Change {
	out := make([]Change, 0, Window)
	before := Change{Epoch: c.Epoch, Release: c.Release}
	for rest := c.Changes; ; {
		change, tail, ok := c.next(rest, before)
		if !ok {
			return out
		}
		out, before, rest = append(out, change), change, tail
	}
}

// next decodes the first change of a text, which follows another.
func (c Chain) next(text string, before Change) (change Change, rest string, ok bool) {
	digits, rest, ok := strings.Cut(text, string(stepEnd))
	step, err := strconv.ParseUint(digits, stepBase, 64)
	if !ok || err != nil || len(rest) < markText {
		return Change{}, "", false
	}
	return Change{before.Epoch + 1, before.Release + step, Mark(rest[:markText])}, rest[markText:], true
}
