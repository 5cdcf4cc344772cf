package node_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/storage/ring"
)

// threeCores is three nodes without disks that are always up, but for those in dead.
type threeCores struct {
	nodes   map[ident.Addr]*node.Node
	now     monotime.Time
	results []node.Result
	mailbox []envelope
	down    map[ident.Addr]bool
	// disks holds what each wrote last under a tag.
	disks map[ident.Addr]map[string]ring.Record
	drop  func(to ident.Addr, m message.Message) bool
	// confirmed holds, for each core, the configurations that it learned to be confirmed and
	// could take from its own disk.
	confirmed map[ident.Addr][]string
	// lastTicket numbers the operations of helpers.
	lastTicket uint64
}

type envelope struct {
	to  ident.Addr
	msg message.Message
}

// stopWithin is how long a planned stop of these tests may last.
const stopWithin = 3 * time.Second

var coreAddrs = []ident.Addr{"a:1", "b:1", "c:1"}

func newThreeCores(t *testing.T) *threeCores {
	cluster := &threeCores{lastTicket: 1000, nodes: map[ident.Addr]*node.Node{}, now: monotime.Time(time.Second), down: map[ident.Addr]bool{}, disks: map[ident.Addr]map[string]ring.Record{}, confirmed: map[ident.Addr][]string{}}
	for _, a := range coreAddrs {
		cluster.start(t, a, ident.Disk("disk-"+a), coreAddrs)
	}
	cluster.advance(2 * time.Second)
	must.True(t, cluster.nodes["a:1"].IsVoter())
	return cluster
}

// start starts a node on what its disk holds, or on an empty disk of that name.
func (cluster *threeCores) start(t *testing.T, a ident.Addr, disk ident.Disk, founders []ident.Addr) {
	var recs []ring.Record
	for _, tag := range slices.Sorted(maps.Keys(cluster.disks[a])) {
		recs = append(recs, cluster.disks[a][tag])
	}
	seeds := slices.DeleteFunc(slices.Sorted(maps.Keys(cluster.nodes)), func(s ident.Addr) bool { return cluster.down[s] })
	named := 0
	newDisk := func() ident.Disk { // no name is given twice
		if named++; named > 1 {
			return ident.Disk(fmt.Sprint(disk, "-", named))
		}
		return disk
	}
	n, created, err := node.New(cluster.now, node.Config{Addr: a, Seeds: seeds[:min(3, len(seeds))], Founders: founders, InstanceID: fmt.Sprint("m", cluster.now), NewDisk: newDisk}, recs)
	must.NoError(t, err)
	cluster.nodes[a], cluster.down[a] = n, false
	cluster.apply(a, node.Effects{Records: created})
}

func (cluster *threeCores) apply(from ident.Addr, fx node.Effects) {
	cluster.results = append(cluster.results, fx.Results...)
	if fx.ConfirmedConfig != nil {
		cluster.confirmed[from] = append(cluster.confirmed[from], string(fx.ConfirmedConfig))
	}
	for _, r := range fx.Records {
		if cluster.disks[from] == nil {
			cluster.disks[from] = map[string]ring.Record{}
		}
		cluster.disks[from][r.Key] = r
	}
	for _, s := range fx.Sends {
		s.Msg.From = from
		cluster.mailbox = append(cluster.mailbox, envelope{s.To, s.Msg})
	}
}

func (cluster *threeCores) advance(d time.Duration) {
	for end := cluster.now.Add(d); cluster.now < end; cluster.now = cluster.now.Add(10 * time.Millisecond) {
		for _, a := range slices.Sorted(maps.Keys(cluster.nodes)) {
			if !cluster.down[a] {
				cluster.apply(a, cluster.nodes[a].Tick(cluster.now))
			}
		}
		for len(cluster.mailbox) > 0 {
			next := cluster.mailbox[0]
			cluster.mailbox = cluster.mailbox[1:]
			switch {
			case cluster.drop != nil && cluster.drop(next.to, next.msg):
			case cluster.down[next.to]:
				if !cluster.down[next.msg.From] {
					cluster.apply(next.msg.From, cluster.nodes[next.msg.From].MarkUnreachable(cluster.now, next.to))
				}
			default:
				cluster.apply(next.to, cluster.nodes[next.to].Step(cluster.now, next.msg))
			}
		}
	}
}

func (cluster *threeCores) submit(core ident.Addr, ticket uint64, kind string, key ident.Key) {
	cluster.apply(core, cluster.nodes[core].Submit(cluster.now, ticket, proposer.Operation{Op: ident.OperationID(kind), Key: key, Kind: kind}, 4*time.Second))
}

func (cluster *threeCores) ticketResult(ticket uint64) *node.Result {
	for i := range cluster.results {
		if cluster.results[i].Ticket == ticket {
			return &cluster.results[i]
		}
	}
	return nil
}

// proposerOf finds who holds a key.
func (cluster *threeCores) proposerOf(k ident.Key) ident.Addr {
	for _, a := range coreAddrs {
		for _, held := range cluster.nodes[a].HeldKeys() {
			if held == k {
				return a
			}
		}
	}
	return ""
}

// A killed proposer's keys are taken over as soon as its address takes no connection,
// not only when its hellos stop; and its slot of the membership is left alone.
func TestKilledProposerIsReplacedAtOnce(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	must.Nil(t, cluster.ticketResult(1).Failure)
	killed := cluster.proposerOf("number/n")
	cluster.down[killed] = true
	survivor := coreAddrs[0]
	if killed == survivor {
		survivor = coreAddrs[1]
	}
	began := cluster.now
	cluster.submit(survivor, 2, "number/read", "number/n")
	for cluster.ticketResult(2) == nil && cluster.now.Since(began) < 3*time.Second {
		cluster.advance(10 * time.Millisecond)
	}
	must.NotNil(t, cluster.ticketResult(2))
	must.Less(t, 400*time.Millisecond, cluster.now.Since(began))
	must.Eq(t, `{"number":1}`, string(cluster.ticketResult(2).Body))
	must.Eq(t, ident.Epoch(1), cluster.nodes[survivor].Membership().Epoch)
}

