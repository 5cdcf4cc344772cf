package plan

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/sim/world"
)

// Fault brings one failure about and says how long it lasts.
type Fault func(r *Run) time.Duration

// Faults are all that can go wrong.
var Faults map[string]Fault

func init() {
	Faults = map[string]Fault{
		"core-kill":        func(r *Run) time.Duration { return r.coreDown(false, false) },
		"core-power":       func(r *Run) time.Duration { return r.coreDown(true, false) },
		"core-empty":       func(r *Run) time.Duration { return r.coreDown(true, true) },
		"core-freeze":      (*Run).coreFreeze,
		"core-slow-disk":   func(r *Run) time.Duration { return r.coreSlow(time.Duration(20+r.Rng.IntN(200)) * time.Millisecond) },
		"core-stall-disk":  func(r *Run) time.Duration { return r.coreSlow(time.Duration(2+r.Rng.IntN(4)) * time.Second) },
		"core-fail-disk":   (*Run).coreFail,
		"core-cut":         (*Run).coreCut,
		"core-split":       (*Run).coreSplit,
		"core-isolated":    (*Run).coreIsolated,
		"core-roll":        (*Run).coreRoll,
		"side-roll":        (*Run).sideRoll,
		"side-kill":        (*Run).sideKill,
		"side-freeze":      (*Run).sideFreeze,
		"side-cut":         (*Run).sideCut,
		"side-cut-core":    (*Run).sideCutCore,
		"district-cut":     (*Run).districtCut,
		"endpoint-replace": (*Run).endpointReplace,
		"endpoint-reuse":   (*Run).endpointReuse,
		"endpoint-freeze":  (*Run).endpointFrozenReuse,
		"endpoint-bad":     (*Run).endpointBad,
		"endpoint-hang":    (*Run).endpointHang,
		"endpoint-gone":    (*Run).endpointGone,
		"service-empty":    (*Run).serviceEmpty,
		"machine-suspend":  (*Run).machineSuspend,
		"clock-jump":       (*Run).clockJump,
		"manifest-large":   (*Run).manifestLarge,
		"isolated-restart": (*Run).isolatedRestart,
		"release-bad":      (*Run).releaseBad,
		"crowd":            (*Run).crowd,
		"overload":         (*Run).overload,
		"herd":             (*Run).herd,
		"burst":            (*Run).burst,
	}
	maps.Copy(Faults, latter)
	maps.Copy(Faults, herds)
	maps.Copy(Faults, parted)
}

// latter are the faults that only worlds of the platform's kind draw: a name more would
// change what known seeds draw.
var latter = map[string]Fault{
	"core-kill-power": (*Run).coreKillPower,
	"endpoint-slow":   (*Run).endpointSlow,
	"endpoint-fails":  (*Run).endpointFails,
}

// drawn lists the faults that this run draws from when none are named.
func (r *Run) drawn() []string {
	names := slices.DeleteFunc(Names(), func(n string) bool { return herds[n] != nil || parted[n] != nil })
	if !r.Platform {
		names = slices.DeleteFunc(names, func(n string) bool { return latter[n] != nil })
	}
	return names
}

// coreKillPower: a core is killed while its disk is slow, so writes are under way; it starts
// again, and only later does its machine lose power.
func (r *Run) coreKillPower() time.Duration {
	if !r.healthy() {
		return 0
	}
	c := r.core()
	hold, gone, later, dark := r.span(10*time.Millisecond, 100*time.Millisecond), r.span(100*time.Millisecond, time.Second), r.span(50*time.Millisecond, 3*time.Second), r.span(300*time.Millisecond, 2*time.Second)
	r.Say("core %s killed, back in %v, its power lost %v later for %v", c.Addr, gone, later, dark)
	c.Slow = 100 * time.Millisecond
	r.After(hold, func() {
		c.Slow = 0
		if !c.Well() {
			return // another fault has it
		}
		c.Kill(false)
		r.After(gone, func() {
			c.Start()
			r.After(later, func() {
				c.PowerOff()
				r.After(dark, c.Start)
			})
		})
	})
	return hold + gone + later + dark + time.Second
}

