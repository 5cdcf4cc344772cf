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

// behaviour is how a core answers renewals.
type behaviour string

const (
	answers behaviour = ""
	refuses behaviour = "refuses"
	silent  behaviour = "silent"
	stale   behaviour = "stale"
)

var failing = []behaviour{refuses, silent, stale}

// answerTime is how long a core takes to answer, or to refuse a connection.
const answerTime = 10 * time.Millisecond

// harness drives a holder against cores.
type harness struct {
	holder       *Holder
	now          monotime.Time
	cores        []ident.Addr
	behaviour    map[ident.Addr]behaviour
	sent         []ident.Addr
	lastAccepted monotime.Time // the last renewal that a core accepted
	gap          time.Duration // the longest time without one
	pending      []delivery
}

// delivery is the result of a renewal, which the holder gets at a time.
type delivery struct {
	at      monotime.Time
	deliver func()
}

func newHarness() *harness {
	h := &harness{
		holder:    New(),
		now:       monotime.Time(time.Second),
		cores:     []ident.Addr{"a:1", "b:1", "c:1", "d:1"},
		behaviour: map[ident.Addr]behaviour{},
	}
	h.lastAccepted = h.now
	return h
}

var testCores = []record.CoreLocation{
	{Addr: "a:1", Zone: "x"},
	{Addr: "b:1", Zone: "x"},
	{Addr: "c:1", Zone: "y"},
	{Addr: "d:1", Zone: "y"},
}

func (h *harness) run(span time.Duration) {
	for end := h.now.Add(span); h.now < end; h.now = h.now.Add(10 * time.Millisecond) {
		due := h.pending
		h.pending = nil
		for _, result := range due {
			if result.at > h.now {
				h.pending = append(h.pending, result)
				continue
			}
			result.deliver()
		}
		h.holder.ChooseRegistrar(h.now, "n", "y", h.cores)
		h.holder.PollTarget()
		if !h.holder.RenewalDue(h.now, false) {
			continue
		}
		targets := h.holder.Targets()
		renewal := h.holder.BeginRenewal(h.now, record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}, nil)
		for _, core := range targets {
			h.send(core, renewal)
		}
	}
}

func (h *harness) send(core ident.Addr, renewal record.Renewal) {
	h.sent = append(h.sent, core)
	switch h.behaviour[core] {
	case refuses:
		h.deliverAfter(answerTime, func() { h.holder.HandleFailure(h.now, core) })
	case silent:
		h.deliverAfter(RenewTimeout, func() { h.holder.HandleFailure(h.now, core) })
	default:
		h.gap, h.lastAccepted = max(h.gap, h.now.Since(h.lastAccepted)), h.now
		response := record.RenewalResponse{
			AcknowledgedRenewal: renewal.Number,
			Stale:               h.behaviour[core] == stale,
			CoresVersion:        "v",
			Cores:               testCores,
		}
		h.deliverAfter(answerTime, func() { h.holder.HandleResponse(h.now, core, response) })
	}
}

func (h *harness) deliverAfter(delay time.Duration, deliver func()) {
	h.pending = append(h.pending, delivery{h.now.Add(delay), deliver})
}

// However a registrar fails, another one takes the renewals before the lease lapses, of the own
// zone while there is one; the first is the registrar again once it is healthy.
func TestRegistrarIsReplacedInTime(t *testing.T) {
	for _, how := range failing {
		h := newHarness()
		h.run(5 * time.Second)
		registrar := h.holder.Registrar()
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, registrar)
		h.behaviour[registrar], h.gap = how, 0
		h.run(20 * time.Second)
		must.Less(t, leasetable.LeaseTTL, h.gap, must.Sprint(how))
		must.NotEq(t, registrar, h.sent[len(h.sent)-1])
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, h.holder.Registrar(), must.Sprint("the other core of the zone"))
		must.Eq(t, h.holder.Registrar(), h.holder.PollTarget(), must.Sprint(how))
		h.behaviour[registrar] = answers
		h.run(20 * time.Second)
		must.Eq(t, registrar, h.holder.Registrar(), must.Sprint(how))
		must.Less(t, leasetable.LeaseTTL, h.gap, must.Sprint(how))
	}
}

