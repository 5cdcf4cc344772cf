package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/kernel/ident"
)

// swept gives the last anti-entropy pass of whoever holds the duty.
func (x *trio) swept(t *testing.T) node.Pass {
	var got []node.Pass
	for _, a := range three {
		if s, ok := x.nodes[a].LastPass(); ok && !x.dead[a] {
			got = append(got, s)
		}
	}
	must.Len(t, 1, got)
	return got[0]
}

// What the anti-entropy pass says is so: a copy that forgot all is counted as differing until it is
// repaired, and a disk that says nothing as not read.
func TestAntiEntropySaysWhetherAllCopiesAreWhole(t *testing.T) {
	x := newTrio(t)
	for i, k := range []ident.Key{"number/a", "number/b", "number/c"} {
		x.submit("a:1", uint64(i+1), "number/next", k)
	}
	x.run(12 * time.Second)
	s := x.swept(t)
	must.Eq(t, node.Pass{At: s.At, Read: 3, Of: 3}, s)
	loser := three[0]
	for _, a := range three {
		if !x.nodes[a].Duty() {
			loser = a
		}
	}
	x.nodes[loser].Amnesia()
	before := s.At
	for ; x.swept(t).At == before; x.run(10 * time.Millisecond) {
	}
	s = x.swept(t)
	must.Eq(t, 3, s.Read)
	must.GreaterEq(t, 3, s.Behind)
	x.run(12 * time.Second)
	must.Eq(t, 0, x.swept(t).Behind)
	x.dead[loser] = true
	x.run(12 * time.Second)
	s = x.swept(t)
	must.Eq(t, 2, s.Read)
	must.Eq(t, 3, s.Of)
}
