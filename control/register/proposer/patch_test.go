package proposer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// fill is a machine that writes its args into the first free place of a long value. The
// length never changes, so that a change that is left out does not show in it.
type fillMachine struct{}

const freeSlot = "........"

func (fillMachine) Apply(_ proposer.Context, value json.RawMessage, operation proposer.Operation) proposer.Result {
	if operation.Kind != "write" {
		return proposer.Result{Body: value}
	}
	if len(value) == 0 {
		value = json.RawMessage(`"` + strings.Repeat("long ", 100) + strings.Repeat(freeSlot, 20) + `"`)
	}
	var s string
	_ = json.Unmarshal(operation.Args, &s)
	out := json.RawMessage(strings.Replace(string(value), freeSlot, fmt.Sprintf("[%6s]", s), 1))
	return proposer.Result{Value: out, Changed: true, Body: out}
}

type writeID struct {
	ballot   ident.Ballot
	revision ident.Revision
}

// lanes is a bench whose requests and responses lie in the test's hand one by one, with disks
// that come back as they were last synced. Every proposer's own disk gets no patches.
// Invariant held after each step: what a disk holds under a ballot and revision is, to the
// byte, what that ballot's proposer sent whole.
type lossyCluster struct {
	*cluster
	sent      map[writeID]string
	synced    map[ident.Disk]map[string]ring.Record
	responses []delivery
	kinds     map[quorum.Kind]int
	rejected  int
}

type delivery struct {
	to       string
	response quorum.Response
}

var localDisk = map[string]ident.Disk{"a": "d1", "b": "d2"}

func newLossyCluster(t *testing.T) *lossyCluster {
	c := &lossyCluster{cluster: newCluster(t), sent: map[writeID]string{}, synced: map[ident.Disk]map[string]ring.Record{}, kinds: map[quorum.Kind]int{}}
	for _, name := range []string{"a", "b"} {
		c.proposers[name] = proposer.New(name, fillMachine{})
		c.proposers[name].SetMembership(c.now, c.membership)
		c.proposers[name].Local = func(k ident.Key) quorum.Record { return c.acceptors[localDisk[name]].Peek(k) }
		for _, v := range c.membership.Voters {
			c.proposers[name].SetPatchCapable(v.Disk, v.Disk != localDisk[name])
		}
	}
	for d := range c.acceptors {
		c.synced[d] = map[string]ring.Record{}
	}
	return c
}

// note takes a proposer's effects and remembers what it sends whole.
func (c *lossyCluster) observe(name string, effects proposer.Effects) {
	for _, s := range effects.Sends {
		c.kinds[s.Request.Kind]++
		if s.Request.Kind != quorum.Accept {
			continue
		}
		k := writeID{s.Request.Ballot, s.Request.Revision}
		old, twice := c.sent[k]
		must.False(c.t, twice && old != string(s.Request.Value), must.Sprint("two values under one ballot and revision"))
		c.sent[k] = string(s.Request.Value)
	}
	c.collect(name, effects)
}

func (c *lossyCluster) write(name, val string) {
	raw, _ := json.Marshal(val)
	c.observe(name, c.proposers[name].Submit(c.now, proposer.Operation{Op: ident.OperationID(val), Key: "k", Kind: "write", Args: raw}))
}

// give lets a disk take request i, and then what was synced is so or lost.
func (c *lossyCluster) deliverTo(i int, sync bool) {
	m := c.requests[i]
	r, records, answers := c.acceptors[m.to].Step(1, m.request)
	c.check(m.to)
	if !sync {
		c.acceptors[m.to] = acceptor.New(m.to)
		for _, rec := range c.synced[m.to] {
			_, err := c.acceptors[m.to].Load(rec)
			must.NoError(c.t, err)
		}
		c.check(m.to)
		return
	}
	for _, rec := range records {
		c.synced[m.to][rec.Key] = rec
	}
	if m.request.Kind == quorum.PatchAccept && !r.OK {
		c.rejected++
	}
	if answers {
		c.responses = append(c.responses, delivery{m.from, r})
	}
}

