package node_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

// A page of a quorum read that an earlier run began is none of the next run's quorum read: it may be
// older than what was acknowledged since.
func TestSurveysOfTwoRunsHaveNoTurnInCommon(t *testing.T) {
	formed := acceptor.New("d1")
	formed.Adopt(quorum.Membership{Epoch: 1, Voters: []quorum.Voter{{Disk: "d1", Addr: "a:1", Counted: true}}})
	records := []ring.Record{{Tag: "disk", Data: []byte("d1")}, formed.Record()}
	scan := func(mark string) uint64 {
		n, _, err := node.New(1, node.Boot{Addr: "a:1", Founders: []ident.Addr{"a:1"}, Mark: mark}, records)
		must.NoError(t, err)
		now := monotime.Time(time.Second)
		fx := n.QuorumRead(now, 1, "", true, time.Second)
		for _, s := range fx.Sends {
			if s.Msg.Scan != nil {
				return s.Msg.Scan.Round
			}
		}
		t.Fatal("no scan was sent")
		return 0
	}
	first, second := scan("run1"), scan("run2")
	must.NotEq(t, first, second)
}

// A configuration is acknowledged and every core restarts before any other was told of it. Once
// they have a majority again, each core shows it from its own disk, without reading it through
// its proposer.
func TestRestartedCoresShowWhatTheirDisksHold(t *testing.T) {
	const shownWithin = 300 * time.Millisecond
	x := newTrio(t)
	x.lost = func(_ ident.Addr, m message.Message) bool { return m.Learned != nil }
	must.Eq(t, "", x.call("a:1", operationOf(offer.Key, "manifest/offer", offer.Args{Loose: true, Body: []byte(`{"release":7}`)}), time.Second).kind())
	for _, a := range three {
		x.start(t, a, "", three)
	}
	x.lost, x.confirmed = nil, map[ident.Addr][]string{}
	for !x.nodes["a:1"].Majority(x.now) || !x.nodes["b:1"].Majority(x.now) || !x.nodes["c:1"].Majority(x.now) {
		x.run(10 * time.Millisecond)
	}
	x.run(shownWithin)
	for _, a := range three {
		must.SliceNotEmpty(t, x.confirmed[a], must.Sprint(a))
		var held offer.Held
		must.NoError(t, json.Unmarshal([]byte(x.confirmed[a][0]), &held))
		must.Eq(t, ident.Epoch(1), held.Epoch)
	}
}
