package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// renew renews for a while at one core, and gives when the newest renewal that a majority
// is said to have taken was sent.
func (x *trio) renew(t *testing.T, at ident.Addr, beat *uint64, sent map[uint64]monotime.Time, d time.Duration) (took monotime.Time) {
	for end := x.now.Add(d); x.now < end; x.run(400 * time.Millisecond) {
		*beat++
		sent[*beat] = x.now
		r := record.Renewal{Node: "n", LeaseEpoch: 1, Seq: 1, Beat: *beat, Report: &record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}}
		got, fx, def := x.nodes[at].Renew(x.now, r)
		must.Nil(t, def)
		x.out(at, fx)
		took = max(took, sent[got.Took])
	}
	return took
}

// shares reads the shares, at a core that can.
func (x *trio) shares(t *testing.T) (s share.Shares) {
	for n := range 10 {
		x.tickets++
		at := three[n%3]
		x.out(at, x.nodes[at].Submit(x.now, x.tickets, proposer.Operation{Key: "share", Kind: "share/read"}, 2*time.Second))
		for n := 0; n < 30 && x.end(x.tickets) == nil; n++ {
			x.run(100 * time.Millisecond)
		}
		if e := x.end(x.tickets); e != nil && e.Failure == nil {
			must.NoError(t, json.Unmarshal(e.Body, &s))
			return s
		}
	}
	t.Fatal("nobody can read the shares")
	return s
}

// A registrar whose words reach nobody tells its sidecar of no majority from then on, and the
// share is taken back only when a majority has long not heard the sidecar: by then the
// last renewal that was told as taken is long past, whatever is lost on the way.
func TestShareIsTakenBackOnlyFromTheUnheard(t *testing.T) {
	for name, lost := range map[string]func(registrar, to ident.Addr, m message.Message) bool{
		"all that the registrar says": func(k, _ ident.Addr, m message.Message) bool { return m.From == k },
		"its lists":                   func(_, _ ident.Addr, m message.Message) bool { return m.LeaseUpdate != nil },
		"its hellos":                  func(k, _ ident.Addr, m message.Message) bool { return m.From == k && m.Hello != nil },
		"the hellos that it is told":  func(k, to ident.Addr, m message.Message) bool { return to == k && m.Hello != nil },
	} {
		x := newTrio(t)
		x.out("b:1", x.nodes["b:1"].Submit(x.now, 1, proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(share.Args{Node: "n", Claim: 1})}, 4*time.Second))
		x.run(32 * time.Second) // a core that was just started takes nothing back
		registrar := three[0]
		if x.nodes[registrar].Duty() {
			registrar = three[2] // the one with the duty asks only of those that it does not hear itself
		}
		beat, sent := uint64(0), map[uint64]monotime.Time{}
		if name != "its lists" {
			took := x.renew(t, registrar, &beat, sent, 40*time.Second)
			must.Less(t, 1500*time.Millisecond, x.now.Since(took), must.Sprint(name))
			must.MapContainsKey(t, x.shares(t).Nodes, ident.Node("n"), must.Sprint(name))
		}
		x.lost = func(to ident.Addr, m message.Message) bool { return lost(registrar, to, m) }
		took, freed := monotime.Time(0), false
		for range 30 {
			took = max(took, x.renew(t, registrar, &beat, sent, 2*time.Second))
			if _, has := x.shares(t).Nodes["n"]; !has {
				freed = true
				must.Greater(t, 25*time.Second, x.now.Since(took), must.Sprint(name))
			}
		}
		// Where its words go out and only the answers are lost it is still heard.
		must.Eq(t, name != "the hellos that it is told", freed, must.Sprint(name))
	}
}

// Every core knows within a second that a sidecar renews, at which core soever; a brief
// hello from a run that is not known brings the whole one, and a core that lost the lists
// gets them again.
func TestCoresTellEachOtherOfSidecars(t *testing.T) {
	for n := range 3 {
		x := newTrio(t)
		beat, sent := uint64(0), map[uint64]monotime.Time{}
		x.renew(t, three[n], &beat, sent, time.Second)
		for _, a := range three {
			must.Eq(t, 1, x.nodes[a].Leases.Live(), must.Sprintf("%s of %s", a, three[n]))
		}
		// One other core starts anew, with nothing of what it knew.
		again := three[(n+1)%3]
		fresh, _, err := node.New(x.now, node.Boot{Addr: again, Founders: three, Mark: "m2", NewDisk: func() ident.Disk { return ident.Disk("new-" + again) }}, nil)
		must.NoError(t, err)
		x.nodes[again] = fresh
		x.renew(t, three[n], &beat, sent, 1500*time.Millisecond)
		must.Eq(t, 1, x.nodes[again].Leases.Live())
		x.run(2 * time.Second)
		for _, a := range three {
			must.Eq(t, 0, x.nodes[a].Leases.Live(), must.Sprint("silent for two seconds"))
		}
	}
}
