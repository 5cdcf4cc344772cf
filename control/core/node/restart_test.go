package node_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// Quorum reads of two runs of a core must use different round numbers, because a response to an
// earlier run's read may be older than values that were acknowledged since.
func TestQuorumReadsOfTwoRunsShareNoRound(t *testing.T) {
	formed := acceptor.New("d1")
	formed.Adopt(quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d1", Addr: "a:1", Counted: true}}})
	records := []ring.Record{{Key: "disk", Data: []byte("d1")}, formed.Record()}
	scan := func(instanceID string) uint64 {
		n, _, err := node.New(1, node.Config{Addr: "a:1", Founders: []ident.Addr{"a:1"}, InstanceID: instanceID}, records)
		must.NoError(t, err)
		now := monotime.Time(time.Second)
		fx := n.QuorumRead(now, 1, "", true, time.Second)
		for _, s := range fx.Sends {
			if s.Msg.Scan != nil {
				return s.Msg.Scan.Round
			}
		}
		t.Fatal("the quorum read sent no scan")
		return 0
	}
	first, second := scan("run1"), scan("run2")
	must.NotEq(t, first, second)
}

// A configuration is acknowledged, and every core restarts before the configuration was announced.
// Once the cores have a majority again, each core must serve the configuration from its own disk,
// without a read through the configuration's proposer.
func TestRestartedCoresServeConfigFromDisk(t *testing.T) {
	const serveWithin = 300 * time.Millisecond
	cluster := newThreeCores(t)
	cluster.drop = func(_ ident.Addr, m message.Message) bool { return m.Learned != nil }
	propose := operationOf(proposal.Key, "manifest/offer", proposal.Args{AllowUnknown: true, Body: []byte(`{"release":7}`)})
	must.Eq(t, "", cluster.call("a:1", propose, time.Second).failureKind())
	for _, a := range coreAddrs {
		cluster.start(t, a, "", coreAddrs)
	}
	cluster.drop, cluster.confirmed = nil, map[ident.Addr][]string{}
	lacksMajority := func(a ident.Addr) bool { return !cluster.nodes[a].HasMajority(cluster.now) }
	for slices.ContainsFunc(coreAddrs, lacksMajority) {
		cluster.advance(10 * time.Millisecond)
	}
	cluster.advance(serveWithin)
	for _, a := range coreAddrs {
		must.SliceNotEmpty(t, cluster.confirmed[a], must.Sprint(a))
		var held proposal.State
		must.NoError(t, json.Unmarshal([]byte(cluster.confirmed[a][0]), &held))
		must.Eq(t, ident.ConfigRevision(1), held.Revision)
	}
}