// endpointSlow: an endpoint takes several times as long, so requests wait for it.
func (r *Run) endpointSlow() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d, old := r.span(time.Second, 5*time.Second), e.Mood.Work
	r.Say("endpoint %s is slow for %v", e.Server, d)
	e.Mood.Work = 10 * old
	r.After(d, func() { e.Mood.Work = old })
	return d
}

// endpointFails: an endpoint says itself that it fails, mostly.
func (r *Run) endpointFails() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d, old := r.span(time.Second, 5*time.Second), e.Mood.Fail
	r.Say("endpoint %s fails for %v", e.Server, d)
	e.Mood.Fail = 0.7
	r.After(d, func() { e.Mood.Fail = old })
	return d
}

// faults draws one fault after the other until the end, sometimes two together.
func (r *Run) faults(end monotime.Time) {
	names := r.what.Faults
	if len(names) == 0 {
		names = r.drawn()
	}
	every := r.what.FaultEvery
	if every == 0 {
		every = 2 * time.Second
	}
	var round func()
	round = func() {
		if r.Now() >= end.Add(-3*time.Second) {
			return
		}
		name := names[r.Rng.IntN(len(names))]
		took := Faults[name](r)
		if r.Rng.IntN(5) == 0 { // together with the next one
			took = time.Duration(r.Rng.Int64N(int64(took) + 1))
		}
		r.After(took+time.Duration(r.Rng.Int64N(int64(every))), round)
	}
	r.After(time.Second, round)
}

// loss notes a bad loss.
func (r *Run) loss(name string) {
	r.Check.Losses = append(r.Check.Losses, check.Loss{At: r.Now(), Name: name})
}

func (r *Run) span(low, high time.Duration) time.Duration {
	return low + time.Duration(r.Rng.Int64N(int64(high-low)))
}

func (r *Run) core() *world.Core { return r.Cores[r.Rng.IntN(len(r.Cores))] }
func (r *Run) side() *world.Side { return r.Sides[r.Rng.IntN(len(r.Sides))] }

// healthy tells whether all cores are up, so that losing one more is bearable.
func (r *Run) healthy() bool {
	for _, c := range r.Cores {
		if !c.Well() {
			return false
		}
	}
	return true
}

func (r *Run) coreDown(power, empty bool) time.Duration {
	if !r.healthy() {
		return 0
	}
	c, gone := r.core(), r.span(300*time.Millisecond, 4*time.Second)
	r.Say("core %s down for %v, power %v, empty %v", c.Addr, gone, power, empty)
	c.Kill(power)
	if empty {
		addr := ident.Addr("")
		if r.Rng.IntN(2) == 0 {
			r.serial++
			addr = ident.Addr(fmt.Sprintf("10.0.9.%d:7000", r.serial))
		}
		c.Empty(addr)
	}
	r.After(gone, func() {
		r.Say("core %s starts", c.Addr)
		c.Start()
	})
	if empty {
		// It must be a voter again before another disk may be lost.
		return gone + 8*time.Second
	}
	return gone + time.Second
}

func (r *Run) coreFreeze() time.Duration {
	if !r.healthy() {
		return 0
	}
	c, d := r.core(), r.span(200*time.Millisecond, 5*time.Second)
	r.Say("core %s frozen for %v", c.Addr, d)
	c.Freeze(d)
	return d
}

func (r *Run) coreSlow(by time.Duration) time.Duration {
	if !r.healthy() {
		return 0
	}
	c, d := r.core(), r.span(time.Second, 6*time.Second)
	r.Say("core %s disk slower by %v for %v", c.Addr, by, d)
	c.Slow = by
	r.After(d, func() { c.Slow = 0 })
	return d + by
}

func (r *Run) coreFail() time.Duration {
	if !r.healthy() {
		return 0
	}
	c := r.core()
	r.Say("core %s disk fails", c.Addr)
	c.Fail()
	d := r.span(time.Second, 4*time.Second)
	r.After(d, func() {
		c.Kill(true)
		c.Empty("")
		r.After(500*time.Millisecond, c.Start)
	})
	return d + 9*time.Second
}

func (r *Run) coreCut() time.Duration {
	c, d := r.core(), r.span(500*time.Millisecond, 5*time.Second)
	way := []string{"in", "out", "both"}[r.Rng.IntN(3)]
	r.Say("core %s cut %s for %v", c.Addr, way, d)
	r.Isolate([]ident.Addr{c.Addr}, way, d)
	return d
}

