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

func (f *fixture) join(joiners ...Joiner) []JoinResult {
	op := proposer.Operation{Op: "same", Kind: JoinKind, Args: operation.Encode(JoinArgs{joiners})}
	result := Handlers().Apply(proposer.Context{}, f.value, op)
	must.Nil(f.t, result.Failure)
	f.value = result.Value
	var joined []JoinResult
	must.NoError(f.t, json.Unmarshal(result.Body, &joined))
	must.Len(f.t, len(joiners), joined)
	return joined
}

// A new lease epoch is above every earlier epoch: of a batch, of a release that counted epochs
// separately for each node, or reported by a core; also after a release that does not know
// HighestEpoch has dropped the field.
func TestBatchEpochsIncrease(t *testing.T) {
	f := &fixture{t: t}
	f.apply("share/take", Args{Node: "old", LeaseEpoch: 77})
	first := f.join(Joiner{Node: "old"}, Joiner{Node: "a"})
	must.Eq(t, firstBatchEpoch+1, first[0].LeaseEpoch)
	must.Eq(t, firstBatchEpoch+2, first[1].LeaseEpoch)
	must.Eq(t, firstBatchEpoch+4, f.join(Joiner{Node: "b"}, Joiner{Node: "a"})[1].LeaseEpoch)
	s, _ := f.state()
	s.HighestEpoch = 0
	f.value = operation.Encode(operation.Value{State: operation.Encode(s)})
	must.Eq(t, firstBatchEpoch+5, f.join(Joiner{Node: "c"})[0].LeaseEpoch)
	must.Eq(t, 5000001+firstBatchEpoch, f.join(Joiner{Node: "d", KnownEpoch: firstBatchEpoch + 5000000})[0].LeaseEpoch)
	must.Eq(t, 5000002+firstBatchEpoch, f.join(Joiner{Node: "d", KnownEpoch: 1<<64 - 1})[0].LeaseEpoch)
	f.apply("share/free", Args{Node: "d", LeaseEpoch: firstBatchEpoch + 5000002})
	must.Eq(t, 5000003+firstBatchEpoch, f.join(Joiner{Node: "d"})[0].LeaseEpoch)
}

// A repeated join of one run keeps its lease epoch until a core reports a higher epoch. No past
// operation is stored for a join, so the value does not grow with the number of batches.
func TestRepeatedJoinKeepsItsEpoch(t *testing.T) {
	f := &fixture{t: t}
	firstRun := Joiner{Node: "a", Run: "one"}
	epoch := f.join(firstRun)[0].LeaseEpoch
	must.Eq(t, epoch, f.join(firstRun, Joiner{Node: "b", Run: "x"})[0].LeaseEpoch)
	must.Eq(t, epoch, f.join(Joiner{Node: "a", Run: "one", KnownEpoch: epoch})[0].LeaseEpoch)
	must.Less(t, f.join(Joiner{Node: "a", Run: "one", KnownEpoch: epoch + 5})[0].LeaseEpoch, epoch+5)
	secondRunEpoch := f.join(Joiner{Node: "a", Run: "two"})[0].LeaseEpoch
	must.Less(t, f.join(firstRun)[0].LeaseEpoch, secondRunEpoch)
	var value operation.Value
	must.NoError(t, json.Unmarshal(f.value, &value))
	must.Len(t, 0, value.PastOperations)
}

// Nodes that join in one batch are each granted the fair share for the whole batch.
func TestBatchSharesFairly(t *testing.T) {
	f := &fixture{t: t}
	var joiners []Joiner
	for n := range 84 {
		joiners = append(joiners, Joiner{Node: nodeName(n), Total: 208})
	}
	for _, joined := range f.join(joiners...) {
		must.Eq(t, Share{Amount: 2, FairShare: 2, Total: 208}, joined.Share)
	}
	_, sum := f.state()
	must.Eq(t, 168, sum)
}

// For any order of joins, takes, promises and releases, under any totals: a grant raises the sum of
// the shares to no more than the smallest total, only a promise lowers a share, and the lease epoch
// of a node only increases.
func TestBatchesNeverExceedTheTotal(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := &fixture{t: t}
		lastEpoch := map[ident.Node]ident.LeaseEpoch{}
		totals := []int{60, 178, 208}
		for range 40 {
			before, sumBefore := State{}, 0
			if len(f.value) > 0 {
				before, sumBefore = f.state()
			}
			switch n := nodeName(rng.IntN(30)); rng.IntN(4) {
			case 0:
				if grant, ok := before.Nodes[n]; ok {
					f.apply("share/free", Args{Node: n, LeaseEpoch: grant.LeaseEpoch})
					continue
				}
			case 1:
				if grant, ok := before.Nodes[n]; ok {
					used := rng.IntN(grant.Share + 1)
					f.apply("share/take", Args{Node: n, LeaseEpoch: grant.LeaseEpoch, Seq: grant.Seq + 1, Used: &used, Total: totals[rng.IntN(3)]})
				}
			default:
				var joiners []Joiner
				for _, i := range rng.Perm(30)[:1+rng.IntN(20)] {
					joiners = append(joiners, Joiner{Node: nodeName(i), Total: totals[rng.IntN(3)]})
				}
				for i, joined := range f.join(joiners...) {
					must.Less(t, joined.LeaseEpoch, lastEpoch[joiners[i].Node])
					lastEpoch[joiners[i].Node] = joined.LeaseEpoch
					must.GreaterEq(t, before.Nodes[joiners[i].Node].Share, joined.Share.Amount)
				}
			}
			if len(f.value) == 0 {
				continue
			}
			after, sum := f.state()
			must.LessEq(t, max(sumBefore, after.smallestTotal()), sum, must.Sprint(seed))
		}
	}
}

// An invalid batch is rejected and changes nothing.
func TestInvalidBatchesAreRefused(t *testing.T) {
	for _, args := range []JoinArgs{
		{},
		{[]Joiner{{}}},
		{[]Joiner{{Node: "a"}, {Node: "a"}}},
		{make([]Joiner, MaxBatchNodes+1)},
		{[]Joiner{{Node: "a", Run: string(make([]byte, MaxRunIDBytes+1))}}},
	} {
		result := Handlers().Apply(proposer.Context{}, nil, proposer.Operation{Kind: JoinKind, Args: operation.Encode(args)})
		must.NotNil(t, result.Failure)
		must.False(t, result.Changed)
	}
}

func nodeName(n int) ident.Node { return ident.Node(fmt.Sprint("node-", n)) }
