package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// backlogLimit bounds the number of functions that wait for a frozen process; further functions are
// dropped.
const backlogLimit = 5000

// process is the common part of all simulated processes. Invariants: the generation increases with
// each start, and no work of an older generation runs; a frozen process runs no work, and work
// that arrives meanwhile runs when the process thaws.
type process struct {
	world        *World
	Addr         ident.Addr
	running      bool
	frozen       bool
	generation   int
	startedAt    monotime.Time
	clockRate    float64       // rate of the local clock relative to virtual time
	clockOffset  time.Duration // sum of the jumps of the local clock
	clockStopped bool          // the local clock stops while the process is frozen
	messageCost  time.Duration // processing time of each message and request
	busyUntil    monotime.Time // when all work that has arrived so far is processed
	backlog      []func()
}

// localTime returns the reading of the process's local clock.
func (p *process) localTime() monotime.Time {
	return monotime.Time(float64(p.world.now-p.startedAt)*p.clockRate) + monotime.Time(time.Second+p.clockOffset)
}

// JumpClock makes the process's local clock jump forward.
func (p *process) JumpClock(by time.Duration) { p.clockOffset += by }

// Suspend freezes the process and its local clock for a duration.
func (p *process) Suspend(duration time.Duration) {
	if p.running && !p.frozen {
		p.clockStopped = true
		p.Freeze(duration)
	}
}

// beginGeneration starts a new generation of the process, with a new local clock.
func (p *process) beginGeneration() {
	p.running, p.frozen, p.backlog = true, false, nil
	p.generation++
	p.startedAt, p.clockOffset, p.clockStopped, p.busyUntil = p.world.now, 0, false, 0
	p.clockRate = 0.99 + 0.02*p.world.Rng.Float64()
}

// runInGeneration runs work in the process, if the process still runs in the given generation. In
// a frozen process the work waits in the backlog.
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

// handleMessage runs the work for a message or request. Messages with a cost are processed one
// after the other, and each takes its cost.
func (p *process) handleMessage(generation int, cost time.Duration, work func()) {
	if cost == 0 || !p.running || p.generation != generation {
		p.runInGeneration(generation, work)
		return
	}
	p.busyUntil = max(p.busyUntil, p.world.now).Add(cost)
	p.world.After(p.busyUntil.Since(p.world.now), func() { p.runInGeneration(generation, work) })
}

// Freeze stops the process for a duration. The local clock continues.
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

// thaw ends a freeze of the given duration and runs the backlog in a random order.
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
