package proposer_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// putMachine is a state machine that writes its args as the value; "read" changes nothing.
type putMachine struct{}

func (putMachine) Apply(_ proposer.Context, value json.RawMessage, operation proposer.Operation) proposer.Result {
	if operation.Kind == "read" || operation.Kind == proposer.Repair {
		return proposer.Result{Body: value}
	}
	return proposer.Result{Value: operation.Args, Changed: true, Body: operation.Args}
}

// cluster holds three acceptors and some proposers; the test delivers their messages.
type cluster struct {
	t          *testing.T
	membership quorum.Membership
	acceptors  map[ident.Disk]*acceptor.Acceptor
	proposers  map[string]*proposer.Proposer
	outcomes   map[string][]proposer.Outcome
	requests   []envelope
	now        monotime.Time
}

// envelope is a request in flight to a disk.
type envelope struct {
	from    string
	to      ident.Disk
	request quorum.Request
}

func newCluster(t *testing.T, proposers ...string) *cluster {
	c := &cluster{
		t:         t,
		acceptors: map[ident.Disk]*acceptor.Acceptor{},
		proposers: map[string]*proposer.Proposer{},
		outcomes:  map[string][]proposer.Outcome{},
		now:       monotime.Time(time.Second),
	}
	c.membership.Epoch = 1
	for _, d := range []ident.Disk{"d1", "d2", "d3"} {
		c.membership.Voters = append(c.membership.Voters, quorum.Voter{Disk: d, Counted: true})
		c.acceptors[d] = acceptor.New(d)
	}
	for _, name := range proposers {
		c.proposers[name] = proposer.New(name, putMachine{})
		c.proposers[name].SetMembership(c.now, c.membership)
	}
	return c
}

func (c *cluster) collect(name string, effects proposer.Effects) {
	for _, s := range effects.Sends {
		c.requests = append(c.requests, envelope{name, s.To.Disk, s.Request})
	}
	c.outcomes[name] = append(c.outcomes[name], effects.Outcomes...)
}

func (c *cluster) submit(name, kind, val string) {
	raw, _ := json.Marshal(val)
	c.collect(
		name,
		c.proposers[name].Submit(c.now, proposer.Operation{Op: ident.OperationID(name + kind + val), Key: "k", Kind: kind, Args: raw}),
	)
}

// deliver delivers request i and immediately delivers its response.
func (c *cluster) deliver(i int) {
	m := c.requests[i]
	c.requests = append(c.requests[:i:i], c.requests[i+1:]...)
	if r, _, responds := c.acceptors[m.to].Step(1, m.request); responds {
		c.collect(m.from, c.proposers[m.from].Step(c.now, r))
	}
}

// run delivers the requests for which keep returns true, all if keep is nil, and loses the others.
func (c *cluster) run(keep func(envelope) bool) {
	for len(c.requests) > 0 {
		if keep == nil || keep(c.requests[0]) {
			c.deliver(0)
			continue
		}
		c.requests = c.requests[1:]
	}
}

func (c *cluster) tick(name string, d time.Duration) {
	c.now = c.now.Add(d)
	c.collect(name, c.proposers[name].Tick(c.now))
}

func (c *cluster) last(name string) proposer.Outcome {
	must.SliceNotEmpty(c.t, c.outcomes[name])
	return c.outcomes[name][len(c.outcomes[name])-1]
}

// restart replaces a proposer by a new run of its process, which has no state of the earlier run.
func (c *cluster) restart(from, to string) {
	delete(c.proposers, from)
	c.proposers[to] = proposer.New(to, putMachine{})
	c.proposers[to].SetMembership(c.now, c.membership)
}
