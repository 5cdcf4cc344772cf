package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// A newcomer asks to be counted only once its copy is synced: no ask leaves before the gate
// has let out what rests on the copy's records. Found by a scripted run of explore/cluster: the
// asks left at once, and a loss of power behind them left a disk that counted and knew nothing of
// what had been acknowledged.
func TestCopyIsSyncedBeforeTheDiskCounts(t *testing.T) {
	members := acceptor.New("d4")
	members.Adopt(quorum.Membership{Epoch: 2, Voters: []quorum.Voter{{Disk: "d1", Addr: "a:1", Counted: true}, {Disk: "d4", Addr: "b:1"}, {Disk: "d3", Addr: "c:1", Counted: true}}})
	n, _, err := node.New(1, node.Config{Addr: "b:1", InstanceID: "run1"}, []ring.Record{{Key: "disk", Data: []byte("d4")}, members.Record()})
	must.NoError(t, err)
	now := monotime.Time(time.Second)
	countRequests := func(fx node.Effects) (requests int) {
		for _, s := range fx.Sends {
			if s.Msg.MembershipRequest != nil {
				requests++
			}
		}
		return requests
	}
	var scan *quorum.Scan
	for _, s := range n.Tick(now).Sends {
		if s.Msg.Scan != nil {
			scan = s.Msg.Scan
		}
	}
	must.NotNil(t, scan)
	row := quorum.Row{Key: "k", Record: quorum.Record{Promised: ident.Ballot{Epoch: 1, Proposer: "o"}, Accepted: ident.Ballot{Epoch: 1, Proposer: "o"}, Revision: 1, Value: []byte(`"one"`)}}
	var durable node.Effects
	for addr, disk := range map[ident.Addr]ident.Disk{"a:1": "d1", "c:1": "d3"} {
		fx := n.Step(now, message.Message{From: addr, ScanResponse: &quorum.ScanResponse{Round: scan.Round, Disk: disk, Membership: 2, Rows: []quorum.Row{row}}})
		held := fx.SplitDurable()
		must.Eq(t, 0, countRequests(fx))
		durable.Records, durable.Sends = append(durable.Records, held.Records...), append(durable.Sends, held.Sends...)
	}
	must.SliceNotEmpty(t, durable.Records)
	for range 20 { // the disk is slow
		now = now.Add(50 * time.Millisecond)
		must.Eq(t, 0, countRequests(n.Tick(now)), must.Sprint("it asks to be counted with its copy not synced"))
	}
	for _, s := range durable.Sends {
		must.Eq(t, ident.Addr("b:1"), s.To)
		s.Msg.From = "b:1"
		n.Step(now, s.Msg)
	}
	now = now.Add(50 * time.Millisecond)
	must.Eq(t, 2, countRequests(n.Tick(now)))
}
