package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

// A newcomer asks to be counted only once its copy is synced: no ask leaves before the gate
// has let out what rests on the copy's records. Found by a scripted run of explore/cluster: the
// asks left at once, and a loss of power behind them left a disk that counted and knew nothing of
// what had been acknowledged.
func TestCopyIsSyncedBeforeTheDiskCounts(t *testing.T) {
	roster := acceptor.New("d4")
	roster.Adopt(quorum.Membership{Epoch: 2, Voters: []quorum.Voter{{Disk: "d1", Addr: "a:1", Counted: true}, {Disk: "d4", Addr: "b:1"}, {Disk: "d3", Addr: "c:1", Counted: true}}})
	n, _, err := node.New(1, node.Boot{Addr: "b:1", Mark: "run1"}, []ring.Record{{Tag: "disk", Data: []byte("d4")}, roster.Record()})
	must.NoError(t, err)
	now := monotime.Time(time.Second)
	counts := func(fx node.Effects) (asks int) {
		for _, s := range fx.Sends {
			if s.Msg.MembershipRequest != nil {
				asks++
			}
		}
		return asks
	}
	var scan *quorum.Scan
	for _, s := range n.Tick(now).Sends {
		if s.Msg.Scan != nil {
			scan = s.Msg.Scan
		}
	}
	must.NotNil(t, scan)
	row := quorum.Row{Key: "k", Record: quorum.Record{Promised: ident.Ballot{Epoch: 1, Owner: "o"}, Accepted: ident.Ballot{Epoch: 1, Owner: "o"}, Revision: 1, Value: []byte(`"one"`)}}
	var gated node.Effects
	for addr, disk := range map[ident.Addr]ident.Disk{"a:1": "d1", "c:1": "d3"} {
		fx := n.Step(now, message.Message{From: addr, ScanResponse: &quorum.ScanResponse{Round: scan.Round, Disk: disk, Membership: 2, Rows: []quorum.Row{row}}})
		held := fx.Gate()
		must.Eq(t, 0, counts(fx))
		gated.Records, gated.Sends = append(gated.Records, held.Records...), append(gated.Sends, held.Sends...)
	}
	must.SliceNotEmpty(t, gated.Records)
	for range 20 { // the disk is slow
		now = now.Add(50 * time.Millisecond)
		must.Eq(t, 0, counts(n.Tick(now)), must.Sprint("it asks to be counted with its copy not synced"))
	}
	for _, s := range gated.Sends {
		must.Eq(t, ident.Addr("b:1"), s.To)
		s.Msg.From = "b:1"
		n.Step(now, s.Msg)
	}
	now = now.Add(50 * time.Millisecond)
	must.Eq(t, 2, counts(n.Tick(now)))
}
