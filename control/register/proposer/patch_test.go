package proposer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// deliveries are what may happen to a request in flight.
var deliveries = []func(c *lossyCluster, i int){
	func(c *lossyCluster, i int) { c.deliverTo(i, true); c.lose(i) },
	func(c *lossyCluster, i int) { c.deliverTo(i, true) }, // and stays: it is delivered twice
	func(c *lossyCluster, i int) { c.lose(i) },
	func(c *lossyCluster, i int) { c.deliverTo(i, false); c.lose(i) },
}

const (
	// positions is how many of the requests in flight a step chooses from.
	positions = 2
	// choiceSteps is how many steps in a row are tried in every way.
	choiceSteps = 4
)

// choices is how many ways there are for one step: each delivery of each request, or the oldest
// or the newest response.
var choices = len(deliveries)*positions + 2

// take does one of the choices for a step.
func (c *lossyCluster) take(step, choice int) {
	switch {
	case choice >= len(deliveries)*positions:
		if n := len(c.responses); n > 0 {
			c.receive((choice - len(deliveries)*positions) * (n - 1))
		}
	case len(c.requests) > 0:
		deliveries[choice/positions](c, (choice%positions*2+step%2)%len(c.requests))
	}
}

// confirmed lists the operations whose change was confirmed to a client.
func (c *lossyCluster) confirmed() map[string]bool {
	confirmed := map[string]bool{}
	for _, name := range []string{"a", "b"} {
		for _, outcome := range c.outcomes[name] {
			if !outcome.Abandoned {
				confirmed[string(outcome.Operation.Op)] = true
			}
		}
	}
	return confirmed
}

// finalValue has b write once more, and returns the value after that.
func (c *lossyCluster) finalValue() string {
	// b may learn only now that its term was superseded.
	for n := 0; n == 0 || n < 5 && c.last("b").Abandoned; n++ {
		c.write("b", "seven")
		c.settleWithTicks()
	}
	last := c.last("b")
	must.False(c.t, last.Abandoned)
	return string(last.Body)
}

// Two proposers write a long value while requests and responses are lost, doubled, late and
// reordered, and disks lose what was not synced: no disk ever holds a value that was not its
// proposer's for that ballot and revision, no confirmed change is lost, and all end with the
// same bytes.
func TestPatchesInAllOrders(t *testing.T) {
	kinds, rejected := map[quorum.Kind]int{}, 0
	total := 1
	for range choiceSteps {
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
		for step := range choiceSteps {
			c.take(step, remaining%choices)
			remaining /= choices
			if step == 2 {
				c.write("a", "five")
			}
		}
		c.settleWithTicks()
		c.write("a", "six")
		c.settleWithTicks()
		confirmed := c.confirmed()
		end := c.finalValue()
		for value := range confirmed {
			must.StrContains(t, end, " "+value+"]", must.Sprint("order ", seed))
		}
		for disk := range c.acceptors {
			must.Eq(t, end, string(c.acceptors[disk].Peek("k").Value), must.Sprint("order ", seed, " ", disk))
		}
		rejected += c.rejected
		for kind, n := range c.kinds {
			kinds[kind] += n
		}
	}
	must.Greater(t, total, kinds[quorum.PatchAccept])
	must.Greater(t, 100, rejected)
}

// A disk that rejects a patch gets the whole value within the same round, and patches again from
// its next response on; a prepare of what all disks hold carries no value.
func TestRejectedPatchIsSentWhole(t *testing.T) {
	c := newLossyCluster(t)
	c.write("a", "one")
	c.settle()
	c.write("a", "two")
	c.settle()
	must.Eq(t, 2, c.kinds[quorum.PatchAccept])
	// d3 lost "three", and d2 does not respond: the round of "four" needs d3.
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
	// By patches again, but for d2, which rejects its patch.
	c.write("a", "five")
	c.settle()
	must.Eq(t, 2, c.rejected)
	before := c.kinds[quorum.Accept]
	c.write("a", "six")
	c.settle()
	must.Eq(t, before+1, c.kinds[quorum.Accept], must.Sprint("only its own disk gets it whole"))
	// b prepares the key: other disks get patches, and the responses carry no value.
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

// A process that takes no patches does not respond to one, and gets the whole value when the
// round is resent.
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
