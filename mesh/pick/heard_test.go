package pick

import (
	"fmt"
	"testing"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry/index"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"github.com/shoenig/test/must"
)

func many(n int) (all []index.Entry) {
	for i := range n {
		all = append(all, entry(i, record.Healthy))
	}
	return all
}

// counts chooses many times at one moment; what is chosen is not sent.
func counts(p *Picker, after time.Duration, all []index.Entry) map[ident.Server]int {
	out := map[ident.Server]int{}
	for range 1000 {
		e, _ := p.ChooseFor(now.Add(after), "w", all, nil)
		out[e.UID]++
	}
	return out
}

// What a gate tells turns the choice at once, and less and less as it gets old.
func TestWhatGatesTellTurnsTheChoice(t *testing.T) {
	calm := loadreport.Report{Running: 2, Slots: 6, RelativeTime: 1}
	for name, told := range map[string]loadreport.Report{
		"full":    {Running: 7, Waiting: 6, Slots: 6, RelativeTime: 1},
		"slow":    {Running: 2, Slots: 6, RelativeTime: 5},
		"failing": {Running: 0, Slots: 6, RelativeTime: 1, FailureRate: 0.5},
	} {
		p, all := New("d", 1), many(4)
		counts(p, 0, all)
		for _, e := range all {
			p.Heard(now, e.UID, calm)
		}
		p.Heard(now, "e1", told)
		must.Eq(t, 0, counts(p, 0, all)["e1"], must.Sprint(name))
		must.Positive(t, counts(p, time.Minute, all)["e1"], must.Sprint(name))
		p.Heard(now.Add(time.Second), "e1", calm)
		must.Positive(t, counts(p, time.Second, all)["e1"], must.Sprint(name))
	}
}

// Own requests that the gate has not told of yet count on top; those it told of do not
// count twice.
func TestOwnRequestsCountOnce(t *testing.T) {
	p, all := New("d", 1), many(2)
	counts(p, 0, all)
	for range 3 {
		p.Sent("e0")
	}
	p.Heard(now, "e0", loadreport.Report{Running: 3, Slots: 6, RelativeTime: 1})
	p.Heard(now, "e1", loadreport.Report{Running: 3, Slots: 6, RelativeTime: 1})
	must.Between(t, 400, counts(p, 0, all)["e0"], 600)
	for range 3 {
		p.Sent("e0")
	}
	must.Less(t, 100, counts(p, 0, all)["e0"])
	for range 6 {
		p.Back(now, all[0], false, false)
	}
	must.Between(t, 400, counts(p, 0, all)["e0"], 600)
}

// Those that fail are left out, but never more than a part of a service, and the last is
// taken whatever it does; a service that fails as a whole has nobody left out.
func TestNeverMoreThanAPartIsLeftOut(t *testing.T) {
	for ill := range 7 {
		p, all := New("d", 1), many(6)
		counts(p, 0, all)
		for i, e := range all {
			b := loadreport.Report{Running: 2, Slots: 6, RelativeTime: 1}
			if i < ill {
				b.FailureRate = 0.6
			}
			p.Heard(now, e.UID, b)
		}
		out := 0
		for _, e := range all {
			if p.Must(now, e.UID) {
				out++
			}
		}
		must.LessEq(t, ill, out)
		seen := counts(p, 0, all)
		for i := range ill {
			if ill <= 2 {
				must.Eq(t, 0, seen[all[i].UID], must.Sprintf("%d ill", ill))
			}
		}
		if ill == 6 {
			must.MapLen(t, 6, seen)
		}
	}
	p, all := New("d", 1), many(1)
	counts(p, 0, all)
	p.Heard(now, "e0", loadreport.Report{Running: 30, Slots: 6, RelativeTime: 50, FailureRate: 1})
	must.Eq(t, 1000, counts(p, 0, all)["e0"])
}

// A large return stays in its district while that is not much busier; a small one does not
// mind.
func TestLargeReturnsStayNear(t *testing.T) {
	p, all := New("d", 1), many(2)
	all[1].District = "other"
	p.Cross = time.Millisecond
	count := func(way string) (far int) {
		for range 1000 {
			e, _ := p.ChooseFor(now, way, all, nil)
			if e.UID == "e1" {
				far++
			}
		}
		return far
	}
	for range 100 {
		p.Ran(now, "large", 50*time.Millisecond, 90<<10)
		p.Ran(now, "small", 50*time.Millisecond, 1<<10)
	}
	must.Eq(t, 50*time.Millisecond, p.Work("large"))
	must.Eq(t, 0, count("large"))
	must.Between(t, 30, count("small"), 600)
	p.Heard(now, "e1", loadreport.Report{Running: 1, Slots: 6, RelativeTime: 1})
	p.Heard(now, "e0", loadreport.Report{Running: 7, Waiting: 20, Slots: 6, RelativeTime: 1})
	must.Eq(t, 1000, count("large"))
}

// A workload that came after the others is taken to be slow until its gate has told.
func TestNewcomersAreProbedGently(t *testing.T) {
	p, all := New("d", 1), many(4)
	counts(p, 0, all[:3])
	must.Eq(t, 0, counts(p, 0, all)["e3"])
	for range 12 {
		p.Sent("e0")
		p.Sent("e1")
		p.Sent("e2")
	}
	must.Positive(t, counts(p, 0, all)["e3"])
	p.Heard(now, "e3", loadreport.Report{Slots: 6, RelativeTime: 1})
	must.Eq(t, 1000, counts(p, 0, all)["e3"])
}

// A choice makes nothing that must be collected again.
func TestChoiceAllocatesNothing(t *testing.T) {
	p, all := New("d", 1), many(53)
	must.Eq(t, 0, testing.AllocsPerRun(100, func() { p.ChooseFor(now, "w", all, nil) }))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{6, 10, 53} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, all := New("d", 1), many(n)
			p.ChooseFor(now, "w", all, nil)
			for _, e := range all {
				p.Heard(now, e.UID, loadreport.Report{Running: 2, Slots: 6, RelativeTime: 1})
			}
			for b.Loop() {
				p.ChooseFor(now, "w", all, nil)
			}
		})
	}
}
