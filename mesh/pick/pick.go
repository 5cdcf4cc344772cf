// Package pick chooses one workload of a service.
package pick

import (
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/mesh/registry/index"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// far weighs a workload of another district.
	far     = 1.3
	suspect = time.Second
	// waver is how long a workload's own gate is avoided after it refused.
	waver = 250 * time.Millisecond
)

type score struct {
	hand    int
	suspect moment.Moment
}

// Picker chooses with what this sidecar itself has seen. Invariant: only HEALTHY
// workloads are ever chosen.
type Picker struct {
	district ident.District
	rng      *rand.Rand
	servers  map[ident.Server]*score
	gates    map[ident.Addr]moment.Moment
}

// New makes a picker.
func New(district ident.District, seed uint64) *Picker {
	return &Picker{district: district, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)), servers: map[ident.Server]*score{}, gates: map[ident.Addr]moment.Moment{}}
}

func (p *Picker) at(s ident.Server) *score {
	if p.servers[s] == nil {
		p.servers[s] = &score{}
	}
	return p.servers[s]
}

// Choose picks one of the workloads that is not in past. Two are drawn by weight and
// the one with the lower burden wins. The classes are tried in order: well and
// unsuspected, then well but suspected here or lapsed at the core.
func (p *Picker) Choose(now moment.Moment, all []index.Entry, past map[ident.Server]bool) (index.Entry, bool) {
	var good, fair []index.Entry
	for _, e := range all {
		if e.Status != record.Healthy || past[e.UID] {
			continue
		}
		if e.Lapsed || p.at(e.UID).suspect.After(now) || p.gates[e.Gate].After(now) {
			fair = append(fair, e)
			continue
		}
		good = append(good, e)
	}
	if len(good) == 0 {
		good = fair
	}
	switch len(good) {
	case 0:
		return index.Entry{}, false
	case 1:
		return good[0], true
	}
	a := p.draw(good)
	b := p.draw(good)
	if p.cost(good[b]) < p.cost(good[a]) {
		a = b
	}
	return good[a], true
}

// Draw draws a number below n.
func (p *Picker) Draw(n int) int { return p.rng.IntN(n) }

func (p *Picker) draw(list []index.Entry) int {
	sum := uint64(0)
	for _, e := range list {
		sum += uint64(e.Weight)
	}
	x := p.rng.Uint64N(sum)
	for i, e := range list {
		if x < uint64(e.Weight) {
			return i
		}
		x -= uint64(e.Weight)
	}
	return len(list) - 1
}

func (p *Picker) cost(e index.Entry) float64 {
	c := (float64(p.at(e.UID).hand) + 1 + 4*e.Burden) / float64(e.Weight)
	if e.District != p.district {
		c *= far
	}
	return c
}

// Sent counts a request out to a server.
func (p *Picker) Sent(s ident.Server) { p.at(s).hand++ }

// Back counts it in again. A doubtful end makes the server suspect for a while, and
// with lost its whole machine.
func (p *Picker) Back(now moment.Moment, e index.Entry, doubt, lost bool) {
	sc := p.at(e.UID)
	sc.hand--
	if doubt {
		sc.suspect = now.Add(suspect)
	}
	if lost {
		p.gates[e.Gate] = now.Add(suspect)
	}
}

// TurnedAway notes that the gate turned a server away.
func (p *Picker) TurnedAway(now moment.Moment, s ident.Server) { p.at(s).suspect = now.Add(waver) }

// Tidy drops the scores of servers that are no more.
func (p *Picker) Tidy(now moment.Moment, alive func(ident.Server) bool) {
	for s, sc := range p.servers {
		if sc.hand == 0 && !sc.suspect.After(now) && !alive(s) {
			delete(p.servers, s)
		}
	}
	for a, until := range p.gates {
		if !until.After(now) {
			delete(p.gates, a)
		}
	}
}
