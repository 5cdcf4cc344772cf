package registry

import (
	"fmt"
	"testing"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
	"github.com/shoenig/test/must"
)

func newSet(author string, leaseEpoch ident.Epoch, seq uint64, configRevision ident.Epoch, lapsed bool, status record.Status) record.Set {
	w := &record.Workload{UID: ident.Server(author + "-e"), Service: "a.x", Network: record.Network, Addresses: []ident.Addr{"ip:1"}, Status: status, Identity: fmt.Sprint(leaseEpoch, seq, configRevision), Weight: 1}
	return record.Set{Author: ident.Node(author), LeaseEpoch: leaseEpoch, Seq: seq, ConfigRevision: configRevision, Lapsed: lapsed, Records: []record.Address{{Workload: w}}}
}

// Four versions of one author's records, from whatever cores and peers and in every order,
// doubled: the copy only goes forward and ends the same, under each of its keys.
func TestAllOrdersOfSetsEndAlike(t *testing.T) {
	sets := []record.Set{newSet("n", 1, 9, 4, false, record.Healthy), newSet("n", 2, 1, 4, false, record.Healthy),
		newSet("n", 2, 2, 4, false, record.Draining), newSet("n", 2, 2, 5, false, record.Unhealthy)}
	for n := range 256 {
		x, best := New(), record.Set{}
		for _, i := range []int{n % 4, n / 4 % 4, n / 16 % 4, n / 64} {
			x.Merge([]record.Set{sets[i]})
			if best.Author == "" || best.Older(sets[i]) {
				best = sets[i]
			}
			must.False(t, x.Merge([]record.Set{best}), must.Sprint("a set that is held is no news"))
			for _, key := range []string{"n-e", record.Network + "/ip:1"} {
				got, ok := x.Lookup(key)
				must.True(t, ok)
				must.Eq(t, best.Records[0].Workload.Identity, got.Workload.Identity, must.Sprintf("order %d", n))
			}
			must.Eq(t, 1, len(x.Workloads("a.x")))
		}
	}
}

// Lapsed is the giving core's own view: the same version may lapse and come back.
func TestLapsedFollowsTheGiver(t *testing.T) {
	x := New()
	for _, lapsed := range []bool{false, true, false, true} {
		must.True(t, x.Merge([]record.Set{newSet("n", 1, 1, 1, lapsed, record.Healthy)}))
		must.Eq(t, lapsed, x.Workloads("a.x")[0].Lapsed)
	}
	must.False(t, x.Merge([]record.Set{newSet("n", 1, 0, 1, false, record.Healthy)}))
	must.True(t, x.Workloads("a.x")[0].Lapsed)
}
