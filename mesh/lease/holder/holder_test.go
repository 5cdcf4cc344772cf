package holder

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/leasetable"
	"cottonarch.example/cottonarch/control/registry/record"
)

// harness drives a holder against cores that answer, refuse, say nothing or are stale.
type harness struct {
	holder       *Holder
	now          monotime.Time
	cores        []ident.Addr
	behaviour    map[ident.Addr]string
	sent         []ident.Addr
	lastAccepted monotime.Time // last renewal that a core took
	gap          time.Duration // the longest without one
	pending      []delivery
}

type delivery struct {
	at      monotime.Time
	deliver func()
}

func newHarness() *harness {
	r := &harness{holder: New(), now: monotime.Time(time.Second), cores: []ident.Addr{"a:1", "b:1", "c:1", "d:1"}, behaviour: map[ident.Addr]string{}}
	r.lastAccepted = r.now
	return r
}

var testCores = []record.CoreLocation{{Addr: "a:1", Zone: "x"}, {Addr: "b:1", Zone: "x"}, {Addr: "c:1", Zone: "y"}, {Addr: "d:1", Zone: "y"}}

func (r *harness) run(d time.Duration) {
	for end := r.now.Add(d); r.now < end; r.now = r.now.Add(10 * time.Millisecond) {
		due := r.pending
		r.pending = nil
		for _, e := range due {
			if e.at > r.now {
				r.pending = append(r.pending, e)
				continue
			}
			e.deliver()
		}
		r.holder.ChooseRegistrar(r.now, "n", "y", r.cores)
		r.holder.Followed()
		if !r.holder.RenewalDue(r.now, false) {
			continue
		}
		targets := r.holder.Targets()
		renewal := r.holder.BeginRenewal(r.now, record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}, nil)
		for _, a := range targets {
			r.send(a, renewal)
		}
	}
}

func (r *harness) send(core ident.Addr, renewal record.Renewal) {
	r.sent = append(r.sent, core)
	switch r.behaviour[core] {
	case "refuse":
		r.pending = append(r.pending, delivery{r.now.Add(10 * time.Millisecond), func() { r.holder.HandleFailure(r.now, core) }})
	case "silent":
		r.pending = append(r.pending, delivery{r.now.Add(RenewTimeout), func() { r.holder.HandleFailure(r.now, core) }})
	default:
		r.gap, r.lastAccepted = max(r.gap, r.now.Since(r.lastAccepted)), r.now
		stale := r.behaviour[core] == "stale"
		r.pending = append(r.pending, delivery{r.now.Add(10 * time.Millisecond), func() {
			r.holder.HandleResponse(r.now, core, record.RenewalResponse{AcknowledgedRenewal: renewal.Number, Stale: stale, CoresVersion: "v", Cores: testCores})
		}})
	}
}

// However a registrar ends, another takes the next renewals before the lease lapses; the one
// of the own district comes back when it is healthy again.
func TestRegistrarIsReplacedInTime(t *testing.T) {
	for _, behaviour := range []string{"refuse", "silent", "stale"} {
		r := newHarness()
		r.run(5 * time.Second)
		registrar := r.holder.Registrar()
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, registrar)
		r.behaviour[registrar], r.gap = behaviour, 0
		r.run(20 * time.Second)
		must.Less(t, leasetable.LeaseTTL, r.gap, must.Sprint(behaviour))
		must.NotEq(t, registrar, r.sent[len(r.sent)-1])
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, r.holder.Registrar(), must.Sprint("the other of the district"))
		must.Eq(t, r.holder.Registrar(), r.holder.Followed(), must.Sprint(behaviour))
		r.behaviour[registrar] = ""
		r.run(20 * time.Second)
		must.Eq(t, registrar, r.holder.Registrar(), must.Sprint(behaviour))
		must.Less(t, leasetable.LeaseTTL, r.gap, must.Sprint(behaviour))
	}
}

// The core that is followed stays the same while no core answers in time, whatever registrar is
// chosen meanwhile, and is another one at once when that answers.
func TestFollowedCoreStaysUntilAnotherAnswers(t *testing.T) {
	r := newHarness()
	r.run(5 * time.Second)
	followed := r.holder.Followed()
	must.Eq(t, followed, r.holder.Registrar())
	for _, core := range r.cores {
		r.behaviour[core] = "silent"
	}
	changed := false
	for range 100 {
		r.run(100 * time.Millisecond)
		changed = changed || r.holder.Registrar() != followed
		must.Eq(t, followed, r.holder.Followed())
	}
	must.True(t, changed)
	for _, core := range r.cores {
		if core != followed {
			r.behaviour[core] = ""
		}
	}
	r.run(3 * time.Second)
	must.NotEq(t, followed, r.holder.Followed())
	must.Eq(t, r.holder.Registrar(), r.holder.Followed())
}

// When nobody is healthy, renewals do not come faster than the usual, to three cores each, and
// the first core that is healthy again is found within a second and a half.
func TestNobodyIsHealthy(t *testing.T) {
	for _, behaviour := range []string{"refuse", "silent", "stale"} {
		r := newHarness()
		r.run(5 * time.Second)
		for _, c := range r.cores {
			r.behaviour[c] = behaviour
		}
		r.run(60 * time.Second)
		sentBefore := len(r.sent)
		r.run(20 * time.Second)
		must.LessEq(t, 3*51, len(r.sent)-sentBefore, must.Sprint(behaviour))
		r.behaviour["b:1"], r.lastAccepted = "", r.now
		r.gap = 0
		r.run(5 * time.Second)
		must.Less(t, 1500*time.Millisecond, r.gap, must.Sprint(behaviour))
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
		h.BeginRenewal(now, record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}, nil)
		sent = append(sent, now)
		h.HandleResponse(now, "a:1", record.RenewalResponse{})
	}
	must.Eq(t, monotime.Time(0), h.MajorityAsOf())
	for n := range 256 {
		shuffled, newest := *h, monotime.Time(0)
		for _, i := range []int{n % 4, n / 4 % 4, n / 16 % 4, n / 64} {
			shuffled.HandleResponse(monotime.Time(time.Minute), "a:1", record.RenewalResponse{AcknowledgedRenewal: uint64(i + 1)})
			newest = max(newest, sent[i])
			must.Eq(t, newest, shuffled.MajorityAsOf())
		}
	}
}

// While every core is avoided, whichever answered too late goes before those that said
// nothing, and is kept to.
func TestLateCoreGoesBeforeSilentOnes(t *testing.T) {
	cores := []ident.Addr{"a:1", "b:1", "c:1", "d:1"}
	for _, late := range cores {
		h, now := New(), monotime.Time(time.Second)
		h.SetCores("v", testCores)
		for _, core := range cores {
			h.ChooseRegistrar(now, "n", "y", cores)
			h.BeginRenewal(now, record.Report{Node: "n"}, nil)
			h.HandleFailure(now, core)
		}
		h.HandleLateResponse(late, record.RenewalResponse{})
		for range 3 {
			must.Eq(t, late, h.ChooseRegistrar(now, "n", "y", cores))
			now = now.Add(100 * time.Millisecond)
		}
	}
}
