package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/registry/record"
)

// renew renews for a while at one core, and gives when the newest renewal that a majority
// is said to have taken was sent.
func (cluster *threeCores) renew(t *testing.T, core ident.Addr, seq *uint64, sentAt map[uint64]monotime.Time, d time.Duration) (ackedAt monotime.Time) {
	for end := cluster.now.Add(d); cluster.now < end; cluster.advance(400 * time.Millisecond) {
		*seq++
		sentAt[*seq] = cluster.now
		r := record.Renewal{Node: "n", LeaseEpoch: 1, Seq: 1, Number: *seq, Report: &record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}}
		renewed, fx, rejected := cluster.nodes[core].Renew(cluster.now, r)
		must.Nil(t, rejected)
		cluster.apply(core, fx)
		ackedAt = max(ackedAt, sentAt[renewed.AcknowledgedRenewal])
	}
	return ackedAt
}

// shares reads the shares, at a core that can.
func (cluster *threeCores) shares(t *testing.T) (s quota.State) {
	for n := range 10 {
		cluster.lastTicket++
		core := coreAddrs[n%3]
		cluster.apply(core, cluster.nodes[core].Submit(cluster.now, cluster.lastTicket, proposer.Operation{Key: "share", Kind: "share/read"}, 2*time.Second))
		for n := 0; n < 30 && cluster.ticketResult(cluster.lastTicket) == nil; n++ {
			cluster.advance(100 * time.Millisecond)
		}
		if e := cluster.ticketResult(cluster.lastTicket); e != nil && e.Failure == nil {
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
func TestShareIsReclaimedOnlyFromSilentNodes(t *testing.T) {
	for name, lost := range map[string]func(registrar, to ident.Addr, m message.Message) bool{
		"all that the registrar says": func(registrar, _ ident.Addr, m message.Message) bool { return m.From == registrar },
		"its lists":                   func(_, _ ident.Addr, m message.Message) bool { return m.LeaseUpdate != nil },
		"its hellos": func(registrar, _ ident.Addr, m message.Message) bool {
			return m.From == registrar && m.Heartbeat != nil
		},
		"the hellos that it is told": func(registrar, to ident.Addr, m message.Message) bool { return to == registrar && m.Heartbeat != nil },
	} {
		cluster := newThreeCores(t)
		cluster.apply("b:1", cluster.nodes["b:1"].Submit(cluster.now, 1, proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(quota.Args{Node: "n", LeaseEpoch: 1})}, 4*time.Second))
		cluster.advance(32 * time.Second) // a core that was just started takes nothing back
		registrar := coreAddrs[0]
		if cluster.nodes[registrar].HoldsDuty() {
			registrar = coreAddrs[2] // the one with the duty asks only of those that it does not hear itself
		}
		seq, sentAt := uint64(0), map[uint64]monotime.Time{}
		if name != "its lists" {
			ackedAt := cluster.renew(t, registrar, &seq, sentAt, 40*time.Second)
			must.Less(t, 1500*time.Millisecond, cluster.now.Since(ackedAt), must.Sprint(name))
			must.MapContainsKey(t, cluster.shares(t).Nodes, ident.Node("n"), must.Sprint(name))
		}
		cluster.drop = func(to ident.Addr, m message.Message) bool { return lost(registrar, to, m) }
		ackedAt, freed := monotime.Time(0), false
		for range 30 {
			ackedAt = max(ackedAt, cluster.renew(t, registrar, &seq, sentAt, 2*time.Second))
			if _, has := cluster.shares(t).Nodes["n"]; !has {
				freed = true
				must.Greater(t, 25*time.Second, cluster.now.Since(ackedAt), must.Sprint(name))
			}
		}
		// Where its words go out and only the answers are lost it is still heard.
		must.Eq(t, name != "the hellos that it is told", freed, must.Sprint(name))
	}
}

// Every core knows within a second that a sidecar renews, at which core soever; a brief
// hello from a run that is not known brings the whole one, and a core that lost the lists
// gets them again.
func TestCoresReplicateSidecarLeases(t *testing.T) {
	for n := range 3 {
		cluster := newThreeCores(t)
		seq, sentAt := uint64(0), map[uint64]monotime.Time{}
		cluster.renew(t, coreAddrs[n], &seq, sentAt, time.Second)
		for _, a := range coreAddrs {
			must.Eq(t, 1, cluster.nodes[a].Leases.LiveCount(), must.Sprintf("%s of %s", a, coreAddrs[n]))
		}
		// One other core starts anew, with nothing of what it knew.
		restarted := coreAddrs[(n+1)%3]
		fresh, _, err := node.New(cluster.now, node.Config{Addr: restarted, Founders: coreAddrs, InstanceID: "m2", NewDisk: func() ident.Disk { return ident.Disk("new-" + restarted) }}, nil)
		must.NoError(t, err)
		cluster.nodes[restarted] = fresh
		cluster.renew(t, coreAddrs[n], &seq, sentAt, 1500*time.Millisecond)
		must.Eq(t, 1, cluster.nodes[restarted].Leases.LiveCount())
		cluster.advance(2 * time.Second)
		for _, a := range coreAddrs {
			must.Eq(t, 0, cluster.nodes[a].Leases.LiveCount(), must.Sprint("silent for two seconds"))
		}
	}
}
