package plan

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/sim/world"
)

const (
	// herdReady is how soon after the return of a majority of the cores every sidecar must be
	// ready.
	herdReady = 3 * time.Second
	// herdLook is how often it is looked whether a majority is there, and whether another
	// fault disturbs.
	herdLook = 20 * time.Millisecond
	// herdWait is how long the return of a majority is waited for.
	herdWait = 20 * time.Second
	// startSpread is how far the starts of machines lie apart whose power comes back at once.
	startSpread = 200 * time.Millisecond
)

// herds are the faults that are only run when they are named, so that known seeds draw what
// they drew.
var herds = map[string]Fault{
	"herd-sidecars": (*Run).herdSidecars,
	"herd-power":    (*Run).herdPower,
	"zone-power":    (*Run).zonePower,
}

// herdSidecars kills every sidecar; they come back together.
func (r *Run) herdSidecars() time.Duration {
	gone := r.span(300*time.Millisecond, 2*time.Second)
	r.Say("all sidecars killed, back together in %v", gone)
	return r.powerLoss(nil, r.Sides, gone)
}

// herdPower takes the power of every machine; it comes back for all at once.
func (r *Run) herdPower() time.Duration {
	gone := r.span(500*time.Millisecond, 3*time.Second)
	r.Say("all machines lose power for %v", gone)
	return r.powerLoss(r.Cores, r.Sides, gone)
}

// zonePower takes the power of every machine of a district.
func (r *Run) zonePower() time.Duration {
	zone := district(r.d, r.Rng.IntN(r.d.Districts))
	gone := r.span(500*time.Millisecond, 3*time.Second)
	r.Say("all machines of %s lose power for %v", zone, gone)
	var cores []*world.Core
	var sides []*world.Side
	for _, c := range r.Cores {
		if c.District == zone {
			cores = append(cores, c)
		}
	}
	for _, s := range r.Sides {
		if s.District == zone {
			sides = append(sides, s)
		}
	}
	return r.powerLoss(cores, sides, gone)
}

// powerLoss ends machines at once, starts them together after a while, and judges that the
// sidecars are ready in time.
func (r *Run) powerLoss(cores []*world.Core, sides []*world.Side, gone time.Duration) time.Duration {
	r.loss("herd")
	for _, c := range cores {
		c.PowerOff()
		r.After(gone+r.span(0, startSpread), c.Start)
	}
	for _, s := range sides {
		s.Kill()
		r.After(gone+r.span(0, startSpread), s.Start)
	}
	r.After(gone+startSpread, func() { r.awaitMajority(sides, herdWait) })
	return gone + startSpread + 2*herdReady
}

// awaitMajority begins the judgement once a majority of the cores is there.
func (r *Run) awaitMajority(sides []*world.Side, left time.Duration) {
	switch {
	case left <= 0:
		r.Check.Excuse(check.HerdReady, "a majority of cores")
	case !r.Quorate():
		r.After(herdLook, func() { r.awaitMajority(sides, left-herdLook) })
	default:
		h := &herd{sides: sides, runs: map[ident.Node]int{}, from: r.Now()}
		for _, s := range sides {
			h.runs[s.Node] = s.Run()
		}
		r.judgeHerd(h)
	}
}

// herd is a set of sidecars that came together.
type herd struct {
	sides []*world.Side
	runs  map[ident.Node]int // which run of each
	from  monotime.Time      // when a majority of the cores was there
	ready bool               // all were ready once
}

// late counts those that are not ready.
func (h *herd) late() (n int) {
	for _, s := range h.sides {
		if !s.Ready() {
			n++
		}
	}
	return n
}

// judgeHerd watches until the time is over; a fault that disturbs excuses.
func (r *Run) judgeHerd(h *herd) {
	if !r.Calm() {
		r.Check.Excuse(check.HerdReady, "another fault")
		return
	}
	took := r.Now().Since(h.from)
	if !h.ready && h.late() == 0 {
		h.ready = true
		r.Say("all %d sidecars were ready %v after the majority", len(h.sides), took)
	}
	if took < herdReady {
		r.After(herdLook, func() { r.judgeHerd(h) })
		return
	}
	late := 0
	for _, s := range h.sides {
		if s.Run() != h.runs[s.Node] || !s.Thawed() {
			r.Check.Excuse(check.HerdReady, "a fault of its own")
			continue
		}
		r.Check.Look(check.HerdReady)
		if !s.Ready() {
			late++
		}
	}
	if late > 0 {
		r.Breach(check.HerdReady, "%d of %d sidecars were not ready %v after a majority of the cores was there", late, len(h.sides), herdReady)
	}
}
