package proposer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/storage/ring"
)

// fill is a machine that writes its args into the first free place of a long value. The
// length never changes, so that a change that is left out does not show in it.
type fillMachine struct{}

const free = "........"

func (fillMachine) Apply(_ proposer.Context, value json.RawMessage, d proposer.Operation) proposer.Result {
	if d.Kind != "write" {
		return proposer.Result{Body: value}
	}
	if len(value) == 0 {
		value = json.RawMessage(`"` + strings.Repeat("long ", 100) + strings.Repeat(free, 20) + `"`)
	}
	var s string
	_ = json.Unmarshal(d.Args, &s)
	out := json.RawMessage(strings.Replace(string(value), free, fmt.Sprintf("[%6s]", s), 1))
	return proposer.Result{Value: out, Changed: true, Body: out}
}

type state struct {
	by  ident.Ballot
	rev ident.Revision
}

// lanes is a bench whose requests and responses lie in the test's hand one by one, with disks
// that come back as they were last synced. Every proposer's own disk gets no patches.
// Invariant held after each step: what a disk holds under a ballot and revision is, to the
// byte, what that ballot's proposer sent whole.
type lossyBench struct {
	*bench
	sent      map[state]string
	synced    map[ident.Disk]map[string]ring.Record
	responses []reply
	kinds     map[quorum.Kind]int
	rejected  int
}

type reply struct {
	to string
	r  quorum.Response
}

var localDisks = map[string]ident.Disk{"a": "d1", "b": "d2"}

func newLanes(t *testing.T) *lossyBench {
	x := &lossyBench{bench: newBench(t), sent: map[state]string{}, synced: map[ident.Disk]map[string]ring.Record{}, kinds: map[quorum.Kind]int{}}
	for _, o := range []string{"a", "b"} {
		x.proposers[o] = proposer.New(o, fillMachine{})
		x.proposers[o].SetMembership(x.now, x.membership)
		x.proposers[o].Local = func(k ident.Key) quorum.Record { return x.acceptors[localDisks[o]].Peek(k) }
		for _, v := range x.membership.Voters {
			x.proposers[o].SetPatchCapable(v.Disk, v.Disk != localDisks[o])
		}
	}
	for d := range x.acceptors {
		x.synced[d] = map[string]ring.Record{}
	}
	return x
}

// note takes a proposer's effects and remembers what it sends whole.
func (x *lossyBench) observe(o string, fx proposer.Effects) {
	for _, s := range fx.Sends {
		x.kinds[s.Request.Kind]++
		if s.Request.Kind != quorum.Accept {
			continue
		}
		k := state{s.Request.Ballot, s.Request.Revision}
		old, twice := x.sent[k]
		must.False(x.t, twice && old != string(s.Request.Value), must.Sprint("two values under one ballot and revision"))
		x.sent[k] = string(s.Request.Value)
	}
	x.collect(o, fx)
}

func (x *lossyBench) write(o, val string) {
	raw, _ := json.Marshal(val)
	x.observe(o, x.proposers[o].Submit(x.now, proposer.Operation{Op: ident.Op(val), Key: "k", Kind: "write", Args: raw}))
}

// give lets a disk take request i, and then what was synced is so or lost.
func (x *lossyBench) deliverTo(i int, sync bool) {
	m := x.requests[i]
	r, recs, say := x.acceptors[m.to].Step(1, m.request)
	x.check(m.to)
	if !sync {
		x.acceptors[m.to] = acceptor.New(m.to)
		for _, rec := range x.synced[m.to] {
			_, err := x.acceptors[m.to].Load(rec)
			must.NoError(x.t, err)
		}
		x.check(m.to)
		return
	}
	for _, rec := range recs {
		x.synced[m.to][rec.Tag] = rec
	}
	if m.request.Kind == quorum.PatchAccept && !r.OK {
		x.rejected++
	}
	if say {
		x.responses = append(x.responses, reply{m.from, r})
	}
}

func (x *lossyBench) check(d ident.Disk) {
	c := x.acceptors[d].Peek("k")
	if c.Accepted.Zero() {
		return
	}
	want, ok := x.sent[state{c.Accepted, c.Revision}]
	must.True(x.t, ok, must.Sprint("nobody sent what it holds"))
	must.Eq(x.t, want, string(c.Value))
}

func (x *lossyBench) receive(i int) {
	b := x.responses[i]
	x.responses = append(x.responses[:i:i], x.responses[i+1:]...)
	x.observe(b.to, x.proposers[b.to].Step(x.now, b.r))
}

func (x *lossyBench) lose(i int) { x.requests = append(x.requests[:i:i], x.requests[i+1:]...) }

func (x *lossyBench) advance(d time.Duration) {
	x.now = x.now.Add(d)
	for _, o := range []string{"a", "b"} {
		x.observe(o, x.proposers[o].Tick(x.now))
	}
}

// settle delivers everything, in order.
func (x *lossyBench) settle() {
	for len(x.requests)+len(x.responses) > 0 {
		if len(x.responses) > 0 {
			x.receive(0)
			continue
		}
		x.deliverTo(0, true)
		x.lose(0)
	}
}

