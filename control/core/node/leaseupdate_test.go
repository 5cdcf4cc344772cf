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

// renew renews a lease at one core for a while, and returns when the newest renewal was sent that
// a majority is reported to know of.
func (cluster *threeCores) renew(
	t *testing.T,
	core ident.Addr,
	seq *uint64,
	sentAt map[uint64]monotime.Time,
	d time.Duration,
) (ackedAt monotime.Time) {
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

// shares reads the retry budget shares at any core that can.
func (cluster *threeCores) shares(t *testing.T) (s quota.State) {
	for n := range 10 {
		cluster.lastTicket++
		core := coreAddrs[n%3]
		cluster.submitOperation(core, cluster.lastTicket, proposer.Operation{Key: "share", Kind: "share/read"}, 2*time.Second)
		for n := 0; n < 30 && cluster.ticketResult(cluster.lastTicket) == nil; n++ {
			cluster.advance(100 * time.Millisecond)
		}
		if e := cluster.ticketResult(cluster.lastTicket); e != nil && e.Failure == nil {
			must.NoError(t, json.Unmarshal(e.Body, &s))
			return s
		}
	}
	t.Fatal("no core can read the shares")
	return s
}

// A core whose messages reach no other acknowledges no renewal from then on, and the share of its
// sidecar is reclaimed only after a majority has not heard of the sidecar for a long time. By then
// the last acknowledged renewal is long past, whichever messages are lost.
func TestShareIsReclaimedOnlyFromSilentNodes(t *testing.T) {
	for name, lost := range map[string]func(registrar, to ident.Addr, m message.Message) bool{
		"all that the registrar sends": func(registrar, _ ident.Addr, m message.Message) bool { return m.From == registrar },
		"its lease updates":            func(_, _ ident.Addr, m message.Message) bool { return m.LeaseUpdate != nil },
		"its heartbeats": func(registrar, _ ident.Addr, m message.Message) bool {
			return m.From == registrar && m.Heartbeat != nil
		},
		"the heartbeats to it": func(registrar, to ident.Addr, m message.Message) bool { return to == registrar && m.Heartbeat != nil },
	} {
		cluster := newThreeCores(t)
		take := proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(quota.Args{Node: "n", LeaseEpoch: 1})}
		cluster.submitOperation("b:1", 1, take, 4*time.Second)
		cluster.advance(32 * time.Second) // a core that has just started reclaims nothing
		registrar := coreAddrs[0]
		if cluster.nodes[registrar].HoldsSingletonRole() {
			registrar = coreAddrs[2] // the holder of the role asks only about nodes that it does not hear itself
		}
		seq, sentAt := uint64(0), map[uint64]monotime.Time{}
		if name != "its lease updates" {
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
		// While its messages arrive and only the answers are lost it is still heard.
		must.Eq(t, name != "the heartbeats to it", freed, must.Sprint(name))
	}
}

// Every core knows within a second that a sidecar renews, at whichever core it does. A brief
// heartbeat from an unknown run makes the receiver ask for a full one, and a core that lost the
// lists of leases gets them again.
func TestCoresReplicateSidecarLeases(t *testing.T) {
	for n := range 3 {
		cluster := newThreeCores(t)
		seq, sentAt := uint64(0), map[uint64]monotime.Time{}
		cluster.renew(t, coreAddrs[n], &seq, sentAt, time.Second)
		for _, a := range coreAddrs {
			must.Eq(t, 1, cluster.nodes[a].Leases.LiveCount(), must.Sprintf("%s of %s", a, coreAddrs[n]))
		}
		// Another core restarts with an empty disk.
		restarted := coreAddrs[(n+1)%3]
		newDisk := func() ident.Disk { return ident.Disk("new-" + restarted) }
		config := node.Config{Addr: restarted, Founders: coreAddrs, InstanceID: "m2", NewDiskID: newDisk}
		fresh, _, err := node.New(cluster.now, config, nil)
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