// A forward that is doubled or repeated acts once, and a lost response is given again.
func TestForwardActsOnce(t *testing.T) {
	for _, lostPart := range []string{"", "forward", "carried"} {
		cluster := newThreeCores(t)
		cluster.submit("a:1", 1, "number/next", "number/n")
		cluster.advance(200 * time.Millisecond)
		sender := coreAddrs[0]
		if cluster.proposerOf("number/n") == sender {
			sender = coreAddrs[1]
		}
		dropped := false
		cluster.drop = func(to ident.Addr, m message.Message) bool {
			if m.Forward != nil && lostPart == "" && !dropped {
				dropped = true
				cluster.mailbox = append(cluster.mailbox, envelope{to, m}) // doubled
				return false
			}
			if (m.Forward != nil && lostPart == "forward" || m.ForwardResult != nil && lostPart == "carried") && !dropped {
				dropped = true
				return true
			}
			return false
		}
		cluster.apply(sender, cluster.nodes[sender].Submit(cluster.now, 2, proposer.Operation{Key: "number/n", Kind: "number/next"}, 4*time.Second))
		cluster.advance(time.Second)
		must.True(t, dropped)
		must.NotNil(t, cluster.ticketResult(2), must.Sprint(lostPart))
		must.Eq(t, `{"number":2}`, string(cluster.ticketResult(2).Body), must.Sprint(lostPart))
		cluster.submit("a:1", 3, "number/read", "number/n")
		cluster.advance(200 * time.Millisecond)
		must.Eq(t, `{"number":2}`, string(cluster.ticketResult(3).Body), must.Sprint(lostPart))
	}
}

// A planned stop hands keys over: the successor holds them before the proposer is gone,
// and nothing in hand is lost.
func TestPlannedStopHandsOver(t *testing.T) {
	cluster := newThreeCores(t)
	cluster.submit("a:1", 1, "number/next", "number/n")
	cluster.advance(200 * time.Millisecond)
	leaver := cluster.proposerOf("number/n")
	cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopWithin))
	cluster.advance(60 * time.Millisecond)
	left := false
	for i := 0; i < 50 && !left; i++ {
		var fx node.Effects
		left, fx = cluster.nodes[leaver].ContinueLeave(cluster.now)
		cluster.apply(leaver, fx)
		cluster.advance(20 * time.Millisecond)
	}
	must.True(t, left)
	successor := cluster.proposerOf("number/n")
	must.NotEq(t, "", successor)
	must.NotEq(t, leaver, successor)
	cluster.down[leaver] = true
	cluster.submit(successor, 2, "number/read", "number/n")
	cluster.advance(200 * time.Millisecond)
	must.Eq(t, `{"number":1}`, string(cluster.ticketResult(2).Body))
}

// A change forwarded to a proposer that is just leaving, in every order of the first
// messages: it acts once, and what its sender was told is true.
func TestAllOrdersOfHandover(t *testing.T) {
	succeeded := 0
	for seed := range 4 * 4 * 4 * 4 * 4 {
		cluster := newThreeCores(t)
		cluster.submit("a:1", 1, "number/next", "number/n")
		cluster.advance(100 * time.Millisecond)
		leaver := cluster.proposerOf("number/n")
		sender := coreAddrs[0]
		if leaver == sender {
			sender = coreAddrs[1]
		}
		cluster.apply(sender, cluster.nodes[sender].Submit(cluster.now, 2, proposer.Operation{Op: "twice", Key: "number/n", Kind: "number/next"}, 2*time.Second))
		cluster.apply(leaver, cluster.nodes[leaver].Leave(cluster.now, stopWithin))
		for choices, n := seed, 0; n < 60 && len(cluster.mailbox) > 0; n++ {
			i := 0
			if n < 5 {
				i, choices = choices%4%len(cluster.mailbox), choices/4
			}
			p := cluster.mailbox[i]
			cluster.mailbox = append(cluster.mailbox[:i:i], cluster.mailbox[i+1:]...)
			cluster.apply(p.to, cluster.nodes[p.to].Step(cluster.now, p.msg))
		}
		for n := 0; n < 20; n++ {
			left, fx := cluster.nodes[leaver].ContinueLeave(cluster.now)
			cluster.apply(leaver, fx)
			cluster.advance(20 * time.Millisecond)
			if left {
				cluster.down[leaver] = true
			}
		}
		must.True(t, cluster.down[leaver], must.Sprintf("seed %d: the proposer could not leave", seed))
		cluster.advance(2 * time.Second)
		end := cluster.ticketResult(2)
		must.NotNil(t, end)
		cluster.submit(sender, 3, "number/read", "number/n")
		cluster.advance(500 * time.Millisecond)
		must.Nil(t, cluster.ticketResult(3).Failure)
		number := string(cluster.ticketResult(3).Body)
		switch {
		case end.Failure == nil:
			succeeded++
			must.Eq(t, `{"number":2}`, string(end.Body), must.Sprintf("seed %d", seed))
			must.Eq(t, `{"number":2}`, number, must.Sprintf("seed %d", seed))
		case end.Failure.Outcome == "no":
			must.Eq(t, `{"number":1}`, number, must.Sprintf("seed %d", seed))
		default:
			must.True(t, number == `{"number":1}` || number == `{"number":2}`)
		}
	}
	must.Greater(t, 900, succeeded)
}
