package table

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

func at(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

func renewal(n ident.Node, claim ident.Epoch, seq, beat uint64) record.Renewal {
	return record.Renewal{Node: n, LeaseEpoch: claim, Seq: seq, Beat: beat, Report: &record.Report{Node: n, LeaseEpoch: claim, Seq: seq}}
}

func lapsed(t *testing.T, l *Table, n ident.Node) bool {
	for _, m := range l.Members() {
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
		k, due := registrar.PendingUpdate()
		must.True(t, due)
		updates = append(updates, k)
		list := map[ident.Node]leaseVersion{}
		for n, m := range registrar.local.leases {
			list[n] = m
		}
		announced[k.Sum] = list
	}
	step(func() { _, _ = registrar.Renew(at(0), renewal("a", 1, 1, 1)) })
	step(func() { _, _ = registrar.Renew(at(0), renewal("b", 1, 1, 1)) })
	step(func() { _, _ = registrar.Renew(at(0), renewal("a", 1, 2, 2)) })
	step(func() { // b falls silent
		_, _ = registrar.Renew(at(2*time.Second), renewal("a", 1, 2, 3))
		registrar.Tick(at(2 * time.Second))
	})
	whole, ok := registrar.FullUpdate()
	must.True(t, ok)
	const heartbeat = 4
	took, rejected := 0, 0
	for n := range 5 * 5 * 5 * 5 * 5 * 5 {
		l, now := New(), at(2*time.Second)
		for x, i := n, 0; i < 6; x, i = x/5, i+1 {
			now = now.Add(10 * time.Millisecond)
			if x%5 != heartbeat {
				l.ApplyUpdate(now, "k:1", updates[x%5])
				continue
			}
			if l.Heartbeat(now, "k:1", whole.Sum) {
				took++
				must.Eq(t, announced[whole.Sum], l.registrars["k:1"].leases, must.Sprintf("order %d", n))
				must.False(t, lapsed(t, l, "a"))
			} else {
				rejected++
			}
		}
		_, fits := l.ApplyUpdate(now, "k:1", whole)
		must.True(t, fits)
		must.True(t, l.Heartbeat(now, "k:1", whole.Sum))
		must.Eq(t, announced[whole.Sum], l.registrars["k:1"].leases)
		must.Eq(t, uint64(2), l.entries["a"].report.Seq)
	}
	must.Positive(t, took)
	must.Positive(t, rejected)
}

// Whose registrar falls silent, drops it or is another now: a node's lease holds as long as
// anybody hears it, and lapses when nobody does.
func TestLeaseLapsesOnlyWhenNobodyHearsIt(t *testing.T) {
	one := func(n ident.Node) Update {
		k := New()
		_, _ = k.Renew(at(0), renewal(n, 1, 1, 1))
		out, _ := k.PendingUpdate()
		return out
	}
	kept, gone := one("a"), Update{Gone: []ident.Node{"a"}}
	gone.Base = kept.Sum
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
		l := New()
		l.ApplyUpdate(at(0), "k:1", kept)
		if c.second {
			l.ApplyUpdate(at(0), "k:2", kept)
		}
		for ms := time.Duration(0); ms < 4000; ms += 50 {
			now := at(ms * time.Millisecond)
			if c.hellos && ms%300 == 0 {
				if !c.drop || ms < 1500 {
					must.True(t, l.Heartbeat(now, "k:1", kept.Sum), must.Sprint(name))
				} else {
					must.True(t, l.Heartbeat(now, "k:1", 0), must.Sprint(name))
				}
				if c.second {
					must.True(t, l.Heartbeat(now, "k:2", kept.Sum))
				}
			}
			if c.drop && ms == 1450 {
				l.ApplyUpdate(now, "k:1", gone)
			}
			if c.direct && ms%400 == 0 {
				_, d := l.Renew(now, record.Renewal{Node: "a", LeaseEpoch: 1, Seq: 1, Beat: uint64(ms)})
				must.Nil(t, d)
			}
			l.Tick(now)
			if ms < 1400 {
				must.False(t, lapsed(t, l, "a"), must.Sprintf("%s at %d", name, ms))
			}
		}
		must.Eq(t, c.lapsed, lapsed(t, l, "a"), must.Sprint(name))
		must.Eq(t, 0, len(l.Silent(at(20*time.Second), []ident.Node{"a"})), must.Sprint(name))
		must.Eq(t, 1, len(l.Silent(at(40*time.Second), []ident.Node{"a"})), must.Sprint(name))
	}
}

// A renewal without a report is taken only where the report is known, and a superseded
// lease is told so wherever it turns to.
func TestRenewalsWithoutAReport(t *testing.T) {
	k := New()
	_, _ = k.Renew(at(0), renewal("a", 2, 3, 1))
	kept, _ := k.PendingUpdate()
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
		l := New()
		if c.knows {
			l.ApplyUpdate(at(0), "k:1", kept)
		}
		got, d := l.Renew(at(0), record.Renewal{Node: "a", LeaseEpoch: c.claim, Seq: c.seq, Beat: 7})
		must.Eq(t, c.turns, d != nil, must.Sprintf("%+v", c))
		must.Eq(t, c.want, got.Want, must.Sprintf("%+v", c))
		_, here := l.local.leases["a"]
		must.Eq(t, c.knows && c.claim == 2 && c.seq == 3, here, must.Sprintf("%+v", c))
	}
}
