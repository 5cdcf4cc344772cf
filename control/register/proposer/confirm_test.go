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

// confirmCluster is one proposer and five acceptors, some of which may be silent.
type confirmCluster struct {
	proposer  *Proposer
	key       ident.Key
	acceptors map[ident.Disk]*acceptor.Acceptor
	silent    map[ident.Disk]bool
	now       monotime.Time
	inFlight  []Send
	ended     int                // operations
	asked     map[ident.Disk]int // requests
}

func (c *confirmCluster) collect(effects Effects) {
	c.inFlight = append(c.inFlight, effects.Sends...)
	c.ended += len(effects.Outcomes)
}

// deliverAll delivers every request, and each response at once.
func (c *confirmCluster) deliverAll() {
	for len(c.inFlight) > 0 {
		send := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		if c.asked[send.To.Disk]++; c.silent[send.To.Disk] {
			continue
		}
		if response, _, answers := c.acceptors[send.To.Disk].Step(1, send.Request); answers {
			c.collect(c.proposer.Step(c.now, response))
		}
	}
}

// read submits a read and delivers its requests.
func (c *confirmCluster) read() {
	c.ended = 0
	clear(c.asked)
	c.collect(c.proposer.Submit(c.now, Operation{Key: c.key, Kind: "read"}))
	c.deliverAll()
}

// A confirming round asks only as many disks as it needs, near ones first, and the others after
// askAllAfter; over time every copy is asked. With any two of five silent it still ends.
func TestConfirmAsksFewAndThenAll(t *testing.T) {
	membership := quorum.Membership{Epoch: 1}
	disks := []ident.Disk{"a", "b", "c", "d", "e"}
	acceptors := map[ident.Disk]*acceptor.Acceptor{}
	for _, disk := range disks {
		membership.Voters = append(membership.Voters, quorum.Voter{Disk: disk, Addr: ident.Addr(disk), Counted: true})
		acceptors[disk] = acceptor.New(disk)
	}
	for x := range disks {
		for y := range x {
			c := &confirmCluster{proposer: New("m", echoMachine{}), key: ident.Key(fmt.Sprint("k", x, y)), acceptors: acceptors,
				silent: map[ident.Disk]bool{}, now: monotime.Time(time.Second), asked: map[ident.Disk]int{}}
			c.collect(c.proposer.SetMembership(c.now, membership))
			c.proposer.SetNearReplicas(disks, 1)
			c.read()
			must.Eq(t, 1, c.ended)
			timesAsked := map[ident.Disk]int{}
			for range 6 {
				c.read()
				must.Eq(t, 3, len(c.asked))
				must.True(t, c.asked["a"] == 1 && c.asked["b"] == 1, must.Sprint("the near ones: ", c.asked))
				for disk := range c.asked {
					timesAsked[disk]++
				}
			}
			must.Eq(t, 5, len(timesAsked))
			c.silent[disks[x]], c.silent[disks[y]] = true, true
			c.read()
			for n := 0; c.ended == 0 && n < 4; n++ {
				c.now = c.now.Add(askAllAfter + time.Millisecond)
				c.collect(c.proposer.Tick(c.now))
				c.deliverAll()
			}
			must.Eq(t, 1, c.ended, must.Sprint(disks[x], disks[y], " silent"))
		}
	}
}

// echoMachine is a state machine that changes nothing.
type echoMachine struct{}

func (echoMachine) Apply(Context, json.RawMessage, Operation) Result { return Result{} }
