package node_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/node"
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
