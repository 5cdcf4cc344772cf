package proposer_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// deliveries are the possible fates of a request in flight: delivered, delivered twice, lost, or
// delivered to a disk that loses the unsynced records.
var deliveries = []func(c *lossyCluster, i int){
	func(c *lossyCluster, i int) { c.deliverTo(i, true); c.drop(i) },
	func(c *lossyCluster, i int) { c.deliverTo(i, true) }, // stays in flight, so that it is delivered again
	func(c *lossyCluster, i int) { c.drop(i) },
	func(c *lossyCluster, i int) { c.deliverTo(i, false); c.drop(i) },
}

const (
	// positions is the number of requests in flight that a step chooses from.
	positions = 2
	// choiceSteps is the number of consecutive steps whose choices are enumerated exhaustively.
	choiceSteps = 4
)

// choices is the number of choices for one step: each of deliveries for each request position, or
// receiving the oldest or the newest response.
var choices = len(deliveries)*positions + 2

// applyChoice performs one of the choices for a step.
func (c *lossyCluster) applyChoice(step, choice int) {
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

// finalValue has b write once more and returns the resulting value.
func (c *lossyCluster) finalValue() string {
	// b may learn only by this write that its term was superseded.
	for n := 0; n == 0 || n < 5 && c.last("b").Abandoned; n++ {
		c.write("b", "seven")
		c.deliverAllWithTicks()
	}
	last := c.last("b")
	must.False(c.t, last.Abandoned)
	return string(last.Body)
}

// Two proposers write a long value while requests and responses are lost, duplicated, delayed and
// reordered, and disks lose unsynced records. No disk ever holds a value other than the one that
// the proposer sent for that ballot and revision, no confirmed change is lost, and all disks end
// with the same bytes.
func TestPatchesUnderAllDeliveryOrders(t *testing.T) {
	kinds, rejected := map[quorum.Kind]int{}, 0
	total := 1
	for range choiceSteps {
		total *= choices
	}
	for seed := range total {
		c := newLossyCluster(t)
		c.write("a", "one")
		c.deliverAll()
		c.write("a", "two")
		c.deliverAll()
		c.write("a", "three")
		if seed%3 > 0 {
			c.write("b", "four")
		}
		remaining := seed
		for step := range choiceSteps {
			c.applyChoice(step, remaining%choices)
			remaining /= choices
			if step == 2 {
				c.write("a", "five")
			}
		}
		c.deliverAllWithTicks()
		c.write("a", "six")
		c.deliverAllWithTicks()
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

// A disk that rejects a patch gets the whole value within the same round, and patches again after
// its next response. The responses to a prepare carry no value when all disks hold the state that
// the request names as held.
func TestWholeValueIsSentAfterRejectedPatch(t *testing.T) {
	c := newLossyCluster(t)
	c.write("a", "one")
	c.deliverAll()
	c.write("a", "two")
	c.deliverAll()
	must.Eq(t, 2, c.kinds[quorum.PatchAccept])
	// d3 missed "three" and d2 does not respond to "four", so the round of "four" needs d3.
	c.write("a", "three")
	for len(c.requests) > 0 {
		if c.requests[0].to != "d3" {
			c.deliverTo(0, true)
		}
		c.drop(0)
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
		c.drop(0)
	}
	must.Eq(t, 1, c.rejected)
	must.StrContains(t, string(c.last("a").Body), "four]")
	must.Eq(t, began, c.now)
	c.checkDisk("d3")
	must.Eq(t, ident.Revision(4), c.acceptors["d3"].Peek("k").Revision)
	// "five" is sent as patches again; d2 rejects its patch, as it missed "four".
	c.write("a", "five")
	c.deliverAll()
	must.Eq(t, 2, c.rejected)
	before := c.kinds[quorum.Accept]
	c.write("a", "six")
	c.deliverAll()
	must.Eq(t, before+1, c.kinds[quorum.Accept], must.Sprint("only the proposer's own disk gets the whole value"))
	// b prepares the key: other disks get patches, and the responses carry no value.
	c.write("b", "seven")
	for len(c.requests)+len(c.responses) > 0 {
		if len(c.responses) > 0 {
			must.Eq(t, 0, len(c.responses[0].response.Record.Value))
			c.receive(0)
			continue
		}
		c.deliverTo(0, true)
		c.drop(0)
	}
	must.False(t, c.last("b").Abandoned)
	must.Eq(t, ident.Revision(7), c.last("b").Revision)
}

// A process that does not accept patches does not respond to a patch, and gets the whole value when
// the round is resent.
func TestWholeValueIsSentAfterUnansweredPatch(t *testing.T) {
	c := newLossyCluster(t)
	c.write("a", "one")
	c.deliverAll()
	c.write("a", "two")
	deliverWithoutPatches := func() {
		for len(c.requests)+len(c.responses) > 0 {
			switch {
			case len(c.responses) > 0:
				c.receive(0)
				continue
			case c.requests[0].request.Kind != quorum.PatchAccept:
				c.deliverTo(0, true)
			}
			c.drop(0)
		}
	}
	deliverWithoutPatches()
	must.Len(t, 1, c.outcomes["a"])
	c.advance(200 * time.Millisecond)
	deliverWithoutPatches()
	must.Len(t, 2, c.outcomes["a"])
	must.False(t, c.last("a").Abandoned)
	for _, d := range []ident.Disk{"d2", "d3"} {
		c.proposers["a"].SetPatchCapable(d, false)
	}
	n := c.kinds[quorum.PatchAccept]
	c.write("a", "three")
	c.deliverAll()
	must.Eq(t, n, c.kinds[quorum.PatchAccept])
}
