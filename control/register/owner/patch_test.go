package owner_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/register/cell"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/control/register/replica"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/storage/ring"
)

// fill is a machine that writes its args into the first free place of a long value. The
// length never changes, so that a change that is left out does not show in it.
type fill struct{}

const free = "........"

func (fill) Apply(_ owner.Turn, value json.RawMessage, d owner.Deed) owner.Verdict {
	if d.Kind != "write" {
		return owner.Verdict{Body: value}
	}
	if len(value) == 0 {
		value = json.RawMessage(`"` + strings.Repeat("long ", 100) + strings.Repeat(free, 20) + `"`)
	}
	var s string
	_ = json.Unmarshal(d.Args, &s)
	out := json.RawMessage(strings.Replace(string(value), free, fmt.Sprintf("[%6s]", s), 1))
	return owner.Verdict{Value: out, Changed: true, Body: out}
}

type state struct {
	by  ident.Ballot
	rev ident.Revision
}

// lanes is a bench whose asks and returns lie in the test's hand one by one, with disks
// that come back as they were last synced. Every owner's own disk gets no patches.
// Invariant held after each step: what a disk holds under a ballot and revision is, to the
// byte, what that ballot's owner sent whole.
type lanes struct {
	*bench
	sent   map[state]string
	synced map[ident.Disk]map[string]ring.Record
	back   []reply
	kinds  map[cell.Kind]int
	no     int
}

type reply struct {
	to string
	r  cell.Return
}

var homes = map[string]ident.Disk{"a": "d1", "b": "d2"}

func newLanes(t *testing.T) *lanes {
	x := &lanes{bench: newBench(t), sent: map[state]string{}, synced: map[ident.Disk]map[string]ring.Record{}, kinds: map[cell.Kind]int{}}
	for _, o := range []string{"a", "b"} {
		x.own[o] = owner.New(o, fill{})
		x.own[o].SetMembership(x.now, x.roster)
		x.own[o].Near = func(k ident.Key) cell.Cell { return x.reps[homes[o]].Peek(k) }
		for _, v := range x.roster.Voters {
			x.own[o].Able(v.Disk, v.Disk != homes[o])
		}
	}
	for d := range x.reps {
		x.synced[d] = map[string]ring.Record{}
	}
	return x
}

// note takes an owner's effects and remembers what it sends whole.
func (x *lanes) note(o string, fx owner.Effects) {
	for _, s := range fx.Sends {
		x.kinds[s.Ask.Kind]++
		if s.Ask.Kind != cell.Accept {
			continue
		}
		k := state{s.Ask.Ballot, s.Ask.Revision}
		old, twice := x.sent[k]
		must.False(x.t, twice && old != string(s.Ask.Value), must.Sprint("two values under one ballot and revision"))
		x.sent[k] = string(s.Ask.Value)
	}
	x.take(o, fx)
}

func (x *lanes) write(o, val string) {
	raw, _ := json.Marshal(val)
	x.note(o, x.own[o].Submit(x.now, owner.Deed{Op: ident.Op(val), Key: "k", Kind: "write", Args: raw}))
}

// give lets a disk take ask i, and then what was synced is so or lost.
func (x *lanes) give(i int, sync bool) {
	m := x.asks[i]
	r, recs, say := x.reps[m.to].Step(1, m.ask)
	x.check(m.to)
	if !sync {
		x.reps[m.to] = replica.New(m.to)
		for _, rec := range x.synced[m.to] {
			_, err := x.reps[m.to].Load(rec)
			must.NoError(x.t, err)
		}
		x.check(m.to)
		return
	}
	for _, rec := range recs {
		x.synced[m.to][rec.Tag] = rec
	}
	if m.ask.Kind == cell.PatchAccept && !r.OK {
		x.no++
	}
	if say {
		x.back = append(x.back, reply{m.from, r})
	}
}

func (x *lanes) check(d ident.Disk) {
	c := x.reps[d].Peek("k")
	if c.Accepted.Zero() {
		return
	}
	want, ok := x.sent[state{c.Accepted, c.Revision}]
	must.True(x.t, ok, must.Sprint("nobody sent what it holds"))
	must.Eq(x.t, want, string(c.Value))
}

func (x *lanes) hear(i int) {
	b := x.back[i]
	x.back = append(x.back[:i:i], x.back[i+1:]...)
	x.note(b.to, x.own[b.to].Step(x.now, b.r))
}

func (x *lanes) lose(i int) { x.asks = append(x.asks[:i:i], x.asks[i+1:]...) }

func (x *lanes) time(d time.Duration) {
	x.now = x.now.Add(d)
	for _, o := range []string{"a", "b"} {
		x.note(o, x.own[o].Tick(x.now))
	}
}

// settle delivers everything, in order.
func (x *lanes) settle() {
	for len(x.asks)+len(x.back) > 0 {
		if len(x.back) > 0 {
			x.hear(0)
			continue
		}
		x.give(0, true)
		x.lose(0)
	}
}

