package holder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/lease/table"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// rig drives a holder against cores that answer, refuse, say nothing or are stale.
type rig struct {
	holder    *Holder
	now       monotime.Time
	cores     []ident.Addr
	behaviour map[ident.Addr]string
	sent      []ident.Addr
	lastTaken monotime.Time // last renewal that a core took
	gap       time.Duration // the longest without one
	out       []end
}

type end struct {
	at monotime.Time
	do func()
}

func newRig() *rig {
	r := &rig{holder: New(), now: monotime.Time(time.Second), cores: []ident.Addr{"a:1", "b:1", "c:1", "d:1"}, behaviour: map[ident.Addr]string{}}
	r.lastTaken = r.now
	return r
}

var places = []record.Place{{Addr: "a:1", District: "x"}, {Addr: "b:1", District: "x"}, {Addr: "c:1", District: "y"}, {Addr: "d:1", District: "y"}}

func (r *rig) run(d time.Duration) {
	for end := r.now.Add(d); r.now < end; r.now = r.now.Add(10 * time.Millisecond) {
		list := r.out
		r.out = nil
		for _, e := range list {
			if e.at > r.now {
				r.out = append(r.out, e)
				continue
			}
			e.do()
		}
		r.holder.ChooseRegistrar(r.now, "n", "y", r.cores)
		r.holder.Followed()
		if !r.holder.Due(r.now, false) {
			continue
		}
		to := r.holder.Targets()
		b := r.holder.Begin(r.now, record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}, nil)
		for _, a := range to {
			r.send(a, b)
		}
	}
}

func (r *rig) send(to ident.Addr, b record.Renewal) {
	r.sent = append(r.sent, to)
	switch r.behaviour[to] {
	case "refuse":
		r.out = append(r.out, end{r.now.Add(10 * time.Millisecond), func() { r.holder.Failed(r.now, to) }})
	case "silent":
		r.out = append(r.out, end{r.now.Add(RenewTimeout), func() { r.holder.Failed(r.now, to) }})
	default:
		r.gap, r.lastTaken = max(r.gap, r.now.Since(r.lastTaken)), r.now
		stale := r.behaviour[to] == "stale"
		r.out = append(r.out, end{r.now.Add(10 * time.Millisecond), func() {
			r.holder.Renewed(r.now, to, record.Renewed{Took: b.Beat, Stale: stale, View: "v", Cores: places})
		}})
	}
}

// However a registrar ends, another takes the next renewals before the lease lapses; the one
// of the own district comes back when it is healthy again.
func TestRegistrarIsReplacedInTime(t *testing.T) {
	for _, how := range []string{"refuse", "silent", "stale"} {
		r := newRig()
		r.run(5 * time.Second)
		home := r.holder.Registrar()
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, home)
		r.behaviour[home], r.gap = how, 0
		r.run(20 * time.Second)
		must.Less(t, table.LeaseTTL, r.gap, must.Sprint(how))
		must.NotEq(t, home, r.sent[len(r.sent)-1])
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, r.holder.Registrar(), must.Sprint("the other of the district"))
		must.Eq(t, r.holder.Registrar(), r.holder.Followed(), must.Sprint(how))
		r.behaviour[home] = ""
		r.run(20 * time.Second)
		must.Eq(t, home, r.holder.Registrar(), must.Sprint(how))
		must.Less(t, table.LeaseTTL, r.gap, must.Sprint(how))
	}
}

// The core that is followed stays the same while no core answers in time, whatever registrar is
// chosen meanwhile, and is another one at once when that answers.
func TestFollowedCoreStaysUntilAnotherAnswers(t *testing.T) {
	r := newRig()
	r.run(5 * time.Second)
	home := r.holder.Followed()
	must.Eq(t, home, r.holder.Registrar())
	for _, core := range r.cores {
		r.behaviour[core] = "silent"
	}
	changed := false
	for range 100 {
		r.run(100 * time.Millisecond)
		changed = changed || r.holder.Registrar() != home
		must.Eq(t, home, r.holder.Followed())
	}
	must.True(t, changed)
	for _, core := range r.cores {
		if core != home {
			r.behaviour[core] = ""
		}
	}
	r.run(3 * time.Second)
	must.NotEq(t, home, r.holder.Followed())
	must.Eq(t, r.holder.Registrar(), r.holder.Followed())
}

// When nobody is healthy, renewals do not come faster than the usual, to three cores each, and
// the first core that is healthy again is found within a second and a half.
func TestNobodyIsHealthy(t *testing.T) {
	for _, how := range []string{"refuse", "silent", "stale"} {
		r := newRig()
		r.run(5 * time.Second)
		for _, c := range r.cores {
			r.behaviour[c] = how
		}
		r.run(60 * time.Second)
		before := len(r.sent)
		r.run(20 * time.Second)
		must.LessEq(t, 3*51, len(r.sent)-before, must.Sprint(how))
		r.behaviour["b:1"], r.lastTaken = "", r.now
		r.gap = 0
		r.run(5 * time.Second)
		must.Less(t, 1500*time.Millisecond, r.gap, must.Sprint(how))
	}
}

// What a majority has taken is reckoned from when that renewal was sent, whatever order
// the words of it come in.
func TestMajorityNeverGoesBack(t *testing.T) {
	sent := []monotime.Time{}
	h := New()
	for n := range 4 {
		now := monotime.Time(time.Second) * monotime.Time(n+1)
		h.ChooseRegistrar(now, "n", "y", []ident.Addr{"a:1"})
		h.Begin(now, record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}, nil)
		sent = append(sent, now)
		h.Renewed(now, "a:1", record.Renewed{})
	}
	must.Eq(t, monotime.Time(0), h.MajorityAsOf())
	for n := range 256 {
		x, top := *h, monotime.Time(0)
		for _, i := range []int{n % 4, n / 4 % 4, n / 16 % 4, n / 64} {
			x.Renewed(monotime.Time(time.Minute), "a:1", record.Renewed{Took: uint64(i + 1)})
			top = max(top, sent[i])
			must.Eq(t, top, x.MajorityAsOf())
		}
	}
}

// While every core is avoided, whichever answered too late goes before those that said
// nothing, and is kept to.
func TestLateCoreGoesBeforeSilentOnes(t *testing.T) {
	cores := []ident.Addr{"a:1", "b:1", "c:1", "d:1"}
	for _, late := range cores {
		h, now := New(), monotime.Time(time.Second)
		h.LearnCores("v", places)
		for _, core := range cores {
			h.ChooseRegistrar(now, "n", "y", cores)
			h.Begin(now, record.Report{Node: "n"}, nil)
			h.Failed(now, core)
		}
		h.Late(late, record.Renewed{})
		for range 3 {
			must.Eq(t, late, h.ChooseRegistrar(now, "n", "y", cores))
			now = now.Add(100 * time.Millisecond)
		}
	}
}
