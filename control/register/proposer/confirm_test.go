package proposer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// A confirming round asks only as many disks as it needs, near ones first, and the others after
// askAllAfter; over time every copy is asked. With any two of five silent it still ends.
func TestConfirmAsksFewAndThenAll(t *testing.T) {
	membership := quorum.Membership{Epoch: 1}
	disks := []ident.Disk{"a", "b", "c", "d", "e"}
	for _, d := range disks {
		membership.Voters = append(membership.Voters, quorum.Voter{Disk: d, Addr: ident.Addr(d), Counted: true})
	}
	acceptors := map[ident.Disk]*acceptor.Acceptor{}
	for _, d := range disks {
		acceptors[d] = acceptor.New(d)
	}
	for x := range disks {
		for y := range x {
			now := monotime.Time(time.Second)
			proposer := New("m", echoMachine{})
			var inFlight []Send
			ended := 0
			asked := map[ident.Disk]int{}
			silent := map[ident.Disk]bool{}
			collect := func(effects Effects) {
				inFlight, ended = append(inFlight, effects.Sends...), ended+len(effects.Outcomes)
			}
			drain := func() {
				for len(inFlight) > 0 {
					s := inFlight[0]
					inFlight = inFlight[1:]
					if asked[s.To.Disk]++; silent[s.To.Disk] {
						continue
					}
					if got, _, answers := acceptors[s.To.Disk].Step(1, s.Request); answers {
						collect(proposer.Step(now, got))
					}
				}
			}
			collect(proposer.SetMembership(now, membership))
			proposer.SetNearReplicas(disks, 1)
			collect(proposer.Submit(now, Operation{Key: ident.Key(fmt.Sprint("k", x, y)), Kind: "read"}))
			drain()
			must.Eq(t, 1, ended)
			timesAsked := map[ident.Disk]int{}
			for range 6 {
				clear(asked)
				collect(proposer.Submit(now, Operation{Key: ident.Key(fmt.Sprint("k", x, y)), Kind: "read"}))
				drain()
				must.Eq(t, 3, len(asked))
				must.True(t, asked["a"] == 1 && asked["b"] == 1, must.Sprint("the near ones: ", asked))
				for d := range asked {
					timesAsked[d]++
				}
			}
			must.Eq(t, 5, len(timesAsked))
			silent[disks[x]], silent[disks[y]] = true, true
			ended = 0
			collect(proposer.Submit(now, Operation{Key: ident.Key(fmt.Sprint("k", x, y)), Kind: "read"}))
			drain()
			for n := 0; ended == 0 && n < 4; n++ {
				now = now.Add(askAllAfter + time.Millisecond)
				collect(proposer.Tick(now))
				drain()
			}
			must.Eq(t, 1, ended, must.Sprint(disks[x], disks[y], " silent"))
		}
	}
}

// echoMachine is a state machine that changes nothing.
type echoMachine struct{}

func (echoMachine) Apply(Context, json.RawMessage, Operation) Result { return Result{} }