func (c *lossyCluster) check(disk ident.Disk) {
	record := c.acceptors[disk].Peek("k")
	if record.Accepted.Zero() {
		return
	}
	want, ok := c.sent[writeID{record.Accepted, record.Revision}]
	must.True(c.t, ok, must.Sprint("nobody sent what it holds"))
	must.Eq(c.t, want, string(record.Value))
}

func (c *lossyCluster) receive(i int) {
	delivered := c.responses[i]
	c.responses = append(c.responses[:i:i], c.responses[i+1:]...)
	c.observe(delivered.to, c.proposers[delivered.to].Step(c.now, delivered.response))
}

func (c *lossyCluster) lose(i int) { c.requests = append(c.requests[:i:i], c.requests[i+1:]...) }

func (c *lossyCluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, name := range []string{"a", "b"} {
		c.observe(name, c.proposers[name].Tick(c.now))
	}
}

// settle delivers everything, in order.
func (c *lossyCluster) settle() {
	for len(c.requests)+len(c.responses) > 0 {
		if len(c.responses) > 0 {
			c.receive(0)
			continue
		}
		c.deliverTo(0, true)
		c.lose(0)
	}
}

// settleWithTicks delivers everything until all that was out is over.
func (c *lossyCluster) settleWithTicks() {
	for range 6 {
		c.settle()
		c.advance(250 * time.Millisecond)
	}
}

// Two proposers write a long value in turn while requests and responses are lost, doubled, late and
// in any order, and disks fall back to what they had synced: no disk ever holds a value
// that was not its proposer's for that ballot and revision, no confirmed change is lost, and
// all end with the same bytes.
func TestPatchesInAllOrders(t *testing.T) {
	kinds, refused := map[quorum.Kind]int{}, 0
	// What happens to the next message that is looked at: its place among those that are
	// out, and its lot. Four in a row are tried in every way, then all is delivered.
	deliveries := []func(c *lossyCluster, i int){
		func(c *lossyCluster, i int) { c.deliverTo(i, true); c.lose(i) },
		func(c *lossyCluster, i int) { c.deliverTo(i, true) }, // it comes again
		func(c *lossyCluster, i int) { c.lose(i) },
		func(c *lossyCluster, i int) { c.deliverTo(i, false); c.lose(i) },
	}
	const positions = 2
	choices := len(deliveries)*positions + 2
	total := 1
	for range 4 {
		total *= choices
	}
	for seed := range total {
		c := newLossyCluster(t)
		c.write("a", "one")
		c.settle()
		c.write("a", "two")
		c.settle()
		c.write("a", "three")
		if seed%3 > 0 {
			c.write("b", "four")
		}
		remaining := seed
		for step := range 4 {
			choice := remaining % choices
			remaining /= choices
			switch {
			case choice >= len(deliveries)*positions:
				if n := len(c.responses); n > 0 {
					c.receive((choice - len(deliveries)*positions) * (n - 1))
				}
			case len(c.requests) > 0:
				deliveries[choice/positions](c, (choice%positions*2+step%2)%len(c.requests))
			}
			if step == 2 {
				c.write("a", "five")
			}
		}
		c.settleWithTicks()
		c.write("a", "six")
		c.settleWithTicks()
		chosen := map[string]bool{}
		for _, name := range []string{"a", "b"} {
			for _, outcome := range c.outcomes[name] {
				if !outcome.Abandoned {
					chosen[string(outcome.Operation.Op)] = true
				}
			}
		}
		// b may learn only now that it was deposed.
		for n := 0; n == 0 || n < 5 && c.last("b").Abandoned; n++ {
			c.write("b", "seven")
			c.settleWithTicks()
		}
		last := c.last("b")
		must.False(t, last.Abandoned)
		end := string(last.Body)
		for val := range chosen {
			must.StrContains(t, end, " "+val+"]", must.Sprint("order ", seed))
		}
		for d := range c.acceptors {
			must.Eq(t, end, string(c.acceptors[d].Peek("k").Value), must.Sprint("order ", seed, " ", d))
		}
		refused += c.rejected
		for k, n := range c.kinds {
			kinds[k] += n
		}
	}
	must.Greater(t, total, kinds[quorum.PatchAccept])
	must.Greater(t, 100, refused)
}

