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

// renew renews a lease at one core for the duration d, and returns the send time of the newest
// renewal that the core reported as known to a majority.
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

// shares reads the retry budget shares at the first core that can serve the read.
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
	t.Fatal("no core could read the retry budget shares")
	return s
}

// A core's messages no longer reach the other cores, so the core must stop acknowledging renewals.
// The retry budget share of its sidecar may be reclaimed only after the sidecar was silent at a
// majority for a long time. At that time the last acknowledged renewal must be more than 25 s old,
// whichever messages are lost.
func TestShareIsReclaimedOnlyFromSilentNodes(t *testing.T) {
	for name, isLost := range map[string]func(registrar, to ident.Addr, m message.Message) bool{
		"all messages from the registrar": func(registrar, _ ident.Addr, m message.Message) bool { return m.From == registrar },
		"its lease updates":               func(_, _ ident.Addr, m message.Message) bool { return m.LeaseUpdate != nil },
		"its heartbeats": func(registrar, _ ident.Addr, m message.Message) bool {
			return m.From == registrar && m.Heartbeat != nil
		},
		"heartbeats to it": func(registrar, to ident.Addr, m message.Message) bool { return to == registrar && m.Heartbeat != nil },
	} {
		cluster := newThreeCores(t)
		take := proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(quota.Args{Node: "n", LeaseEpoch: 1})}
		cluster.submitOperation("b:1", 1, take, 4*time.Second)
		cluster.advance(32 * time.Second) // a core that has just started reclaims no shares
		registrar := coreAddrs[0]
		if cluster.nodes[registrar].HoldsSingletonRole() {
			registrar = coreAddrs[2] // the role's holder queries only nodes that are silent at the holder too
		}
		seq, sentAt := uint64(0), map[uint64]monotime.Time{}
		if name != "its lease updates" {
			ackedAt := cluster.renew(t, registrar, &seq, sentAt, 40*time.Second)
			must.Less(t, 1500*time.Millisecond, cluster.now.Since(ackedAt), must.Sprint(name))
			must.MapContainsKey(t, cluster.shares(t).Nodes, ident.Node("n"), must.Sprint(name))
		}
		cluster.drop = func(to ident.Addr, m message.Message) bool { return isLost(registrar, to, m) }
		ackedAt, reclaimed := monotime.Time(0), false
		for range 30 {
			ackedAt = max(ackedAt, cluster.renew(t, registrar, &seq, sentAt, 2*time.Second))
			if _, has := cluster.shares(t).Nodes["n"]; !has {
				reclaimed = true
				must.Greater(t, 25*time.Second, cluster.now.Since(ackedAt), must.Sprint(name))
			}
		}
		// If only the heartbeats to the registrar are lost, the registrar's messages still reach the other cores.
		must.Eq(t, name != "heartbeats to it", reclaimed, must.Sprint(name))
	}
}

// A sidecar renews its lease at one core. Every core must list the sidecar as live within a second.
// When a core that lost its lists of leases receives a brief heartbeat from a run that it does not
// know, it must request a full heartbeat and receive the lists again.
func TestCoresReplicateSidecarLeases(t *testing.T) {
	for n := range 3 {
		cluster := newThreeCores(t)
		seq, sentAt := uint64(0), map[uint64]monotime.Time{}
		cluster.renew(t, coreAddrs[n], &seq, sentAt, time.Second)
		for _, a := range coreAddrs {
			must.Eq(t, 1, cluster.nodes[a].Leases.LiveCount(), must.Sprintf("%s of %s", a, coreAddrs[n]))
		}
		// A different core restarts with an empty disk.
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
			must.Eq(t, 0, cluster.nodes[a].Leases.LiveCount(), must.Sprint("no renewal for two seconds"))
		}
	}
}
