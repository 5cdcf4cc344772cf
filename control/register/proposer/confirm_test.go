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

// confirmCluster holds one proposer and five acceptors, some of which may be silent.
type confirmCluster struct {
	proposer        *Proposer
	key             ident.Key
	acceptors       map[ident.Disk]*acceptor.Acceptor
	silent          map[ident.Disk]bool
	now             monotime.Time
	inFlight        []Send
	endedOperations int                // operations
	requestCounts   map[ident.Disk]int // requests
}

func (c *confirmCluster) collect(effects Effects) {
	c.inFlight = append(c.inFlight, effects.Sends...)
	c.endedOperations += len(effects.Outcomes)
}

// deliverAll delivers every request and immediately delivers its response.
func (c *confirmCluster) deliverAll() {
	for len(c.inFlight) > 0 {
		send := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		if c.requestCounts[send.To.Disk]++; c.silent[send.To.Disk] {
			continue
		}
		if response, _, responds := c.acceptors[send.To.Disk].Step(1, send.Request); responds {
			c.collect(c.proposer.Step(c.now, response))
		}
	}
}

// read submits a read and delivers its requests.
func (c *confirmCluster) read() {
	c.endedOperations = 0
	clear(c.requestCounts)
	c.collect(c.proposer.Submit(c.now, Operation{Key: c.key, Kind: "read"}))
	c.deliverAll()
}

// A confirming round asks only as many disks as a majority needs, near ones first, and all others
// after askAllAfter. Over time every disk is asked. A round also ends with any two of five disks
// silent.
func TestConfirmAsksSubsetThenAll(t *testing.T) {
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
				silent: map[ident.Disk]bool{}, now: monotime.Time(time.Second), requestCounts: map[ident.Disk]int{}}
			c.collect(c.proposer.SetMembership(c.now, membership))
			c.proposer.SetNearReplicas(disks, 1)
			c.read()
			must.Eq(t, 1, c.endedOperations)
			timesAsked := map[ident.Disk]int{}
			for range 6 {
				c.read()
				must.Eq(t, 3, len(c.requestCounts))
				must.True(t, c.requestCounts["a"] == 1 && c.requestCounts["b"] == 1, must.Sprint("requests to the near disks: ", c.requestCounts))
				for disk := range c.requestCounts {
					timesAsked[disk]++
				}
			}
			must.Eq(t, 5, len(timesAsked))
			c.silent[disks[x]], c.silent[disks[y]] = true, true
			c.read()
			for n := 0; c.endedOperations == 0 && n < 4; n++ {
				c.now = c.now.Add(askAllAfter + time.Millisecond)
				c.collect(c.proposer.Tick(c.now))
				c.deliverAll()
			}
			must.Eq(t, 1, c.endedOperations, must.Sprint(disks[x], disks[y], " silent"))
		}
	}
}

// echoMachine is a state machine that changes nothing.
type echoMachine struct{}

func (echoMachine) Apply(Context, json.RawMessage, Operation) Result { return Result{} }
