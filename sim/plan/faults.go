package plan

import (
	"maps"
	"slices"
	"time"

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
