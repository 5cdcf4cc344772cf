package reconfiguration_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// Responses to a proposal of an earlier run do not count for a proposal of the next run. Otherwise a
// membership that a majority never accepted could be reported as chosen.
func TestPromisesToEarlierRunDoNotCount(t *testing.T) {
	base := quorum.Membership{Epoch: 1}
	disks := map[ident.Disk]*acceptor.Acceptor{}
	for _, d := range []ident.Disk{"d1", "d2", "d3"} {
		base.Voters = append(base.Voters, quorum.Voter{Disk: d, Addr: ident.Addr(d), Counted: true})
	}
	for _, v := range base.Voters {
		disks[v.Disk] = acceptor.New(v.Disk)
		disks[v.Disk].Adopt(base)
	}
	now := monotime.Time(1e9)
	change := reconfiguration.UpdateAddress(quorum.Voter{Disk: "d1", Addr: "elsewhere"})
	old := reconfiguration.New("d1", "run1")
	var late []acceptor.Response
	for _, s := range old.Begin(now, base, change) {
		r, _, answered := disks[s.To.Disk].Step(s.Request, nil)
		must.True(t, answered)
		late = append(late, r)
	}
	next := reconfiguration.New("d1", "run2")
	next.Begin(now, base, change)
	for _, r := range late {
		sends, chosen := next.Step(now, r)
		must.SliceEmpty(t, sends, must.Sprint("a promise to an earlier run was counted for this run"))
		must.Nil(t, chosen)
	}
}
