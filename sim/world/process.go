package world

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// proc is what every simulated process has. Invariants: gen rises with each start,
// and nothing meant for an older one runs; a frozen process runs nothing, what
// arrives waits and is run at the thaw.
type proc struct {
	w       *World
	Addr    ident.Addr
	up      bool
	frozen  bool
	gen     int
	born    monotime.Time
	rate    float64
	jump    time.Duration // by which its clock has jumped
	still   bool          // its clock stands while it is frozen
	cost    time.Duration // of its own time for each message and request
	free    monotime.Time // when it has done what came so far
	backlog []func()
}

func (p *proc) clock() monotime.Time {
	return monotime.Time(float64(p.w.now-p.born)*p.rate) + monotime.Time(time.Second+p.jump)
}

// Jump makes the process's clock jump forward.
func (p *proc) Jump(d time.Duration) { p.jump += d }

// Suspend is a freeze in which the clock stands still too.
func (p *proc) Suspend(d time.Duration) {
	if p.up && !p.frozen {
		p.still = true
		p.Freeze(d)
	}
}

func (p *proc) start() {
	p.up, p.frozen, p.backlog = true, false, nil
	p.gen++
	p.born, p.jump, p.still, p.free = p.w.now, 0, false, 0
	p.rate = 0.99 + 0.02*p.w.Rng.Float64()
}

// run runs something in the process if it is still the same run of it.
func (p *proc) run(gen int, do func()) {
	if !p.up || p.gen != gen {
		return
	}
	if p.frozen {
		if len(p.backlog) < 5000 {
			p.backlog = append(p.backlog, func() { p.run(gen, do) })
		}
		return
	}
	do()
}

// Freeze stops the process for a while.
func (p *proc) Freeze(d time.Duration) {
	if !p.up || p.frozen {
		return
	}
	p.frozen = true
	gen := p.gen
	p.w.After(d, func() {
		if p.gen != gen || !p.up {
			return
		}
		p.frozen = false
		if p.still {
			p.jump, p.still = p.jump-time.Duration(float64(d)*p.rate), false
		}
		list := p.backlog
		p.backlog = nil
		// What waited runs in no order of its own.
		p.w.Rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, do := range list {
			do()
		}
	})
}