// calm delivers everything until all that was out is over.
func (x *lanes) calm() {
	for range 6 {
		x.settle()
		x.time(250 * time.Millisecond)
	}
}

// Two owners write a long value in turn while asks and returns are lost, doubled, late and
// in any order, and disks fall back to what they had synced: no disk ever holds a value
// that was not its owner's for that ballot and revision, no confirmed change is lost, and
// all end with the same bytes.
func TestPatchesInAllOrders(t *testing.T) {
	kinds, refused := map[cell.Kind]int{}, 0
	// What happens to the next message that is looked at: its place among those that are
	// out, and its lot. Four in a row are tried in every way, then all is delivered.
	lots := []func(x *lanes, i int){
		func(x *lanes, i int) { x.give(i, true); x.lose(i) },
		func(x *lanes, i int) { x.give(i, true) }, // it comes again
		func(x *lanes, i int) { x.lose(i) },
		func(x *lanes, i int) { x.give(i, false); x.lose(i) },
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
				if n := len(x.back); n > 0 {
					x.hear((way - len(lots)*places) * (n - 1))
				}
			case len(x.asks) > 0:
				lots[way/places](x, (way%places*2+step%2)%len(x.asks))
			}
			if step == 2 {
				x.write("a", "five")
			}
		}
		x.calm()
		x.write("a", "six")
		x.calm()
		sure := map[string]bool{}
		for _, o := range []string{"a", "b"} {
			for _, e := range x.ends[o] {
				if !e.Lost {
					sure[string(e.Deed.Op)] = true
				}
			}
		}
		// b may learn only now that it was deposed.
		for n := 0; n == 0 || n < 5 && x.last("b").Lost; n++ {
			x.write("b", "seven")
			x.calm()
		}
		last := x.last("b")
		must.False(t, last.Lost)
		end := string(last.Body)
		for val := range sure {
			must.StrContains(t, end, " "+val+"]", must.Sprint("order ", seed))
		}
		for d := range x.reps {
			must.Eq(t, end, string(x.reps[d].Peek("k").Value), must.Sprint("order ", seed, " ", d))
		}
		refused += x.no
		for k, n := range x.kinds {
			kinds[k] += n
		}
	}
	must.Greater(t, total, kinds[cell.PatchAccept])
	must.Greater(t, 100, refused)
}

// A disk that turns a patch away gets the whole value within the same round, and patches
// again from its next return on; a takeover of what all hold moves no value.
func TestTurnedAwayPatchIsSentWhole(t *testing.T) {
	x := newLanes(t)
	x.write("a", "one")
	x.settle()
	x.write("a", "two")
	x.settle()
	must.Eq(t, 2, x.kinds[cell.PatchAccept])
	// d3 lost "three", and d2 is away: the round of "four" needs d3.
	x.write("a", "three")
	for len(x.asks) > 0 {
		if x.asks[0].to != "d3" {
			x.give(0, true)
		}
		x.lose(0)
	}
	for len(x.back) > 0 {
		x.hear(0)
	}
	must.False(t, x.last("a").Lost)
	x.write("a", "four")
	began := x.now
	for len(x.asks)+len(x.back) > 0 {
		switch {
		case len(x.back) > 0:
			x.hear(0)
			continue
		case x.asks[0].to != "d2":
			x.give(0, true)
		}
		x.lose(0)
	}
	must.Eq(t, 1, x.no)
	must.StrContains(t, string(x.last("a").Body), "four]")
	must.Eq(t, began, x.now)
	x.check("d3")
	must.Eq(t, ident.Revision(4), x.reps["d3"].Peek("k").Revision)
	// Again by patches, but for d2, which lost its own and says so.
	x.write("a", "five")
	x.settle()
	must.Eq(t, 2, x.no)
	before := x.kinds[cell.Accept]
	x.write("a", "six")
	x.settle()
	must.Eq(t, before+1, x.kinds[cell.Accept], must.Sprint("only its own disk gets it whole"))
	// b takes over: what goes to others is patches, and the returns carry nothing.
	x.write("b", "seven")
	for len(x.asks)+len(x.back) > 0 {
		if len(x.back) > 0 {
			must.Eq(t, 0, len(x.back[0].r.Cell.Value))
			x.hear(0)
			continue
		}
		x.give(0, true)
		x.lose(0)
	}
	must.False(t, x.last("b").Lost)
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
		for len(x.asks)+len(x.back) > 0 {
			switch {
			case len(x.back) > 0:
				x.hear(0)
				continue
			case x.asks[0].ask.Kind != cell.PatchAccept:
				x.give(0, true)
			}
			x.lose(0)
		}
	}
	old()
	must.Len(t, 1, x.ends["a"])
	x.time(200 * time.Millisecond)
	old()
	must.Len(t, 2, x.ends["a"])
	must.False(t, x.last("a").Lost)
	for _, d := range []ident.Disk{"d2", "d3"} {
		x.own["a"].Able(d, false)
	}
	n := x.kinds[cell.PatchAccept]
	x.write("a", "three")
	x.settle()
	must.Eq(t, n, x.kinds[cell.PatchAccept])
}
