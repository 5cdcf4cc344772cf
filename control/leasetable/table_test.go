package leasetable

import (
	"maps"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

func timeAt(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

func newRenewal(node ident.Node, leaseEpoch ident.LeaseEpoch, seq, number uint64) record.Renewal {
	return record.Renewal{
		Node:       node,
		LeaseEpoch: leaseEpoch,
		Seq:        seq,
		Number:     number,
		Report:     &record.Report{Node: node, LeaseEpoch: leaseEpoch, Seq: seq},
	}
}

func isLapsed(t *testing.T, table *Table, node ident.Node) bool {
	for _, member := range table.Members() {
		if member.Node == node {
			return member.Lapsed
		}
	}
	t.Fatalf("sidecar %s is not in the table", node)
	return false
}

// Applies four updates of a registrar and its heartbeat in every order, with losses and
// duplicates. Guards against a core that accepts a heartbeat while its copy of the registrar's
// list differs, and against a copy that a full update does not repair.
func TestRegistrarUpdatesInEveryOrder(t *testing.T) {
	registrar := New()
	var updates []Update
	announced := map[uint64]map[ident.Node]leaseVersion{}
	step := func(do func()) {
		do()
		update, due := registrar.PendingUpdate()
		must.True(t, due)
		updates = append(updates, update)
		announced[update.Checksum] = maps.Clone(registrar.local.leases)
	}
	step(func() { _, _ = registrar.Renew(timeAt(0), newRenewal("a", 1, 1, 1)) })
	step(func() { _, _ = registrar.Renew(timeAt(0), newRenewal("b", 1, 1, 1)) })
	step(func() { _, _ = registrar.Renew(timeAt(0), newRenewal("a", 1, 2, 2)) })
	step(func() { // b stops renewing
		_, _ = registrar.Renew(timeAt(2*time.Second), newRenewal("a", 1, 2, 3))
		registrar.Tick(timeAt(2 * time.Second))
	})
	full, ok := registrar.FullUpdate()
	must.True(t, ok)
	const heartbeat = 4
	accepted, rejected := 0, 0
	for order := range 5 * 5 * 5 * 5 * 5 * 5 {
		table, now := New(), timeAt(2*time.Second)
		for rest, i := order, 0; i < 6; rest, i = rest/5, i+1 {
			now = now.Add(10 * time.Millisecond)
			event := rest % 5
			if event != heartbeat {
				table.ApplyUpdate(now, "core:1", updates[event])
				continue
			}
			if table.ApplyHeartbeat(now, "core:1", full.Checksum) {
				accepted++
				must.Eq(t, announced[full.Checksum], table.registrars["core:1"].leases, must.Sprintf("order %d", order))
				must.False(t, isLapsed(t, table, "a"))
			} else {
				rejected++
			}
		}
		_, inSync := table.ApplyUpdate(now, "core:1", full)
		must.True(t, inSync)
		must.True(t, table.ApplyHeartbeat(now, "core:1", full.Checksum))
		must.Eq(t, announced[full.Checksum], table.registrars["core:1"].leases)
		must.Eq(t, uint64(2), table.entries["a"].report.Seq)
	}
	must.Positive(t, accepted)
	must.Positive(t, rejected)
}

// The registrar of a sidecar stops sending heartbeats or removes the sidecar from its list, or the
// sidecar moves to another registrar. The lease must hold as long as a registrar with current
// heartbeats lists the sidecar, and must lapse when there is no such registrar.
func TestLeaseLapsesWhenNoRegistrarConfirmsIt(t *testing.T) {
	updateOf := func(node ident.Node) Update {
		registrar := New()
		_, _ = registrar.Renew(timeAt(0), newRenewal(node, 1, 1, 1))
		update, _ := registrar.PendingUpdate()
		return update
	}
	update, removal := updateOf("a"), Update{Removed: []ident.Node{"a"}}
	removal.BaseChecksum = update.Checksum
	for name, c := range map[string]struct {
		secondRegistrar, heartbeats, drop, direct bool
		lapsed                                    bool
	}{
		"registrar sends heartbeats":                         {heartbeats: true},
		"registrar is silent":                                {lapsed: true},
		"registrar drops the sidecar":                        {heartbeats: true, drop: true, lapsed: true},
		"second registrar lists the sidecar":                 {secondRegistrar: true, heartbeats: true, drop: true},
		"sidecar renews here":                                {direct: true},
		"sidecar renews here and old registrar drops it":     {direct: true, heartbeats: true, drop: true},
		"two registrars list the sidecar and are silent":     {secondRegistrar: true, lapsed: true},
		"registrar drops the sidecar and another one silent": {secondRegistrar: true, drop: true, lapsed: true},
	} {
		table := New()
		table.ApplyUpdate(timeAt(0), "core:1", update)
		if c.secondRegistrar {
			table.ApplyUpdate(timeAt(0), "core:2", update)
		}
		for ms := time.Duration(0); ms < 4000; ms += 50 {
			now := timeAt(ms * time.Millisecond)
			if c.heartbeats && ms%300 == 0 {
				if !c.drop || ms < 1500 {
					must.True(t, table.ApplyHeartbeat(now, "core:1", update.Checksum), must.Sprint(name))
				} else {
					must.True(t, table.ApplyHeartbeat(now, "core:1", 0), must.Sprint(name))
				}
				if c.secondRegistrar {
					must.True(t, table.ApplyHeartbeat(now, "core:2", update.Checksum))
				}
			}
			if c.drop && ms == 1450 {
				table.ApplyUpdate(now, "core:1", removal)
			}
			if c.direct && ms%400 == 0 {
				_, fail := table.Renew(now, record.Renewal{Node: "a", LeaseEpoch: 1, Seq: 1, Number: uint64(ms)})
				must.Nil(t, fail)
			}
			table.Tick(now)
			if ms < 1400 {
				must.False(t, isLapsed(t, table, "a"), must.Sprintf("%s at %d", name, ms))
			}
		}
		must.Eq(t, c.lapsed, isLapsed(t, table, "a"), must.Sprint(name))
		must.Eq(t, 0, len(table.SilentNodes(timeAt(20*time.Second), []ident.Node{"a"})), must.Sprint(name))
		must.Eq(t, 1, len(table.SilentNodes(timeAt(40*time.Second), []ident.Node{"a"})), must.Sprint(name))
	}
}

// A renewal without a report is applied only by a core that has the report. A renewal of a
// superseded lease is rejected by every core that knows the newer lease.
func TestRenewalsWithoutAReport(t *testing.T) {
	registrar := New()
	_, _ = registrar.Renew(timeAt(0), newRenewal("a", 2, 3, 1))
	update, _ := registrar.PendingUpdate()
	for _, c := range []struct {
		leaseEpoch   ident.LeaseEpoch
		seq          uint64
		knowsReport  bool
		reportWanted bool
		rejected     bool
	}{
		{2, 3, true, false, false}, {2, 4, true, true, false}, {3, 1, true, true, false}, {2, 2, true, false, false}, {1, 9, true, false, true},
		{2, 3, false, true, false}, {1, 9, false, true, false},
	} {
		table := New()
		if c.knowsReport {
			table.ApplyUpdate(timeAt(0), "core:1", update)
		}
		got, fail := table.Renew(timeAt(0), record.Renewal{Node: "a", LeaseEpoch: c.leaseEpoch, Seq: c.seq, Number: 7})
		must.Eq(t, c.rejected, fail != nil, must.Sprintf("%+v", c))
		must.Eq(t, c.reportWanted, got.ReportRequired, must.Sprintf("%+v", c))
		_, registered := table.local.leases["a"]
		must.Eq(t, c.knowsReport && c.leaseEpoch == 2 && c.seq == 3, registered, must.Sprintf("%+v", c))
	}
}
