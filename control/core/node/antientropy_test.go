package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/node"
)

// lastPass returns the last anti-entropy pass of the core that holds the singleton role.
func (cluster *threeCores) lastPass(t *testing.T) node.AntiEntropyPass {
	var passes []node.AntiEntropyPass
	for _, addr := range coreAddrs {
		if pass, ok := cluster.nodes[addr].LastAntiEntropyPass(); ok && !cluster.down[addr] {
			passes = append(passes, pass)
		}
	}
	must.Len(t, 1, passes)
	return passes[0]
}

// An anti-entropy pass must count the keys of a disk that lost all records as lagging until the keys
// are repaired, and must not count a disk that does not answer as read.
func TestAntiEntropyReportsLaggingCopies(t *testing.T) {
	cluster := newThreeCores(t)
	for i, k := range []ident.Key{"number/a", "number/b", "number/c"} {
		cluster.submit("a:1", uint64(i+1), "number/next", k)
	}
	cluster.advance(12 * time.Second)
	pass := cluster.lastPass(t)
	must.Eq(t, node.AntiEntropyPass{FinishedAt: pass.FinishedAt, DisksRead: 3, CountedDisks: 3}, pass)
	emptied := coreAddrs[0]
	for _, a := range coreAddrs {
		if !cluster.nodes[a].HoldsSingletonRole() {
			emptied = a
		}
	}
	cluster.nodes[emptied].ForgetRecords()
	before := pass.FinishedAt
	for cluster.lastPass(t).FinishedAt == before {
		cluster.advance(10 * time.Millisecond)
	}
	pass = cluster.lastPass(t)
	must.Eq(t, 3, pass.DisksRead)
	must.GreaterEq(t, 3, pass.LaggingKeys)
	cluster.advance(12 * time.Second)
	must.Eq(t, 0, cluster.lastPass(t).LaggingKeys)
	cluster.down[emptied] = true
	cluster.advance(12 * time.Second)
	pass = cluster.lastPass(t)
	must.Eq(t, 2, pass.DisksRead)
	must.Eq(t, 3, pass.CountedDisks)
}