func (r *Run) coreSplit() time.Duration {
	d := r.span(time.Second, 6*time.Second)
	n := 1 + r.Rng.IntN(len(r.Cores)-1)
	var one, two []ident.Addr
	for i, j := range r.Rng.Perm(len(r.Cores)) {
		if i < n {
			one = append(one, r.Cores[j].Addr)
		} else {
			two = append(two, r.Cores[j].Addr)
		}
	}
	r.Say("core split %v from %v for %v", one, two, d)
	r.Sever(one, two, d)
	return d
}

func (r *Run) coreIsolated() time.Duration {
	d := r.span(time.Second, 6*time.Second)
	var one, two []ident.Addr
	for _, c := range r.Cores {
		one = append(one, c.Addr)
	}
	for _, s := range r.Sides {
		two = append(two, s.Addr)
	}
	r.Say("core cut from all sidecars for %v", d)
	r.loss("isolated core")
	r.Sever(one, two, d)
	return d
}

// coreRoll restarts the cores one by one, each by a planned stop.
func (r *Run) coreRoll() time.Duration {
	if !r.healthy() {
		return 0
	}
	r.Say("cores are rolled")
	for i, c := range r.Cores {
		r.After(time.Duration(i)*3*time.Second, func() {
			if !r.healthy() {
				return
			}
			c.Stop(func() { r.After(500*time.Millisecond, c.Start) })
		})
	}
	return time.Duration(len(r.Cores)) * 3 * time.Second
}

func (r *Run) sideKill() time.Duration {
	s, d := r.side(), r.span(300*time.Millisecond, 3*time.Second)
	r.Say("sidecar %s killed for %v", s.Node, d)
	s.Kill()
	r.After(d, s.Start)
	return d
}

// sideRoll restarts a few sidecars one by one, each by a planned stop.
func (r *Run) sideRoll() time.Duration {
	r.Say("sidecars are rolled")
	for i := range 3 {
		s := r.Sides[(i+r.Rng.IntN(len(r.Sides)))%len(r.Sides)]
		r.After(time.Duration(i)*2500*time.Millisecond, func() {
			s.Stop(func() { r.After(300*time.Millisecond, s.Start) })
		})
	}
	return 8 * time.Second
}

func (r *Run) sideFreeze() time.Duration {
	s, d := r.side(), r.span(300*time.Millisecond, 5*time.Second)
	r.Say("sidecar %s frozen for %v", s.Node, d)
	s.Freeze(d)
	return d
}

func (r *Run) sideCut() time.Duration {
	s, d := r.side(), r.span(500*time.Millisecond, 5*time.Second)
	way := []string{"in", "out", "both"}[r.Rng.IntN(3)]
	r.Say("machine %s cut %s for %v", s.Node, way, d)
	r.Isolate([]ident.Addr{s.Addr}, way, d)
	return d
}

func (r *Run) sideCutCore() time.Duration {
	s, d := r.side(), r.span(500*time.Millisecond, 5*time.Second)
	var two []ident.Addr
	for _, c := range r.Cores {
		two = append(two, c.Addr)
	}
	r.Say("machine %s cut from the core for %v", s.Node, d)
	r.Sever([]ident.Addr{s.Addr}, two, d)
	return d
}

func (r *Run) districtCut() time.Duration {
	d := r.span(time.Second, 5*time.Second)
	r.Say("a district is cut off for %v", d)
	r.loss("district")
	r.loseDistrict(d)
	return d
}

func (r *Run) loseDistrict(d time.Duration) {
	dist := district(r.d, r.Rng.IntN(r.d.Districts))
	var list []ident.Addr
	for _, c := range r.Cores {
		if c.District == dist {
			list = append(list, c.Addr)
		}
	}
	for _, s := range r.Sides {
		if s.District == dist {
			list = append(list, s.Addr)
		}
	}
	r.Isolate(list, "both", d)
}

// some picks an endpoint whose service has another one.
func (r *Run) some() *world.Endpoint { return r.someOf(2) }

