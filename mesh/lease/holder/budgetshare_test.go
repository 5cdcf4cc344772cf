package holder

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// Forty sidecars join one after the other; questions and responses are lost, late,
// doubled and out of order. What was usable within any window never sums over sixty,
// and in the end everyone has its fair share.
func TestSharesMoveWithoutEverSummingOver(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		var value json.RawMessage
		mach := share.Handlers()
		do := func(a share.Args) (told share.Told, ok bool) {
			v := mach.Apply(proposer.Context{}, value, proposer.Operation{Kind: "share/take", Args: operation.Encode(a)})
			if v.Changed {
				value = v.Value
			}
			return told, v.Failure == nil && json.Unmarshal(v.Body, &told) == nil
		}
		type late struct {
			at monotime.Time
			do func()
		}
		var post []late
		parts := map[int]*BudgetShare{}
		peak := map[int][]int{} // what each could use, by tenth of a second
		const all = 40
		for tenth := 0; tenth < 3000; tenth++ {
			now := monotime.Time(tenth+10) * monotime.Time(100*time.Millisecond)
			if n := len(parts); n < all && tenth%(1+rng.IntN(40)) == 0 {
				p := &BudgetShare{}
				told, ok := do(share.Args{Node: ident.Node(fmt.Sprint(n)), Claim: 1})
				must.True(t, ok)
				p.Begin(now, told)
				parts[n] = p
			}
			list := post
			post = nil
			for _, l := range list {
				if l.at <= now {
					l.do() // may post its response
				} else {
					post = append(post, l)
				}
			}
			for i := range len(parts) {
				p := parts[i]
				if rng.IntN(3) == 0 {
					p.Members(now, len(parts))
				}
				a, ok := p.Ask(now, ident.Node(fmt.Sprint(i)), 1)
				for copies := rng.IntN(3); ok && copies > 0; copies-- { // lost, once or doubled
					at := now.Add(time.Duration(rng.IntN(6000)) * time.Millisecond)
					post = append(post, late{at, func() {
						if told, ok := do(a); ok && rng.IntN(4) > 0 {
							back := at.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
							post = append(post, late{back, func() { p.Granted(back, told) }})
						}
					}})
				}
			}
			sum := 0
			for i := range len(parts) {
				peak[i] = append(peak[i], parts[i].Usable())
				top := 0
				for _, u := range peak[i][max(0, len(peak[i])-100):] {
					top = max(top, u)
				}
				sum += top
			}
			must.LessEq(t, share.Total, sum, must.Sprintf("seed %d: %d usable within one window", seed, sum))
		}
		for i := range all {
			must.Eq(t, share.Fair(share.Total, all), parts[i].Usable(), must.Sprintf("seed %d node %d", seed, i))
		}
	}
}
