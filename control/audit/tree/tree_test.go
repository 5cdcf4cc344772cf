package tree

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/kernel/ident"
)

func leaves(n int) []offer.Line {
	var out []offer.Line
	for i := range n {
		out = append(out, offer.Line{Epoch: ident.Epoch(i*2 + 1), Sum: fmt.Sprintf("%064x", i)})
	}
	return out
}

// A log that goes on from an older checkpoint passes; one that forgot, changed or
// swapped a leaf, or whose checkpoint is another's, does not.
func TestOnlyAContinuationPasses(t *testing.T) {
	for _, n := range []int{0, 1, 2, 7, 300} {
		old, err := Build(leaves(n))
		must.NoError(t, err)
		now, err := Build(leaves(n + 5))
		must.NoError(t, err)
		must.NoError(t, Check(now, old.Checkpoint))
		if n == 0 {
			continue
		}
		must.Error(t, Check(old, now.Checkpoint), must.Sprint("leaves were forgotten"))
		changed := leaves(n + 5)
		changed[n-1].Sum = fmt.Sprintf("%064x", 99999)
		bad, err := Build(changed)
		must.NoError(t, err)
		must.NoError(t, Check(bad, ""))
		must.Error(t, Check(bad, old.Checkpoint), must.Sprint("a leaf was changed"))
		must.Error(t, Check(Log{Checkpoint: now.Checkpoint, Leaves: changed}, ""))
	}
	swapped := leaves(4)
	swapped[1], swapped[2] = swapped[2], swapped[1]
	bad, err := Build(swapped)
	must.NoError(t, err)
	must.Error(t, Check(bad, ""))
	must.Error(t, Check(bad, "nonsense"))
}
