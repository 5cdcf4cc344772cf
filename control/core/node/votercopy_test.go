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

// A new voter must request to be counted only after its copy is synced. Guards against a fault that
// a scripted run of explore/cluster found: the membership requests were sent immediately, and a
// power failure after the requests left a counted disk without the acknowledged values.
func TestCopyIsSyncedBeforeTheDiskCounts(t *testing.T) {
	members := acceptor.New("d4")
	members.Adopt(quorum.Membership{Epoch: 2, Voters: []quorum.Voter{
		{Disk: "d1", Addr: "a:1", Counted: true},
		{Disk: "d4", Addr: "b:1"},
		{Disk: "d3", Addr: "c:1", Counted: true},
	}})
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
	ballot := ident.Ballot{Epoch: 1, Proposer: "o"}
	row := quorum.Row{Key: "k", Record: quorum.Record{Promised: ballot, Accepted: ballot, Revision: 1, Value: []byte(`"one"`)}}
	var durable node.Effects
	for addr, disk := range map[ident.Addr]ident.Disk{"a:1": "d1", "c:1": "d3"} {
		response := quorum.ScanResponse{Round: scan.Round, Disk: disk, Membership: 2, Rows: []quorum.Row{row}}
		fx := n.Step(now, message.Message{From: addr, ScanResponse: &response})
		held := fx.SplitDurable()
		must.Eq(t, 0, countRequests(fx))
		durable.Records, durable.Sends = append(durable.Records, held.Records...), append(durable.Sends, held.Sends...)
	}
	must.SliceNotEmpty(t, durable.Records)
	for range 20 { // the sync takes a second
		now = now.Add(50 * time.Millisecond)
		must.Eq(t, 0, countRequests(n.Tick(now)), must.Sprint("the new voter requested to be counted before its copy was synced"))
	}
	for _, s := range durable.Sends {
		must.Eq(t, ident.Addr("b:1"), s.To)
		s.Msg.From = "b:1"
		n.Step(now, s.Msg)
	}
	now = now.Add(50 * time.Millisecond)
	must.Eq(t, 2, countRequests(n.Tick(now)))
}
