package leasetable

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

func timeAt(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

func newRenewal(n ident.Node, leaseEpoch ident.Epoch, seq, number uint64) record.Renewal {
	return record.Renewal{Node: n, LeaseEpoch: leaseEpoch, Seq: seq, Number: number, Report: &record.Report{Node: n, LeaseEpoch: leaseEpoch, Seq: seq}}
}

func lapsed(t *testing.T, table *Table, n ident.Node) bool {
	for _, m := range table.Members() {
		if m.Node == n {
			return m.Lapsed
		}
	}
	t.Fatalf("%s is not known", n)
	return false
}

// Four updates of a registrar and its heartbeat, in every order, some lost and some doubled: what
// another core holds of it is right whenever a heartbeat is taken, and the whole list always
// repairs it.
func TestAllOrdersOfARegistrarsUpdates(t *testing.T) {
	registrar := New()
	var updates []Update
	announced := map[uint64]map[ident.Node]leaseVersion{}
	step := func(do func()) {
		do()
		update, due := registrar.PendingUpdate()
		must.True(t, due)
		updates = append(updates, update)
		list := map[ident.Node]leaseVersion{}
		for n, m := range registrar.local.leases {
			list[n] = m
		}
		announced[update.Sum] = list
	}
	step(func() { _, _ = registrar.Renew(timeAt(0), newRenewal("a", 1, 1, 1)) })
	step(func() { _, _ = registrar.Renew(timeAt(0), newRenewal("b", 1, 1, 1)) })
	step(func() { _, _ = registrar.Renew(timeAt(0), newRenewal("a", 1, 2, 2)) })
	step(func() { // b falls silent
		_, _ = registrar.Renew(timeAt(2*time.Second), newRenewal("a", 1, 2, 3))
		registrar.Tick(timeAt(2 * time.Second))
	})
	full, ok := registrar.FullUpdate()
	must.True(t, ok)
	const heartbeat = 4
	accepted, rejected := 0, 0
	for n := range 5 * 5 * 5 * 5 * 5 * 5 {
		table, now := New(), timeAt(2*time.Second)
		for x, i := n, 0; i < 6; x, i = x/5, i+1 {
			now = now.Add(10 * time.Millisecond)
			if x%5 != heartbeat {
				table.ApplyUpdate(now, "k:1", updates[x%5])
				continue
			}
			if table.Heartbeat(now, "k:1", full.Sum) {
				accepted++
				must.Eq(t, announced[full.Sum], table.registrars["k:1"].leases, must.Sprintf("order %d", n))
				must.False(t, lapsed(t, table, "a"))
			} else {
				rejected++
			}
		}
		_, fits := table.ApplyUpdate(now, "k:1", full)
		must.True(t, fits)
		must.True(t, table.Heartbeat(now, "k:1", full.Sum))
		must.Eq(t, announced[full.Sum], table.registrars["k:1"].leases)
		must.Eq(t, uint64(2), table.entries["a"].report.Seq)
	}
	must.Positive(t, accepted)
	must.Positive(t, rejected)
}

// Whose registrar falls silent, drops it or is another now: a node's lease holds as long as
// anybody hears it, and lapses when nobody does.
func TestLeaseLapsesOnlyWhenNobodyHearsIt(t *testing.T) {
	updateOf := func(n ident.Node) Update {
		k := New()
		_, _ = k.Renew(timeAt(0), newRenewal(n, 1, 1, 1))
		out, _ := k.PendingUpdate()
		return out
	}
	update, removal := updateOf("a"), Update{Removed: []ident.Node{"a"}}
	removal.BaseSum = update.Sum
	for name, c := range map[string]struct {
		second, hellos, drop, direct bool
		lapsed                       bool
	}{
		"the registrar sends its heartbeat":              {hellos: true},
		"the registrar is silent":                        {lapsed: true},
		"the registrar dropped it":                       {hellos: true, drop: true, lapsed: true},
		"another registrar has it":                       {second: true, hellos: true, drop: true},
		"it renews here":                                 {direct: true},
		"it renews here and its old registrar drops it":  {direct: true, hellos: true, drop: true},
		"two registrars had it and both are silent now":  {second: true, lapsed: true},
		"its registrar dropped it and another is silent": {second: true, drop: true, lapsed: true},
	} {
		table := New()
		table.ApplyUpdate(timeAt(0), "k:1", update)
		if c.second {
			table.ApplyUpdate(timeAt(0), "k:2", update)
		}
		for ms := time.Duration(0); ms < 4000; ms += 50 {
			now := timeAt(ms * time.Millisecond)
			if c.hellos && ms%300 == 0 {
				if !c.drop || ms < 1500 {
					must.True(t, table.Heartbeat(now, "k:1", update.Sum), must.Sprint(name))
				} else {
					must.True(t, table.Heartbeat(now, "k:1", 0), must.Sprint(name))
				}
				if c.second {
					must.True(t, table.Heartbeat(now, "k:2", update.Sum))
				}
			}
			if c.drop && ms == 1450 {
				table.ApplyUpdate(now, "k:1", removal)
			}
			if c.direct && ms%400 == 0 {
				_, d := table.Renew(now, record.Renewal{Node: "a", LeaseEpoch: 1, Seq: 1, Number: uint64(ms)})
				must.Nil(t, d)
			}
			table.Tick(now)
			if ms < 1400 {
				must.False(t, lapsed(t, table, "a"), must.Sprintf("%s at %d", name, ms))
			}
		}
		must.Eq(t, c.lapsed, lapsed(t, table, "a"), must.Sprint(name))
		must.Eq(t, 0, len(table.Silent(timeAt(20*time.Second), []ident.Node{"a"})), must.Sprint(name))
		must.Eq(t, 1, len(table.Silent(timeAt(40*time.Second), []ident.Node{"a"})), must.Sprint(name))
	}
}

// A renewal without a report is taken only where the report is known, and a superseded
// lease is told so wherever it turns to.
func TestRenewalsWithoutAReport(t *testing.T) {
	k := New()
	_, _ = k.Renew(timeAt(0), newRenewal("a", 2, 3, 1))
	update, _ := k.PendingUpdate()
	for _, c := range []struct {
		claim ident.Epoch
		seq   uint64
		knows bool
		want  bool
		turns bool
	}{
		{2, 3, true, false, false}, {2, 4, true, true, false}, {3, 1, true, true, false}, {2, 2, true, false, false}, {1, 9, true, false, true},
		{2, 3, false, true, false}, {1, 9, false, true, false},
	} {
		table := New()
		if c.knows {
			table.ApplyUpdate(timeAt(0), "k:1", update)
		}
		got, d := table.Renew(timeAt(0), record.Renewal{Node: "a", LeaseEpoch: c.claim, Seq: c.seq, Number: 7})
		must.Eq(t, c.turns, d != nil, must.Sprintf("%+v", c))
		must.Eq(t, c.want, got.ReportWanted, must.Sprintf("%+v", c))
		_, here := table.local.leases["a"]
		must.Eq(t, c.knows && c.claim == 2 && c.seq == 3, here, must.Sprintf("%+v", c))
	}
}
