package tree

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/proposal"
)

func makeLeaves(n int) []proposal.AuditEntry {
	var out []proposal.AuditEntry
	for i := range n {
		out = append(out, proposal.AuditEntry{Revision: ident.ConfigRevision(i*2 + 1), SHA256: fmt.Sprintf("%064x", i)})
	}
	return out
}

// Verify accepts a log that continues an older checkpoint. Verify must reject a log with a missing,
// changed or swapped leaf, and a log with the checkpoint of another log.
func TestVerifyAcceptsOnlyContinuations(t *testing.T) {
	for _, n := range []int{0, 1, 2, 7, 300} {
		old, err := Build(makeLeaves(n))
		must.NoError(t, err)
		current, err := Build(makeLeaves(n + 5))
		must.NoError(t, err)
		must.NoError(t, Verify(current, old.Checkpoint))
		if n == 0 {
			continue
		}
		must.Error(t, Verify(old, current.Checkpoint), must.Sprint("leaves are missing"))
		changed := makeLeaves(n + 5)
		changed[n-1].SHA256 = fmt.Sprintf("%064x", 99999)
		bad, err := Build(changed)
		must.NoError(t, err)
		must.NoError(t, Verify(bad, ""))
		must.Error(t, Verify(bad, old.Checkpoint), must.Sprint("a leaf was changed"))
		must.Error(t, Verify(Log{Checkpoint: current.Checkpoint, Leaves: changed}, ""))
	}
	swapped := makeLeaves(4)
	swapped[1], swapped[2] = swapped[2], swapped[1]
	bad, err := Build(swapped)
	must.NoError(t, err)
	must.Error(t, Verify(bad, ""))
	must.Error(t, Verify(bad, "nonsense"))
}
