package quota

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// fixture holds the stored value of the control key.
type fixture struct {
	t     *testing.T
	value json.RawMessage
}

func (f *fixture) apply(kind string, args Args) (granted Share) {
	result := Handlers().Apply(proposer.Context{}, f.value, proposer.Operation{Kind: kind, Args: operation.Encode(args)})
	if result.Changed {
		f.value = result.Value
	}
	if kind == "share/take" && result.Failure == nil {
		must.NoError(f.t, json.Unmarshal(result.Body, &granted))
	}
	return granted
}

func (f *fixture) state() (s State, sum int) {
	must.NoError(f.t, json.Unmarshal(operation.State(f.value), &s))
	for _, grant := range s.Nodes {
		sum += grant.Share
	}
	return s, sum
}

// The sum of the fair shares never exceeds the total, for 1 to 600 nodes.
func TestFairSharesFitTheTotal(t *testing.T) {
	for _, total := range []int{-1, 1, 50, 60, 178, 208, 2000} {
		must.Eq(t, MaxShare(total), FairShare(total, 0))
		for n := 1; n <= 600; n++ {
			must.Between(t, 0, FairShare(total, n)*n, max(0, total))
		}
	}
	must.Eq(t, 2, FairShare(208, 84))
	must.Eq(t, 6, FairShare(60, 9))
	must.Eq(t, 200, FairShare(2000, 9))
}

// Cores with two totals serve the same nodes in any order. No grant raises the sum of the shares
// above the smallest total of any grant, and a node that moves to the core with the larger total
// changes nothing. The larger total applies once all nodes have new lease epochs under the larger
// total.
func TestSmallestTotalLimitsGrants(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 3))
		f := &fixture{t: t}
		totals := []int{208, 50}
		seq, epochs := map[int]uint64{}, map[int]ident.LeaseEpoch{}
		node := func(i int) ident.Node { return ident.Node(fmt.Sprint(i)) }
		for range 400 {
			i := rng.IntN(20)
			before := 0
			if f.value != nil {
				_, before = f.state()
			}
			args := Args{Node: node(i), Total: 208}.CappedBy(totals[rng.IntN(2)])
			switch {
			case epochs[i] == 0 || rng.IntN(20) == 0:
				epochs[i]++
				seq[i] = 0
			default:
				seq[i]++
				if rng.IntN(3) == 0 {
					used := rng.IntN(4)
					args.Used = &used
				}
			}
			args.LeaseEpoch, args.Seq = epochs[i], seq[i]
			granted := f.apply("share/take", args)
			current, sum := f.state()
			must.Eq(t, current.smallestTotal(), granted.Total)
			must.LessEq(t, max(before, current.smallestTotal()), sum, must.Sprintf("seed %d", seed))
		}
		for i := range 20 {
			epochs[i]++
			f.apply("share/take", Args{Node: node(i), LeaseEpoch: epochs[i], Total: 208})
		}
		for i := range 20 {
			none := 0
			must.Eq(t, 208, f.apply("share/take", Args{Node: node(i), LeaseEpoch: epochs[i], Seq: 1, Total: 208, Used: &none}).Total)
		}
		_, sum := f.state()
		must.Eq(t, 20*FairShare(208, 20), sum)
	}
}

// Grants that were stored by a release without totals count as granted under the default total.
func TestOldStatesUseTheDefaultTotal(t *testing.T) {
	f := &fixture{t: t, value: json.RawMessage(`{"state":{"nodes":{"a":{"claim":1,"n":6},"b":{"claim":1,"n":6}}}}`)}
	must.Eq(t, DefaultTotal, f.apply("share/take", Args{Node: "c", LeaseEpoch: 1, Total: 208}).Total)
	f.apply("share/free", Args{Node: "a", LeaseEpoch: 1})
	f.apply("share/free", Args{Node: "b", LeaseEpoch: 1})
	must.Eq(t, 208, f.apply("share/take", Args{Node: "c", LeaseEpoch: 1, Seq: 1}.CappedBy(208)).Total)
}
