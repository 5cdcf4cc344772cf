package node_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

// trio is three nodes without disks that are always up, but for those in dead.
type trio struct {
	nodes map[ident.Addr]*node.Node
	now   monotime.Time
	ends  []node.End
	post  []mail
	dead  map[ident.Addr]bool
	// disks holds what each wrote last under a tag.
	disks map[ident.Addr]map[string]ring.Record
	lost  func(to ident.Addr, m message.Message) bool
	// confirmed holds, for each core, the configurations that it learned to be confirmed and
	// could take from its own disk.
	confirmed map[ident.Addr][]string
	// tickets numbers the operations of helpers.
	tickets uint64
}

type mail struct {
	to ident.Addr
	m  message.Message
}

// stopWithin is how long a planned stop of these tests may last.
const stopWithin = 3 * time.Second

var three = []ident.Addr{"a:1", "b:1", "c:1"}

func newTrio(t *testing.T) *trio {
	x := &trio{tickets: 1000, nodes: map[ident.Addr]*node.Node{}, now: monotime.Time(time.Second), dead: map[ident.Addr]bool{}, disks: map[ident.Addr]map[string]ring.Record{}, confirmed: map[ident.Addr][]string{}}
	for _, a := range three {
		x.start(t, a, ident.Disk("disk-"+a), three)
	}
	x.run(2 * time.Second)
	must.True(t, x.nodes["a:1"].Votes())
	return x
}

// start starts a node on what its disk holds, or on an empty disk of that name.
func (x *trio) start(t *testing.T, a ident.Addr, disk ident.Disk, founders []ident.Addr) {
	var recs []ring.Record
	for _, tag := range slices.Sorted(maps.Keys(x.disks[a])) {
		recs = append(recs, x.disks[a][tag])
	}
	seeds := slices.DeleteFunc(slices.Sorted(maps.Keys(x.nodes)), func(s ident.Addr) bool { return x.dead[s] })
	made := 0
	newDisk := func() ident.Disk { // no name is given twice
		if made++; made > 1 {
			return ident.Disk(fmt.Sprint(disk, "-", made))
		}
		return disk
	}
	n, write, err := node.New(x.now, node.Boot{Addr: a, Seeds: seeds[:min(3, len(seeds))], Founders: founders, Mark: fmt.Sprint("m", x.now), NewDisk: newDisk}, recs)
	must.NoError(t, err)
	x.nodes[a], x.dead[a] = n, false
	x.out(a, node.Effects{Records: write})
}

func (x *trio) out(at ident.Addr, fx node.Effects) {
	x.ends = append(x.ends, fx.Ends...)
	if fx.Confirmed != nil {
		x.confirmed[at] = append(x.confirmed[at], string(fx.Confirmed))
	}
	for _, r := range fx.Records {
		if x.disks[at] == nil {
			x.disks[at] = map[string]ring.Record{}
		}
		x.disks[at][r.Tag] = r
	}
	for _, s := range fx.Sends {
		s.Msg.From = at
		x.post = append(x.post, mail{s.To, s.Msg})
	}
}

func (x *trio) run(d time.Duration) {
	for end := x.now.Add(d); x.now < end; x.now = x.now.Add(10 * time.Millisecond) {
		for _, a := range slices.Sorted(maps.Keys(x.nodes)) {
			if !x.dead[a] {
				x.out(a, x.nodes[a].Tick(x.now))
			}
		}
		for len(x.post) > 0 {
			p := x.post[0]
			x.post = x.post[1:]
			switch {
			case x.lost != nil && x.lost(p.to, p.m):
			case x.dead[p.to]:
				if !x.dead[p.m.From] {
					x.out(p.m.From, x.nodes[p.m.From].Down(x.now, p.to))
				}
			default:
				x.out(p.to, x.nodes[p.to].Step(x.now, p.m))
			}
		}
	}
}

func (x *trio) submit(at ident.Addr, ticket uint64, kind string, key ident.Key) {
	x.out(at, x.nodes[at].Submit(x.now, ticket, proposer.Operation{Op: ident.Op(kind), Key: key, Kind: kind}, 4*time.Second))
}

func (x *trio) end(ticket uint64) *node.End {
	for i := range x.ends {
		if x.ends[i].Ticket == ticket {
			return &x.ends[i]
		}
	}
	return nil
}

// ownerOf finds who holds a key.
func (x *trio) ownerOf(k ident.Key) ident.Addr {
	for _, a := range three {
		for _, have := range x.nodes[a].HeldKeys() {
			if have == k {
				return a
			}
		}
	}
	return ""
}

// A killed proposer's keys are taken over as soon as its address takes no connection,
// not only when its hellos stop; and its slot of the membership is left alone.
func TestKilledProposerIsFollowedAtOnce(t *testing.T) {
	x := newTrio(t)
	x.submit("a:1", 1, "number/next", "number/n")
	x.run(200 * time.Millisecond)
	must.Nil(t, x.end(1).Failure)
	created := x.ownerOf("number/n")
	x.dead[created] = true
	at := three[0]
	if created == at {
		at = three[1]
	}
	began := x.now
	x.submit(at, 2, "number/read", "number/n")
	for x.end(2) == nil && x.now.Since(began) < 3*time.Second {
		x.run(10 * time.Millisecond)
	}
	must.NotNil(t, x.end(2))
	must.Less(t, 400*time.Millisecond, x.now.Since(began))
	must.Eq(t, `{"number":1}`, string(x.end(2).Body))
	must.Eq(t, ident.Epoch(1), x.nodes[at].Membership().Epoch)
}

