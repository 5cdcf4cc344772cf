package node_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
)

// While a lost disk's place is empty the next loss is one too many, so an empty core
// counts soon after its start: at its own address at once, at another as soon as the
// voters have not heard the lost one for long.
func TestAnEmptyCoreCountsSoon(t *testing.T) {
	for name, c := range map[string]struct {
		at     ident.Addr
		within time.Duration
	}{
		"its disk was lost":   {"c:1", 500 * time.Millisecond},
		"it replaces another": {"d:1", 2 * time.Second},
	} {
		x := newTrio(t)
		x.submit("a:1", 1, "number/next", "number/n")
		x.run(200 * time.Millisecond)
		must.Nil(t, x.end(1).Failure)
		x.dead["c:1"] = true
		x.run(1900 * time.Millisecond) // the machine comes, its process starts
		delete(x.disks, "c:1")
		x.start(t, c.at, "new", nil)
		from := x.now
		for !x.nodes[c.at].Votes() && x.now.Since(from) < 10*time.Second {
			x.run(10 * time.Millisecond)
		}
		must.LessEq(t, c.within, x.now.Since(from), must.Sprint(name))
		must.Eq(t, 3, len(x.nodes[c.at].Membership().Voters), must.Sprint(name))
		must.Positive(t, x.nodes[c.at].Records(), must.Sprint(name))
	}
}

// Who has only just started has heard nobody, which says nothing of the others: no slot
// is taken on such a word.
func TestYoungVotersHoldNobodyForDead(t *testing.T) {
	x := newTrio(t)
	x.start(t, "d:1", "new", nil)
	x.run(3200 * time.Millisecond)
	must.Eq(t, 3, len(x.nodes["d:1"].Membership().Voters))
	x.lost = func(_ ident.Addr, m message.Message) bool { return m.From == "c:1" }
	x.start(t, "a:1", "", nil)
	x.start(t, "b:1", "", nil)
	x.run(2 * time.Second)
	_, in := x.nodes["a:1"].Membership().Find("disk-c:1")
	must.True(t, in)
	x.lost = nil
	x.run(2 * time.Second)
	_, in = x.nodes["a:1"].Membership().Find("disk-c:1")
	must.True(t, in)
}

// A core comes to replace another, which leaves for good at any moment before or after,
// stopped or killed; later the next is lost for good and replaced. At each moment the
// mesh goes on: no slot is made that only the lost could fill.
func TestReplacementAtAnyMoment(t *testing.T) {
	for at := 250 * time.Millisecond; at <= 9*time.Second; at += 250 * time.Millisecond {
		for _, stop := range []bool{true, false} {
			x := newTrio(t)
			x.submit("a:1", 1, "number/next", "number/n")
			x.start(t, "d:1", "new-d", nil)
			x.run(at)
			if stop {
				x.out("b:1", x.nodes["b:1"].Leave(x.now, stopWithin))
				x.run(50 * time.Millisecond)
			}
			x.dead["b:1"] = true
			x.run(8 * time.Second)
			must.True(t, x.nodes["d:1"].Votes(), must.Sprint(at, stop))
			x.dead["a:1"] = true
			x.run(2 * time.Second)
			x.start(t, "e:1", "new-e", nil)
			x.run(3 * time.Second)
			must.True(t, x.nodes["e:1"].Votes(), must.Sprint(at, stop))
			x.submit("c:1", 2, "number/next", "number/n")
			x.run(2 * time.Second)
			must.NotNil(t, x.end(2), must.Sprint(at, stop))
			must.Nil(t, x.end(2).Failure, must.Sprint(at, stop))
		}
	}
}

// Two that join are counted in, one after the other; one alone stands by.
func TestCoresJoinByTwos(t *testing.T) {
	x := newTrio(t)
	x.start(t, "d:1", "new-d", nil)
	x.run(9 * time.Second)
	must.Eq(t, 3, x.nodes["a:1"].Membership().Size())
	x.start(t, "e:1", "new-e", nil)
	x.run(9 * time.Second)
	must.Eq(t, 5, x.nodes["a:1"].Membership().Size())
	must.True(t, x.nodes["d:1"].Votes())
	must.True(t, x.nodes["e:1"].Votes())
}

// Cores come, are killed, lose messages, and one at a time loses its disk or is replaced,
// while the membership grows from three to five: no number is ever given out again, and in the
// end the mesh serves.
func TestGrowthForgetsNothing(t *testing.T) {
	for seed := range uint64(12) {
		luck := rand.New(rand.NewPCG(seed, 1))
		x := newTrio(t)
		names, fresh, last, ticket := slices.Clone(three), 0, uint64(0), uint64(0)
		come := func(at ident.Addr) {
			fresh++
			x.start(t, at, ident.Disk(fmt.Sprint("new-", fresh)), nil)
		}
		x.lost = func(ident.Addr, message.Message) bool { return luck.IntN(12) == 0 }
		next := func() bool {
			ticket++
			if at := names[luck.IntN(len(names))]; !x.dead[at] {
				x.out(at, x.nodes[at].Submit(x.now, ticket, proposer.Operation{Op: ident.Op(fmt.Sprint(ticket)), Key: "number/n", Kind: "number/next"}, 4*time.Second))
			}
			x.run(time.Duration(luck.IntN(300)) * time.Millisecond)
			e := x.end(ticket)
			if e == nil || e.Failure != nil {
				return false
			}
			var got struct{ Number uint64 }
			must.NoError(t, json.Unmarshal(e.Body, &got))
			must.Greater(t, last, got.Number, must.Sprint("seed ", seed))
			last = got.Number
			return true
		}
		for range 24 {
			switch at := names[luck.IntN(len(names))]; luck.IntN(5) {
			case 0, 1: // another comes
				if a := ident.Addr(fmt.Sprintf("%c:1", 'd'+fresh)); len(names) < 5 {
					names = append(names, a)
					come(a)
				}
			case 2: // killed, and started on its disk
				x.dead[at] = true
				next()
				x.start(t, at, "", nil)
			case 3: // its disk is lost
				x.dead[at] = true
				next()
				delete(x.disks, at)
				come(at)
			default: // gone for good, another comes
				x.dead[at] = true
				next()
				a := ident.Addr(fmt.Sprintf("%c:1", 'd'+fresh))
				names[slices.Index(names, at)] = a
				come(a)
			}
			for end := x.now.Add(time.Duration(4500+luck.IntN(4000)) * time.Millisecond); x.now < end; {
				next()
			}
		}
		x.lost = nil
		served := false
		for range 40 {
			served = next() || served
		}
		must.True(t, served, must.Sprint("seed ", seed))
	}
}