// calm delivers everything until all that was out is over.
func (x *lossyBench) calm() {
	for range 6 {
		x.settle()
		x.advance(250 * time.Millisecond)
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
	lots := []func(x *lossyBench, i int){
		func(x *lossyBench, i int) { x.deliverTo(i, true); x.lose(i) },
		func(x *lossyBench, i int) { x.deliverTo(i, true) }, // it comes again
		func(x *lossyBench, i int) { x.lose(i) },
		func(x *lossyBench, i int) { x.deliverTo(i, false); x.lose(i) },
	}
	const places = 2
	ways := len(lots)*places + 2
	total := 1
	for range 4 {
		total *= ways
	}
	for seed := range total {
		x := newLanes(t)
		x.write("a", "one")
		x.settle()
		x.write("a", "two")
		x.settle()
		x.write("a", "three")
		if seed%3 > 0 {
			x.write("b", "four")
		}
		pick := seed
		for step := range 4 {
			way := pick % ways
			pick /= ways
			switch {
			case way >= len(lots)*places:
				if n := len(x.responses); n > 0 {
					x.receive((way - len(lots)*places) * (n - 1))
				}
			case len(x.requests) > 0:
				lots[way/places](x, (way%places*2+step%2)%len(x.requests))
			}
			if step == 2 {
				x.write("a", "five")
			}
		}
		x.calm()
		x.write("a", "six")
		x.calm()
		chosen := map[string]bool{}
		for _, o := range []string{"a", "b"} {
			for _, e := range x.ends[o] {
				if !e.Abandoned {
					chosen[string(e.Operation.Op)] = true
				}
			}
		}
		// b may learn only now that it was deposed.
		for n := 0; n == 0 || n < 5 && x.last("b").Abandoned; n++ {
			x.write("b", "seven")
			x.calm()
		}
		last := x.last("b")
		must.False(t, last.Abandoned)
		end := string(last.Body)
		for val := range chosen {
			must.StrContains(t, end, " "+val+"]", must.Sprint("order ", seed))
		}
		for d := range x.acceptors {
			must.Eq(t, end, string(x.acceptors[d].Peek("k").Value), must.Sprint("order ", seed, " ", d))
		}
		refused += x.rejected
		for k, n := range x.kinds {
			kinds[k] += n
		}
	}
	must.Greater(t, total, kinds[quorum.PatchAccept])
	must.Greater(t, 100, refused)
}

// A disk that rejects a patch gets the whole value within the same round, and patches
// again from its next response on; a takeover of what all hold moves no value.
func TestRejectedPatchIsSentWhole(t *testing.T) {
	x := newLanes(t)
	x.write("a", "one")
	x.settle()
	x.write("a", "two")
	x.settle()
	must.Eq(t, 2, x.kinds[quorum.PatchAccept])
	// d3 lost "three", and d2 is away: the round of "four" needs d3.
	x.write("a", "three")
	for len(x.requests) > 0 {
		if x.requests[0].to != "d3" {
			x.deliverTo(0, true)
		}
		x.lose(0)
	}
	for len(x.responses) > 0 {
		x.receive(0)
	}
	must.False(t, x.last("a").Abandoned)
	x.write("a", "four")
	began := x.now
	for len(x.requests)+len(x.responses) > 0 {
		switch {
		case len(x.responses) > 0:
			x.receive(0)
			continue
		case x.requests[0].to != "d2":
			x.deliverTo(0, true)
		}
		x.lose(0)
	}
	must.Eq(t, 1, x.rejected)
	must.StrContains(t, string(x.last("a").Body), "four]")
	must.Eq(t, began, x.now)
	x.check("d3")
	must.Eq(t, ident.Revision(4), x.acceptors["d3"].Peek("k").Revision)
	// Again by patches, but for d2, which lost its own and says so.
	x.write("a", "five")
	x.settle()
	must.Eq(t, 2, x.rejected)
	before := x.kinds[quorum.Accept]
	x.write("a", "six")
	x.settle()
	must.Eq(t, before+1, x.kinds[quorum.Accept], must.Sprint("only its own disk gets it whole"))
	// b takes over: what goes to others is patches, and the responses carry nothing.
	x.write("b", "seven")
	for len(x.requests)+len(x.responses) > 0 {
		if len(x.responses) > 0 {
			must.Eq(t, 0, len(x.responses[0].r.Record.Value))
			x.receive(0)
			continue
		}
		x.deliverTo(0, true)
		x.lose(0)
	}
	must.False(t, x.last("b").Abandoned)
	must.Eq(t, ident.Revision(7), x.last("b").Revision)
}

// A process that knows no patches says nothing to one, and gets the whole value when the
// round is asked again.
func TestSilenceGetsTheWholeValue(t *testing.T) {
	x := newLanes(t)
	x.write("a", "one")
	x.settle()
	x.write("a", "two")
	old := func() {
		for len(x.requests)+len(x.responses) > 0 {
			switch {
			case len(x.responses) > 0:
				x.receive(0)
				continue
			case x.requests[0].request.Kind != quorum.PatchAccept:
				x.deliverTo(0, true)
			}
			x.lose(0)
		}
	}
	old()
	must.Len(t, 1, x.ends["a"])
	x.advance(200 * time.Millisecond)
	old()
	must.Len(t, 2, x.ends["a"])
	must.False(t, x.last("a").Abandoned)
	for _, d := range []ident.Disk{"d2", "d3"} {
		x.proposers["a"].SetPatchCapable(d, false)
	}
	n := x.kinds[quorum.PatchAccept]
	x.write("a", "three")
	x.settle()
	must.Eq(t, n, x.kinds[quorum.PatchAccept])
}