// A disk that rejects a patch gets the whole value within the same round, and patches
// again from its next response on; a takeover of what all hold moves no value.
func TestRejectedPatchIsSentWhole(t *testing.T) {
	c := newLossyCluster(t)
	c.write("a", "one")
	c.settle()
	c.write("a", "two")
	c.settle()
	must.Eq(t, 2, c.kinds[quorum.PatchAccept])
	// d3 lost "three", and d2 is away: the round of "four" needs d3.
	c.write("a", "three")
	for len(c.requests) > 0 {
		if c.requests[0].to != "d3" {
			c.deliverTo(0, true)
		}
		c.lose(0)
	}
	for len(c.responses) > 0 {
		c.receive(0)
	}
	must.False(t, c.last("a").Abandoned)
	c.write("a", "four")
	began := c.now
	for len(c.requests)+len(c.responses) > 0 {
		switch {
		case len(c.responses) > 0:
			c.receive(0)
			continue
		case c.requests[0].to != "d2":
			c.deliverTo(0, true)
		}
		c.lose(0)
	}
	must.Eq(t, 1, c.rejected)
	must.StrContains(t, string(c.last("a").Body), "four]")
	must.Eq(t, began, c.now)
	c.check("d3")
	must.Eq(t, ident.Revision(4), c.acceptors["d3"].Peek("k").Revision)
	// Again by patches, but for d2, which lost its own and says so.
	c.write("a", "five")
	c.settle()
	must.Eq(t, 2, c.rejected)
	before := c.kinds[quorum.Accept]
	c.write("a", "six")
	c.settle()
	must.Eq(t, before+1, c.kinds[quorum.Accept], must.Sprint("only its own disk gets it whole"))
	// b takes over: what goes to others is patches, and the responses carry nothing.
	c.write("b", "seven")
	for len(c.requests)+len(c.responses) > 0 {
		if len(c.responses) > 0 {
			must.Eq(t, 0, len(c.responses[0].response.Record.Value))
			c.receive(0)
			continue
		}
		c.deliverTo(0, true)
		c.lose(0)
	}
	must.False(t, c.last("b").Abandoned)
	must.Eq(t, ident.Revision(7), c.last("b").Revision)
}

// A process that knows no patches says nothing to one, and gets the whole value when the
// round is asked again.
func TestSilenceGetsTheWholeValue(t *testing.T) {
	c := newLossyCluster(t)
	c.write("a", "one")
	c.settle()
	c.write("a", "two")
	old := func() {
		for len(c.requests)+len(c.responses) > 0 {
			switch {
			case len(c.responses) > 0:
				c.receive(0)
				continue
			case c.requests[0].request.Kind != quorum.PatchAccept:
				c.deliverTo(0, true)
			}
			c.lose(0)
		}
	}
	old()
	must.Len(t, 1, c.outcomes["a"])
	c.advance(200 * time.Millisecond)
	old()
	must.Len(t, 2, c.outcomes["a"])
	must.False(t, c.last("a").Abandoned)
	for _, d := range []ident.Disk{"d2", "d3"} {
		c.proposers["a"].SetPatchCapable(d, false)
	}
	n := c.kinds[quorum.PatchAccept]
	c.write("a", "three")
	c.settle()
	must.Eq(t, n, c.kinds[quorum.PatchAccept])
}