// someOf picks an endpoint whose service has so many at least.
func (r *Run) someOf(least int) *world.Endpoint {
	count := map[ident.Service]int{}
	var all []*world.Endpoint
	for _, s := range r.Sides {
		for _, e := range s.Ends {
			count[e.Service]++
			all = append(all, e)
		}
	}
	var good []*world.Endpoint
	for _, e := range all {
		if count[e.Service] >= least {
			good = append(good, e)
		}
	}
	if len(good) == 0 {
		return nil
	}
	return good[r.Rng.IntN(len(good))]
}

func (r *Run) endpointReplace() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	r.Say("endpoint %s leaves and is replaced", e.Server)
	s, svc := e.Side, e.Service
	e.Leave(r.span(2500*time.Millisecond, 6*time.Second), func() { r.endpoint(s, svc, "") })
	return 3 * time.Second
}

// endpointReuse: the endpoint dies, two seconds later its address is another's.
func (r *Run) endpointReuse() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	s, old, addr := e.Side, e.Service, e.Addr
	other := r.d.Services[r.Rng.IntN(len(r.d.Services))].Name
	r.Say("endpoint %s dies; %s passes to %s in 2s", e.Server, addr, other)
	e.Die()
	r.After(2*time.Second, func() { r.endpoint(s, other, addr) })
	r.After(3*time.Second, func() { r.endpoint(s, old, "") })
	return 4 * time.Second
}

// endpointFrozenReuse: the same while the machine's sidecar is frozen.
func (r *Run) endpointFrozenReuse() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d := r.span(1800*time.Millisecond, 3*time.Second)
	e.Side.Freeze(d)
	return r.endpointReuse()
}

func (r *Run) endpointBad() time.Duration {
	e := r.some()
	if e == nil {
		return 0
	}
	d := r.span(time.Second, 5*time.Second)
	old := e.Mood
	r.Say("endpoint %s loses and garbles returns for %v", e.Server, d)
	e.Mood.Lose, e.Mood.Garbage = 0.3, 0.3
	r.After(d, func() { e.Mood = old })
	return d
}

// releaseBad: all endpoints of one service lose or garble most returns.
func (r *Run) releaseBad() time.Duration {
	d := r.span(2*time.Second, 8*time.Second)
	svc := r.d.Services[r.Rng.IntN(len(r.d.Services))].Name
	r.Say("every endpoint of %s loses and garbles returns for %v", svc, d)
	for _, s := range r.Sides {
		for _, e := range s.Ends {
			if e.Service == svc {
				old := e.Mood
				e.Mood.Lose, e.Mood.Garbage = 0.1, 0.7
				r.After(d, func() { e.Mood = old })
			}
		}
	}
	return d
}

func (r *Run) crowd() time.Duration {
	d := r.span(2*time.Second, 5*time.Second)
	r.Say("a crowd for %v", d)
	r.load *= 3
	r.After(d, func() { r.load /= 3 })
	return d
}

// herd kills many sidecars and one core at once.
func (r *Run) herd() time.Duration {
	r.Say("a herd of sidecars is killed")
	r.loss("herd")
	for i, s := range r.Sides {
		if i%2 == 0 {
			s.Kill()
			r.After(r.span(time.Second, 3*time.Second), s.Start)
		}
	}
	if r.healthy() {
		c := r.core()
		c.Kill(true)
		r.After(2*time.Second, c.Start)
	}
	return 6 * time.Second
}

// heavy is the last fault of a day: every core loses power at once, and half the
// sidecars are killed.
func (r *Run) heavy() {
	r.Say("the last heavy fault: all cores lose power, half the sidecars are killed")
	r.loss("everything at once")
	for _, c := range r.Cores {
		c.Kill(true)
		r.After(r.span(time.Second, 3*time.Second), c.Start)
	}
	for i, s := range r.Sides {
		if i%2 == 0 {
			s.Kill()
			if r.what.Break != "restart" {
				r.After(r.span(time.Second, 3*time.Second), s.Start)
			}
		}
	}
	if r.what.Break == "restart" {
		for _, s := range r.Sides {
			s.Kill()
		}
	}
}

// burst offers many manifests at once.
func (r *Run) burst() time.Duration {
	r.Say("a burst of manifests")
	for i := range 12 {
		r.After(time.Duration(i)*20*time.Millisecond, r.ops.Offer)
	}
	return time.Second
}
