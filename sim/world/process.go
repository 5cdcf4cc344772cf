package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// process is what every simulated process has. Invariants: gen rises with each start,
// and nothing meant for an older one runs; a frozen process runs nothing, what
// arrives waits and is run at the thaw.
type process struct {
	world        *World
	Addr         ident.Addr
	running      bool
	frozen       bool
	generation   int
	startedAt    monotime.Time
	clockRate    float64
	clockOffset  time.Duration // by which its clock has jumped
	clockStopped bool          // its clock stands while it is frozen
	messageCost  time.Duration // of its own time for each message and request
	busyUntil    monotime.Time // when it has done what came so far
	backlog      []func()
}

func (p *process) localTime() monotime.Time {
	return monotime.Time(float64(p.world.now-p.startedAt)*p.clockRate) + monotime.Time(time.Second+p.clockOffset)
}

// JumpClock makes the process's clock jump forward.
func (p *process) JumpClock(by time.Duration) { p.clockOffset += by }

// Suspend is a freeze in which the clock stands still too.
func (p *process) Suspend(duration time.Duration) {
	if p.running && !p.frozen {
		p.clockStopped = true
		p.Freeze(duration)
	}
}

func (p *process) beginGeneration() {
	p.running, p.frozen, p.backlog = true, false, nil
	p.generation++
	p.startedAt, p.clockOffset, p.clockStopped, p.busyUntil = p.world.now, 0, false, 0
	p.clockRate = 0.99 + 0.02*p.world.Rng.Float64()
}

// runInGeneration runs something in the process if it is still the same run of it.
func (p *process) runInGeneration(generation int, work func()) {
	if !p.running || p.generation != generation {
		return
	}
	if p.frozen {
		if len(p.backlog) < 5000 {
			p.backlog = append(p.backlog, func() { p.runInGeneration(generation, work) })
		}
		return
	}
	work()
}

// Freeze stops the process for a while.
func (p *process) Freeze(duration time.Duration) {
	if !p.running || p.frozen {
		return
	}
	p.frozen = true
	generation := p.generation
	p.world.After(duration, func() {
		if p.generation != generation || !p.running {
			return
		}
		p.frozen = false
		if p.clockStopped {
			p.clockOffset, p.clockStopped = p.clockOffset-time.Duration(float64(duration)*p.clockRate), false
		}
		backlog := p.backlog
		p.backlog = nil
		// What waited runs in no order of its own.
		p.world.Rng.Shuffle(len(backlog), func(i, j int) { backlog[i], backlog[j] = backlog[j], backlog[i] })
		for _, work := range backlog {
			work()
		}
	})
}