// A forward that is doubled or repeated acts once, and a lost response is given again.
func TestForwardActsOnce(t *testing.T) {
	for _, lose := range []string{"", "forward", "carried"} {
		x := newTrio(t)
		x.submit("a:1", 1, "number/next", "number/n")
		x.run(200 * time.Millisecond)
		at := three[0]
		if x.ownerOf("number/n") == at {
			at = three[1]
		}
		dropped := false
		x.lost = func(to ident.Addr, m message.Message) bool {
			if m.Forward != nil && lose == "" && !dropped {
				dropped = true
				x.post = append(x.post, mail{to, m}) // doubled
				return false
			}
			if (m.Forward != nil && lose == "forward" || m.Carried != nil && lose == "carried") && !dropped {
				dropped = true
				return true
			}
			return false
		}
		x.out(at, x.nodes[at].Submit(x.now, 2, proposer.Operation{Key: "number/n", Kind: "number/next"}, 4*time.Second))
		x.run(time.Second)
		must.True(t, dropped)
		must.NotNil(t, x.end(2), must.Sprint(lose))
		must.Eq(t, `{"number":2}`, string(x.end(2).Body), must.Sprint(lose))
		x.submit("a:1", 3, "number/read", "number/n")
		x.run(200 * time.Millisecond)
		must.Eq(t, `{"number":2}`, string(x.end(3).Body), must.Sprint(lose))
	}
}

// A planned stop hands keys over: the successor holds them before the proposer is gone,
// and nothing in hand is lost.
func TestPlannedStopHandsOver(t *testing.T) {
	x := newTrio(t)
	x.submit("a:1", 1, "number/next", "number/n")
	x.run(200 * time.Millisecond)
	created := x.ownerOf("number/n")
	x.out(created, x.nodes[created].Leave(x.now, stopWithin))
	x.run(60 * time.Millisecond)
	left := false
	for i := 0; i < 50 && !left; i++ {
		var fx node.Effects
		left, fx = x.nodes[created].Left(x.now)
		x.out(created, fx)
		x.run(20 * time.Millisecond)
	}
	must.True(t, left)
	heir := x.ownerOf("number/n")
	must.NotEq(t, "", heir)
	must.NotEq(t, created, heir)
	x.dead[created] = true
	x.submit(heir, 2, "number/read", "number/n")
	x.run(200 * time.Millisecond)
	must.Eq(t, `{"number":1}`, string(x.end(2).Body))
}

// A change forwarded to a proposer that is just leaving, in every order of the first
// messages: it acts once, and what its sender was told is true.
func TestAllOrdersOfHandover(t *testing.T) {
	told := 0
	for seed := range 4 * 4 * 4 * 4 * 4 {
		x := newTrio(t)
		x.submit("a:1", 1, "number/next", "number/n")
		x.run(100 * time.Millisecond)
		created := x.ownerOf("number/n")
		at := three[0]
		if created == at {
			at = three[1]
		}
		x.out(at, x.nodes[at].Submit(x.now, 2, proposer.Operation{Op: "twice", Key: "number/n", Kind: "number/next"}, 2*time.Second))
		x.out(created, x.nodes[created].Leave(x.now, stopWithin))
		for pick, n := seed, 0; n < 60 && len(x.post) > 0; n++ {
			i := 0
			if n < 5 {
				i, pick = pick%4%len(x.post), pick/4
			}
			p := x.post[i]
			x.post = append(x.post[:i:i], x.post[i+1:]...)
			x.out(p.to, x.nodes[p.to].Step(x.now, p.m))
		}
		for n := 0; n < 20; n++ {
			left, fx := x.nodes[created].Left(x.now)
			x.out(created, fx)
			x.run(20 * time.Millisecond)
			if left {
				x.dead[created] = true
			}
		}
		must.True(t, x.dead[created], must.Sprintf("seed %d: the proposer could not leave", seed))
		x.run(2 * time.Second)
		end := x.end(2)
		must.NotNil(t, end)
		x.submit(at, 3, "number/read", "number/n")
		x.run(500 * time.Millisecond)
		must.Nil(t, x.end(3).Failure)
		now := string(x.end(3).Body)
		switch {
		case end.Failure == nil:
			told++
			must.Eq(t, `{"number":2}`, string(end.Body), must.Sprintf("seed %d", seed))
			must.Eq(t, `{"number":2}`, now, must.Sprintf("seed %d", seed))
		case end.Failure.Outcome == "no":
			must.Eq(t, `{"number":1}`, now, must.Sprintf("seed %d", seed))
		default:
			must.True(t, now == `{"number":1}` || now == `{"number":2}`)
		}
	}
	must.Greater(t, 900, told)
}
