package holder

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/register/proposer"
)

// Forty sidecars join one after the other; questions and responses are lost, late,
// doubled and out of order. What was usable within any window never sums over sixty,
// and in the end everyone has its fair share.
func TestSharesMoveWithoutEverSummingOver(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var value json.RawMessage
		handlers := quota.Handlers()
		apply := func(a quota.Args) (grant quota.Share, ok bool) {
			v := handlers.Apply(proposer.Context{}, value, proposer.Operation{Kind: "share/take", Args: operation.Encode(a)})
			if v.Changed {
				value = v.Value
			}
			return grant, v.Failure == nil && json.Unmarshal(v.Body, &grant) == nil
		}
		type late struct {
			arrivesAt monotime.Time
			apply     func()
		}
		var inTransit []late
		shares := map[int]*BudgetShare{}
		peak := map[int][]int{} // what each could use, by tenth of a second
		const nodes = 40
		for tenth := 0; tenth < 3000; tenth++ {
			now := monotime.Time(tenth+10) * monotime.Time(100*time.Millisecond)
			if n := len(shares); n < nodes && tenth%(1+rng.IntN(40)) == 0 {
				budget := &BudgetShare{}
				grant, ok := apply(quota.Args{Node: ident.Node(fmt.Sprint(n)), LeaseEpoch: 1})
				must.True(t, ok)
				budget.Start(now, grant)
				shares[n] = budget
			}
			due := inTransit
			inTransit = nil
			for _, message := range due {
				if message.arrivesAt <= now {
					message.apply() // may post its response
				} else {
					inTransit = append(inTransit, message)
				}
			}
			for i := range len(shares) {
				budget := shares[i]
				if rng.IntN(3) == 0 {
					budget.SetMembers(now, len(shares))
				}
				a, ok := budget.NextRequest(now, ident.Node(fmt.Sprint(i)), 1)
				for copies := rng.IntN(3); ok && copies > 0; copies-- { // lost, once or doubled
					arrivesAt := now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
					inTransit = append(inTransit, late{arrivesAt, func() {
						if grant, ok := apply(a); ok && rng.IntN(4) > 0 {
							returnsAt := arrivesAt.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
							inTransit = append(inTransit, late{returnsAt, func() { budget.ApplyGrant(returnsAt, grant) }})
						}
					}})
				}
			}
			sum := 0
			for i := range len(shares) {
				peak[i] = append(peak[i], shares[i].Usable())
				top := 0
				for _, u := range peak[i][max(0, len(peak[i])-100):] {
					top = max(top, u)
				}
				sum += top
			}
			must.LessEq(t, quota.DefaultTotal, sum, must.Sprintf("seed %d: %d usable within one window", seed, sum))
		}
		for i := range nodes {
			must.Eq(t, quota.FairShare(quota.DefaultTotal, nodes), shares[i].Usable(), must.Sprintf("seed %d node %d", seed, i))
		}
	}
}
