package chain_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/chain"
	"cottonarch.example/cottonarch/kernel/ident"
)

// taken is a change as a list without a bound remembers it.
type taken struct {
	chain.Change
	before uint64 // the release that it was made on
	rose   bool
}

// Against a list that forgets nothing: for proposals on every base, of the mark that was
// taken there and of another, the chain says the truth or that it has forgotten, and it
// forgets nothing within its window.
func TestChainAgainstTheWholeHistory(t *testing.T) {
	const changes, seeds = 600, 4
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(3, seed))
		c := chain.Begin(0, 0)
		var all []taken
		release := uint64(0)
		for i := range changes {
			before := release
			release += []uint64{0, 1, 1, 1, 7, 1 << 40}[rng.IntN(6)]
			mark := chain.MarkOf(fmt.Sprint(seed, i))
			c = c.Add(release, mark)
			all = append(all, taken{chain.Change{Epoch: ident.Epoch(i + 1), Release: release, Mark: mark}, before, release > before})
			if i%37 != 36 && i != changes-1 {
				continue
			}
			raw, err := json.Marshal(c)
			must.NoError(t, err)
			must.NoError(t, json.Unmarshal(raw, &c))
			must.Eq(t, c, (&c).Continue(ident.Epoch(i+1), release))
			for k, past := range all {
				remembered := len(all)-k <= chain.Window
				agree(t, c.OnEpoch, past.Epoch-1, past, remembered)
				if past.rose {
					agree(t, c.OnRelease, past.before, past, remembered)
				}
				fate, change := c.Named(past.Mark)
				must.Eq(t, remembered, fate == chain.Taken)
				must.True(t, !remembered || change == past.Change)
				must.True(t, remembered || fate == chain.Forgotten)
			}
			fate, _ := c.OnRelease(release, chain.MarkOf("new"))
			must.Eq(t, chain.Open, fate)
			fate, _ = c.OnRelease(release+1, chain.MarkOf("new"))
			must.Eq(t, chain.Never, fate)
			fate, _ = c.OnEpoch(ident.Epoch(i+1), chain.MarkOf("new"))
			must.Eq(t, chain.Open, fate)
			fate, _ = c.OnEpoch(ident.Epoch(i+2), chain.MarkOf("new"))
			must.Eq(t, chain.Never, fate)
		}
	}
}

// agree asks for the taken mark and for another one on the same base.
func agree[B any](t *testing.T, on func(B, chain.Mark) (chain.Fate, chain.Change), base B, past taken, remembered bool) {
	t.Helper()
	same, change := on(base, past.Mark)
	other, _ := on(base, chain.MarkOf("another"))
	if !remembered {
		must.Eq(t, chain.Forgotten, same, must.Sprint(base))
		must.Eq(t, chain.Forgotten, other, must.Sprint(base))
		return
	}
	must.Eq(t, chain.Taken, same, must.Sprint(base))
	must.Eq(t, past.Change, change)
	must.Eq(t, chain.Never, other, must.Sprint(base))
}

// A base that lies between two releases was never one, so nothing was taken on it.
func TestBaseBetweenReleases(t *testing.T) {
	c := chain.Begin(0, 0).Add(5, chain.MarkOf("a")).Add(9, chain.MarkOf("b"))
	for base, want := range map[uint64]chain.Fate{0: chain.Taken, 3: chain.Never, 5: chain.Never, 7: chain.Never, 9: chain.Open, 12: chain.Never} {
		fate, _ := c.OnRelease(base, chain.MarkOf("a"))
		must.Eq(t, want, fate, must.Sprint(base))
	}
}

// A chain that does not reach the newest epoch, or is not well formed, is begun anew and
// claims to know nothing of what was before.
func TestBrokenChainKnowsNothing(t *testing.T) {
	whole := chain.Begin(0, 0).Add(5, chain.MarkOf("a")).Add(9, chain.MarkOf("b"))
	short := whole
	short.Changes = short.Changes[:len(short.Changes)-1]
	odd := whole
	odd.Changes = "!" + odd.Changes
	for _, c := range []*chain.Chain{nil, {}, &short, &odd} {
		must.Eq(t, chain.Begin(2, 9), c.Continue(2, 9))
		fate, _ := c.Continue(2, 9).OnRelease(5, chain.MarkOf("b"))
		must.Eq(t, chain.Forgotten, fate)
	}
	must.Eq(t, chain.Begin(3, 9), whole.Continue(3, 9))
	must.Eq(t, whole, whole.Continue(2, 9))
}
