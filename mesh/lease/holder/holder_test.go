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

// behavior is how a core responds to renewals.
type behavior string

const (
	answers behavior = ""
	refuses behavior = "refuses"
	silent  behavior = "silent"
	stale   behavior = "stale"
)

var failureBehaviors = []behavior{refuses, silent, stale}

// responseTime is how long a core takes to respond, or to refuse a connection.
const responseTime = 10 * time.Millisecond

// harness runs a holder against simulated cores.
type harness struct {
	holder       *Holder
	now          monotime.Time
	cores        []ident.Addr
	behavior     map[ident.Addr]behavior
	sent         []ident.Addr
	lastAccepted monotime.Time // when a core last accepted a renewal
	longestGap   time.Duration // the longest time without an accepted renewal
	pending      []delivery
}

// delivery is the result of a renewal and the time at which the holder receives the result.
type delivery struct {
	at      monotime.Time
	deliver func()
}

func newHarness() *harness {
	h := &harness{
		holder:   New(),
		now:      monotime.Time(time.Second),
		cores:    []ident.Addr{"a:1", "b:1", "c:1", "d:1"},
		behavior: map[ident.Addr]behavior{},
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
	switch h.behavior[core] {
	case refuses:
		h.deliverAfter(responseTime, func() { h.holder.HandleFailure(h.now, core) })
	case silent:
		h.deliverAfter(RenewTimeout, func() { h.holder.HandleFailure(h.now, core) })
	default:
		h.longestGap, h.lastAccepted = max(h.longestGap, h.now.Since(h.lastAccepted)), h.now
		response := record.RenewalResponse{
			AcknowledgedRenewal: renewal.Number,
			Stale:               h.behavior[core] == stale,
			CoresVersion:        "v",
			Cores:               testCores,
		}
		h.deliverAfter(responseTime, func() { h.holder.HandleResponse(h.now, core, response) })
	}
}

func (h *harness) deliverAfter(delay time.Duration, deliver func()) {
	h.pending = append(h.pending, delivery{h.now.Add(delay), deliver})
}

// However the registrar fails, another core accepts the renewals before the lease lapses. The new
// registrar is in the sidecar's own zone while that zone has a healthy core, and the original
// registrar is chosen again once it is healthy.
func TestRegistrarIsReplacedBeforeLeaseExpires(t *testing.T) {
	for _, how := range failureBehaviors {
		h := newHarness()
		h.run(5 * time.Second)
		registrar := h.holder.Registrar()
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, registrar)
		h.behavior[registrar], h.longestGap = how, 0
		h.run(20 * time.Second)
		must.Less(t, leasetable.LeaseTTL, h.longestGap, must.Sprint(how))
		must.NotEq(t, registrar, h.sent[len(h.sent)-1])
		must.SliceContains(t, []ident.Addr{"c:1", "d:1"}, h.holder.Registrar(), must.Sprint("the other core of the zone"))
		must.Eq(t, h.holder.Registrar(), h.holder.PollTarget(), must.Sprint(how))
		h.behavior[registrar] = answers
		h.run(20 * time.Second)
		must.Eq(t, registrar, h.holder.Registrar(), must.Sprint(how))
		must.Less(t, leasetable.LeaseTTL, h.longestGap, must.Sprint(how))
	}
}

// The poll target stays the same while no core responds in time, whichever registrar is chosen
// meanwhile, and changes as soon as another core responds.
func TestPollTargetStaysUntilAnotherCoreResponds(t *testing.T) {
	h := newHarness()
	h.run(5 * time.Second)
	pollTarget := h.holder.PollTarget()
	must.Eq(t, pollTarget, h.holder.Registrar())
	for _, core := range h.cores {
		h.behavior[core] = silent
	}
	changed := false
	for range 100 {
		h.run(100 * time.Millisecond)
		changed = changed || h.holder.Registrar() != pollTarget
		must.Eq(t, pollTarget, h.holder.PollTarget())
	}
	must.True(t, changed)
	for _, core := range h.cores {
		if core != pollTarget {
			h.behavior[core] = answers
		}
	}
	h.run(3 * time.Second)
	must.NotEq(t, pollTarget, h.holder.PollTarget())
	must.Eq(t, h.holder.Registrar(), h.holder.PollTarget())
}

// While no core is healthy, renewals are sent at most at the usual rate, each to at most three
// cores, and the first core that is healthy again accepts a renewal within 1.5 seconds.
func TestRenewalRateAndRecoveryWithoutHealthyCore(t *testing.T) {
	for _, how := range failureBehaviors {
		h := newHarness()
		h.run(5 * time.Second)
		for _, core := range h.cores {
			h.behavior[core] = how
		}
		h.run(60 * time.Second)
		sentBefore := len(h.sent)
		h.run(20 * time.Second)
		must.LessEq(t, 3*51, len(h.sent)-sentBefore, must.Sprint(how))
		h.behavior["b:1"], h.lastAccepted = answers, h.now
		h.longestGap = 0
		h.run(5 * time.Second)
		must.Less(t, 1500*time.Millisecond, h.longestGap, must.Sprint(how))
	}
}

// MajorityAsOf is the time at which the newest acknowledged renewal was sent, in whatever order the
// acknowledgements arrive, and never decreases.
func TestMajorityAsOfNeverDecreases(t *testing.T) {
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

// While every core is avoided, a core that responded too late is preferred to silent cores, and
// stays the registrar.
func TestLateCoreIsPreferredToSilentCores(t *testing.T) {
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
