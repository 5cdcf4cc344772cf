package proposer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// A confirming round asks only as many as it needs, near ones first, and the others when
// those are silent for a moment; over time every copy is asked. With any two of five silent
// it ends all the same.
func TestConfirmAsksFewAndThenAll(t *testing.T) {
	r := quorum.Membership{Epoch: 1}
	disks := []ident.Disk{"a", "b", "c", "d", "e"}
	for _, d := range disks {
		r.Voters = append(r.Voters, quorum.Voter{Disk: d, Addr: ident.Addr(d), Counted: true})
	}
	reps := map[ident.Disk]*acceptor.Acceptor{}
	for _, d := range disks {
		reps[d] = acceptor.New(d)
	}
	for x := range disks {
		for y := range x {
			now := monotime.Time(time.Second)
			o := New("m", echo{})
			var post []Send
			ends := 0
			asked := map[ident.Disk]int{}
			quiet := map[ident.Disk]bool{}
			take := func(fx Effects) {
				post, ends = append(post, fx.Sends...), ends+len(fx.Outcomes)
			}
			drain := func() {
				for len(post) > 0 {
					s := post[0]
					post = post[1:]
					if asked[s.To.Disk]++; quiet[s.To.Disk] {
						continue
					}
					if got, _, say := reps[s.To.Disk].Step(1, s.Request); say {
						take(o.Step(now, got))
					}
				}
			}
			take(o.SetMembership(now, r))
			o.SetNear(disks, 1)
			take(o.Submit(now, Operation{Key: ident.Key(fmt.Sprint("k", x, y)), Kind: "read"}))
			drain()
			must.Eq(t, 1, ends)
			over := map[ident.Disk]int{}
			for range 6 {
				clear(asked)
				take(o.Submit(now, Operation{Key: ident.Key(fmt.Sprint("k", x, y)), Kind: "read"}))
				drain()
				must.Eq(t, 3, len(asked))
				must.True(t, asked["a"] == 1 && asked["b"] == 1, must.Sprint("the near ones: ", asked))
				for d := range asked {
					over[d]++
				}
			}
			must.Eq(t, 5, len(over))
			quiet[disks[x]], quiet[disks[y]] = true, true
			ends = 0
			take(o.Submit(now, Operation{Key: ident.Key(fmt.Sprint("k", x, y)), Kind: "read"}))
			drain()
			for n := 0; ends == 0 && n < 4; n++ {
				now = now.Add(askAllAfter + time.Millisecond)
				take(o.Tick(now))
				drain()
			}
			must.Eq(t, 1, ends, must.Sprint(disks[x], disks[y], " silent"))
		}
	}
}

// echo is a machine that changes nothing.
type echo struct{}

func (echo) Apply(Context, json.RawMessage, Operation) Result { return Result{} }