// The core that is followed stays the same while no core answers in time, whatever registrar is
// chosen meanwhile, and changes as soon as another one answers.
func TestFollowedCoreStaysUntilAnotherAnswers(t *testing.T) {
	h := newHarness()
	h.run(5 * time.Second)
	followed := h.holder.PollTarget()
	must.Eq(t, followed, h.holder.Registrar())
	for _, core := range h.cores {
		h.behaviour[core] = silent
	}
	changed := false
	for range 100 {
		h.run(100 * time.Millisecond)
		changed = changed || h.holder.Registrar() != followed
		must.Eq(t, followed, h.holder.PollTarget())
	}
	must.True(t, changed)
	for _, core := range h.cores {
		if core != followed {
			h.behaviour[core] = answers
		}
	}
	h.run(3 * time.Second)
	must.NotEq(t, followed, h.holder.PollTarget())
	must.Eq(t, h.holder.Registrar(), h.holder.PollTarget())
}

// When no core is healthy, renewals are not sent faster than usual, to three cores each, and the
// first core that is healthy again is found within a second and a half.
func TestNobodyIsHealthy(t *testing.T) {
	for _, how := range failing {
		h := newHarness()
		h.run(5 * time.Second)
		for _, core := range h.cores {
			h.behaviour[core] = how
		}
		h.run(60 * time.Second)
		sentBefore := len(h.sent)
		h.run(20 * time.Second)
		must.LessEq(t, 3*51, len(h.sent)-sentBefore, must.Sprint(how))
		h.behaviour["b:1"], h.lastAccepted = answers, h.now
		h.gap = 0
		h.run(5 * time.Second)
		must.Less(t, 1500*time.Millisecond, h.gap, must.Sprint(how))
	}
}

// MajorityAsOf is the time at which the acknowledged renewal was sent, whatever order the
// acknowledgements come in, and never goes back.
func TestMajorityNeverGoesBack(t *testing.T) {
	sent := []monotime.Time{}
	holder := New()
	for i := range 4 {
		now := monotime.Time(time.Second) * monotime.Time(i+1)
		holder.ChooseRegistrar(now, "n", "y", []ident.Addr{"a:1"})
		holder.BeginRenewal(now, record.Report{Node: "n", LeaseEpoch: 1, Seq: 1}, nil)
		sent = append(sent, now)
		holder.HandleResponse(now, "a:1", record.RenewalResponse{})
	}
	must.Eq(t, monotime.Time(0), holder.MajorityAsOf())
	for order := range 256 {
		shuffled, newest := *holder, monotime.Time(0)
		for _, i := range []int{order % 4, order / 4 % 4, order / 16 % 4, order / 64} {
			shuffled.HandleResponse(monotime.Time(time.Minute), "a:1", record.RenewalResponse{AcknowledgedRenewal: uint64(i + 1)})
			newest = max(newest, sent[i])
			must.Eq(t, newest, shuffled.MajorityAsOf())
		}
	}
}

// While every core is avoided, one that answered too late goes before the silent ones, and stays
// the registrar.
func TestLateCoreGoesBeforeSilentOnes(t *testing.T) {
	cores := []ident.Addr{"a:1", "b:1", "c:1", "d:1"}
	for _, late := range cores {
		holder, now := New(), monotime.Time(time.Second)
		holder.SetCores("v", testCores)
		for _, core := range cores {
			holder.ChooseRegistrar(now, "n", "y", cores)
			holder.BeginRenewal(now, record.Report{Node: "n"}, nil)
			holder.HandleFailure(now, core)
		}
		holder.HandleLateResponse(late, record.RenewalResponse{})
		for range 3 {
			must.Eq(t, late, holder.ChooseRegistrar(now, "n", "y", cores))
			now = now.Add(100 * time.Millisecond)
		}
	}
}
