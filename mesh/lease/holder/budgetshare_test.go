package holder

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// sharesRun plays sidecars that join one after the other and ask for shares of the retry budget
// over a network that loses, delays, doubles and reorders messages. A step is a tenth of a second.
type sharesRun struct {
	t         *testing.T
	rng       *rand.Rand
	now       monotime.Time
	value     json.RawMessage // the state of the cores
	inTransit []message
	shares    []*BudgetShare
	usable    [][]int // of each sidecar, by step
}

// message is a request or a response on its way.
type message struct {
	arrivesAt monotime.Time
	deliver   func()
}

const (
	step      = 100 * time.Millisecond
	allNodes  = 40
	stepCount = 3000
	// windowSteps is the window of the retry budget: a retry within it counts.
	windowSteps = 100
)

// apply executes a request at the cores.
func (r *sharesRun) apply(args quota.Args) (grant quota.Share, ok bool) {
	result := quota.Handlers().Apply(proposer.Context{}, r.value, proposer.Operation{Kind: "share/take", Args: operation.Encode(args)})
	if result.Changed {
		r.value = result.Value
	}
	return grant, result.Failure == nil && json.Unmarshal(result.Body, &grant) == nil
}

// join lets the next sidecar join, at random times.
func (r *sharesRun) join(index int) {
	if n := len(r.shares); n < allNodes && index%(1+r.rng.IntN(40)) == 0 {
		share := &BudgetShare{}
		grant, ok := r.apply(quota.Args{Node: ident.Node(fmt.Sprint(n)), LeaseEpoch: 1})
		must.True(r.t, ok)
		share.Reset(r.now, grant)
		r.shares, r.usable = append(r.shares, share), append(r.usable, nil)
	}
}

// deliver delivers the messages that are due; a request may send its response.
func (r *sharesRun) deliver() {
	due := r.inTransit
	r.inTransit = nil
	for _, one := range due {
		if one.arrivesAt <= r.now {
			one.deliver()
		} else {
			r.inTransit = append(r.inTransit, one)
		}
	}
}

// ask lets a sidecar send the request that is due, if any: it is lost, or arrives once or twice.
func (r *sharesRun) ask(n int, share *BudgetShare) {
	if r.rng.IntN(3) == 0 {
		share.SetMemberCount(r.now, len(r.shares))
	}
	args, ok := share.NextRequest(r.now, ident.Node(fmt.Sprint(n)), 1)
	for copies := r.rng.IntN(3); ok && copies > 0; copies-- {
		arrivesAt := r.now.Add(time.Duration(r.rng.IntN(6000)) * time.Millisecond)
		r.inTransit = append(r.inTransit, message{arrivesAt, func() { r.answer(arrivesAt, share, args) }})
	}
}

// answer executes a request; one response in four is lost.
func (r *sharesRun) answer(arrivesAt monotime.Time, share *BudgetShare, args quota.Args) {
	if grant, ok := r.apply(args); ok && r.rng.IntN(4) > 0 {
		returnsAt := arrivesAt.Add(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
		r.inTransit = append(r.inTransit, message{returnsAt, func() { share.ApplyGrant(returnsAt, grant) }})
	}
}

// usableInWindow sums the most that each sidecar could use within the window that ends now.
func (r *sharesRun) usableInWindow() (sum int) {
	for n, share := range r.shares {
		r.usable[n] = append(r.usable[n], share.Usable())
		sum += slices.Max(r.usable[n][max(0, len(r.usable[n])-windowSteps):])
	}
	return sum
}

// Forty sidecars join one after the other; requests and responses are lost, late, doubled and out
// of order. What was usable within any window never sums to more than the total, and in the end
// every sidecar has its fair share.
func TestSharesMoveWithoutEverSummingOver(t *testing.T) {
	for seed := range uint64(40) {
		r := &sharesRun{t: t, rng: rand.New(rand.NewPCG(seed, 9))}
		for index := range stepCount {
			r.now = monotime.Time(index+10) * monotime.Time(step)
			r.join(index)
			r.deliver()
			for n, share := range r.shares {
				r.ask(n, share)
			}
			sum := r.usableInWindow()
			must.LessEq(t, quota.DefaultTotal, sum, must.Sprintf("seed %d: %d usable within one window", seed, sum))
		}
		must.Len(t, allNodes, r.shares)
		for n, share := range r.shares {
			must.Eq(t, quota.FairShare(quota.DefaultTotal, allNodes), share.Usable(), must.Sprintf("seed %d node %d", seed, n))
		}
	}
}
