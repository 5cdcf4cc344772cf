package registry

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
)

func newSet(author string, leaseEpoch ident.LeaseEpoch, seq uint64, configRevision ident.ConfigRevision, lapsed bool, status record.Status) record.Set {
	workload := &record.Workload{
		UID:       ident.Server(author + "-e"),
		Service:   "a.x",
		Network:   record.Network,
		Addresses: []ident.Addr{"ip:1"},
		Status:    status,
		Identity:  fmt.Sprint(leaseEpoch, seq, configRevision),
		Weight:    1,
	}
	return record.Set{
		Author:         ident.Node(author),
		LeaseEpoch:     leaseEpoch,
		Seq:            seq,
		ConfigRevision: configRevision,
		Lapsed:         lapsed,
		Records:        []record.Address{{Workload: workload}},
	}
}

// Four versions of one author's records are merged in every order, with repetitions: the index
// never regresses, and returns the newest merged version under each of its keys.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	sets := []record.Set{newSet("n", 1, 9, 4, false, record.Healthy), newSet("n", 2, 1, 4, false, record.Healthy),
		newSet("n", 2, 2, 4, false, record.Draining), newSet("n", 2, 2, 5, false, record.Unhealthy)}
	for order := range 256 {
		index, newest := New(), record.Set{}
		for _, i := range []int{order % 4, order / 4 % 4, order / 16 % 4, order / 64} {
			index.Merge([]record.Set{sets[i]})
			if newest.Author == "" || newest.OlderThan(sets[i]) {
				newest = sets[i]
			}
			must.False(t, index.Merge([]record.Set{newest}), must.Sprint("merging a set again must change nothing"))
			for _, key := range []string{"n-e", record.Network + "/ip:1"} {
				got, ok := index.Lookup(key)
				must.True(t, ok)
				must.Eq(t, newest.Records[0].Workload.Identity, got.Workload.Identity, must.Sprintf("order %d", order))
			}
			must.Eq(t, 1, len(index.Workloads("a.x")))
		}
	}
}

// Lapsed is the view of the core that reports the set, so Lapsed may change in either direction
// within the same version.
func TestLapsedFollowsReportingCore(t *testing.T) {
	index := New()
	for _, lapsed := range []bool{false, true, false, true} {
		must.True(t, index.Merge([]record.Set{newSet("n", 1, 1, 1, lapsed, record.Healthy)}))
		must.Eq(t, lapsed, index.Workloads("a.x")[0].Lapsed)
	}
	must.False(t, index.Merge([]record.Set{newSet("n", 1, 0, 1, false, record.Healthy)}))
	must.True(t, index.Workloads("a.x")[0].Lapsed)
}
