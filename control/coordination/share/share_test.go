package share

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
)

type desk struct {
	t     *testing.T
	value json.RawMessage
}

func (d *desk) do(kind string, a Args) (told Told) {
	v := Handlers().Apply(proposer.Context{}, d.value, proposer.Operation{Kind: kind, Args: operation.Encode(a)})
	if v.Changed {
		d.value = v.Value
	}
	if kind == "share/take" && v.Failure == nil {
		must.NoError(d.t, json.Unmarshal(v.Body, &told))
	}
	return told
}

func (d *desk) shares() (s Shares, sum int) {
	must.NoError(d.t, json.Unmarshal(operation.State(d.value), &s))
	for _, g := range s.Nodes {
		sum += g.N
	}
	return s, sum
}

// Fair shares fit their total, from one node to six hundred.
func TestFairFitsTheTotal(t *testing.T) {
	for _, total := range []int{-1, 1, 50, 60, 178, 208, 2000} {
		must.Eq(t, Most(total), Fair(total, 0))
		for n := 1; n <= 600; n++ {
			must.Between(t, 0, Fair(total, n)*n, max(0, total))
		}
	}
	must.Eq(t, 2, Fair(208, 84))
	must.Eq(t, 6, Fair(60, 9))
	must.Eq(t, 200, Fair(2000, 9))
}

// Cores of two totals serve the same nodes, in any order: no grant brings the sum over the
// smaller of those that stand, and a node that turns to the core of the larger total
// changes nothing. Once all have claimed anew under the larger, it rules.
func TestTheSmallerTotalRules(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		d := &desk{t: t}
		totals := []int{208, 50}
		seq, claims := map[int]uint64{}, map[int]ident.Epoch{}
		node := func(i int) ident.Node { return ident.Node(fmt.Sprint(i)) }
		for range 400 {
			i := rng.IntN(20)
			before := 0
			if d.value != nil {
				_, before = d.shares()
			}
			a := Args{Node: node(i), Total: 208}.Under(totals[rng.IntN(2)])
			switch {
			case claims[i] == 0 || rng.IntN(20) == 0:
				claims[i]++
				seq[i] = 0
			default:
				seq[i]++
				if rng.IntN(3) == 0 {
					use := rng.IntN(4)
					a.Using = &use
				}
			}
			a.Claim, a.Seq = claims[i], seq[i]
			told := d.do("share/take", a)
			s, sum := d.shares()
			must.Eq(t, s.total(), told.Total)
			must.LessEq(t, max(before, s.total()), sum, must.Sprintf("seed %d", seed))
		}
		for i := range 20 {
			claims[i]++
			d.do("share/take", Args{Node: node(i), Claim: claims[i], Total: 208})
		}
		for i := range 20 {
			none := 0
			must.Eq(t, 208, d.do("share/take", Args{Node: node(i), Claim: claims[i], Seq: 1, Total: 208, Using: &none}).Total)
		}
		_, sum := d.shares()
		must.Eq(t, 20*Fair(208, 20), sum)
	}
}

// A state of a release that knew no totals counts as under the default.
func TestOldStatesAreUnderTheDefault(t *testing.T) {
	d := &desk{t: t, value: json.RawMessage(`{"state":{"nodes":{"a":{"claim":1,"n":6},"b":{"claim":1,"n":6}}}}`)}
	must.Eq(t, Total, d.do("share/take", Args{Node: "c", Claim: 1, Total: 208}).Total)
	d.do("share/free", Args{Node: "a", Claim: 1})
	d.do("share/free", Args{Node: "b", Claim: 1})
	must.Eq(t, 208, d.do("share/take", Args{Node: "c", Claim: 1, Seq: 1}.Under(208)).Total)
}
