package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// backlogLimit is how much work waits for a frozen process at most; more is lost.
const backlogLimit = 5000

// process is what every simulated process has. Invariants: the generation rises with each
// start, and no work meant for an older one runs; a frozen process runs nothing, and what
// arrives runs when it thaws.
type process struct {
	world        *World
	Addr         ident.Addr
	running      bool
	frozen       bool
	generation   int
	startedAt    monotime.Time
	clockRate    float64       // how fast its clock runs, 1 being true
	clockOffset  time.Duration // by which its clock has jumped
	clockStopped bool          // its clock stops while it is frozen
	messageCost  time.Duration // processing time of each message and request
	busyUntil    monotime.Time // when it has processed what came so far
	backlog      []func()
}

// localTime is the reading of the process's own clock.
func (p *process) localTime() monotime.Time {
	return monotime.Time(float64(p.world.now-p.startedAt)*p.clockRate) + monotime.Time(time.Second+p.clockOffset)
}

// JumpClock makes the process's clock jump forward.
func (p *process) JumpClock(by time.Duration) { p.clockOffset += by }

// Suspend freezes the process for a while, its clock too.
func (p *process) Suspend(duration time.Duration) {
	if p.running && !p.frozen {
		p.clockStopped = true
		p.Freeze(duration)
	}
}

// beginGeneration starts the process anew, with a clock of its own.
func (p *process) beginGeneration() {
	p.running, p.frozen, p.backlog = true, false, nil
	p.generation++
	p.startedAt, p.clockOffset, p.clockStopped, p.busyUntil = p.world.now, 0, false, 0
	p.clockRate = 0.99 + 0.02*p.world.Rng.Float64()
}

// runInGeneration runs work in the process if its generation is still the given one.
func (p *process) runInGeneration(generation int, work func()) {
	if !p.running || p.generation != generation {
		return
	}
	if p.frozen {
		if len(p.backlog) < backlogLimit {
			p.backlog = append(p.backlog, func() { p.runInGeneration(generation, work) })
		}
		return
	}
	work()
}

// handleMessage has the process take a message or a request: one after the other, each for
// its cost.
func (p *process) handleMessage(generation int, cost time.Duration, work func()) {
	if cost == 0 || !p.running || p.generation != generation {
		p.runInGeneration(generation, work)
		return
	}
	p.busyUntil = max(p.busyUntil, p.world.now).Add(cost)
	p.world.After(p.busyUntil.Since(p.world.now), func() { p.runInGeneration(generation, work) })
}

// Freeze stops the process for a while; its clock goes on.
func (p *process) Freeze(duration time.Duration) {
	if !p.running || p.frozen {
		return
	}
	p.frozen = true
	generation := p.generation
	p.world.After(duration, func() {
		if p.generation == generation && p.running {
			p.thaw(duration)
		}
	})
}

// thaw ends a freeze of a duration and runs what waited, in a random order.
func (p *process) thaw(duration time.Duration) {
	p.frozen = false
	if p.clockStopped {
		p.clockOffset, p.clockStopped = p.clockOffset-time.Duration(float64(duration)*p.clockRate), false
	}
	backlog := p.backlog
	p.backlog = nil
	p.world.Rng.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
	for _, work := range backlog {
		work()
	}
}
