// Package pick chooses one workload of a service.
package pick

import (
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry/index"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	suspect = time.Second
	// waver is how long a workload's own gate is avoided after it refused.
	waver = 250 * time.Millisecond
)

// Settings say what a choice weighs. Each is read at every choice, so they may change.
type Settings struct {
	// Draws is how many workloads are compared, 0 for all of them; the more there are, the
	// more those who choose at once agree on one.
	Draws int
	// Jitter is the part of its cost by which a workload may look dearer than it is.
	Jitter float64
	// Fresh is after how long what a gate told counts half of its load, and Firm the same
	// of its pace and illness.
	Fresh, Firm time.Duration
	// Far is what a return from another district costs, and Cross what each KB of it does.
	Far, Cross time.Duration
	// Slots is how many requests a workload works on at once if its gate does not say.
	Slots int
	// IllMost is the part of runs that may fail beyond one and a half times the service's
	// mean, before a workload is left out; Part is the most of a service's workloads that
	// may be left out so.
	IllMost, Part float64
	// Young is for how long a workload that came after the others is taken to be at half
	// pace, unless its gate says better.
	Young time.Duration
	// Unknown is the work of a way of which no return has come.
	Unknown time.Duration
}

// Usual gives the settings that the model was run with.
func Usual() Settings {
	return Settings{Draws: 0, Jitter: 0.1, Fresh: 2 * time.Second, Firm: 3 * time.Second, Far: 2 * time.Millisecond,
		Slots: 6, IllMost: 0.25, Part: 0.34, Young: 3 * time.Second, Unknown: 50 * time.Millisecond}
}

// score is what is known of one workload. Invariant: out counts requests of this sidecar;
// those that were out when its gate spoke are in what it told.
type score struct {
	uid     ident.Server
	service *crowd
	out     int
	within  int // out when its gate last spoke
	heard   monotime.Time
	told    loadreport.Report
	suspect monotime.Time
	young   monotime.Time
}

// crowd is what is known of one service's workloads together. Invariant: scores stand as
// the list does that they were made for.
type crowd struct {
	list   []index.Entry
	scores []*score
	load   float64 // mean of what was told: in hand and waiting, a slot
	ill    float64 // mean part of runs that fails
	heard  bool
	known  bool // a list was seen before
	used   monotime.Time
}

// way is what was learnt of the returns of one way.
type way struct {
	work  float64 // mean nanoseconds at an endpoint
	bytes float64 // mean bytes of a return
	used  monotime.Time
}

// Picker chooses by what gates tell and this sidecar itself has seen. Invariant: only
// HEALTHY workloads are ever chosen.
type Picker struct {
	Settings
	district ident.District
	rng      *rand.PCG
	servers  map[ident.Server]*score
	crowds   map[ident.Service]*crowd
	ways     map[string]*way
	gates    map[ident.Addr]monotime.Time
	good     []int // used again by each choice
	fair     []int
	ill      []int
}

// New makes a picker.
func New(district ident.District, seed uint64) *Picker {
	return &Picker{Settings: Usual(), district: district, rng: rand.NewPCG(seed, 0x9e3779b97f4a7c15), servers: map[ident.Server]*score{},
		crowds: map[ident.Service]*crowd{}, ways: map[string]*way{}, gates: map[ident.Addr]monotime.Time{}}
}

func (p *Picker) at(s ident.Server) *score {
	if p.servers[s] == nil {
		p.servers[s] = &score{uid: s}
	}
	return p.servers[s]
}

// view gives the scores of a list; it is made anew only when the list is another one. A
// list is never changed in place: the index makes a new one.
func (p *Picker) view(now monotime.Time, all []index.Entry) *crowd {
	c := p.crowds[all[0].Service]
	if c == nil {
		c = &crowd{}
		p.crowds[all[0].Service] = c
	}
	c.used = now
	if len(c.list) == len(all) && &c.list[0] == &all[0] {
		return c
	}
	c.list, c.scores = all, c.scores[:0]
	for _, e := range all {
		s := p.servers[e.UID]
		if s == nil {
			s = p.at(e.UID)
			if c.known {
				s.young = now.Add(p.Young)
			}
		}
		s.service = c
		c.scores = append(c.scores, s)
	}
	c.known = true
	return c
}

// Choose picks one of the workloads that is not in past, for a way of which nothing is
// known.
func (p *Picker) Choose(now monotime.Time, all []index.Entry, past map[ident.Server]bool) (index.Entry, bool) {
	return p.ChooseFor(now, "", all, past)
}

// ChooseFor picks one of the workloads that is not in past, for a request of a way: the
// one from which a return is expected soonest, or at the least price. The classes are tried
// in order: well and unsuspected; then well but suspected here, or lapsed at the core;
// then those that fail more than their peers. The last class counts as the first when it
// is more than a part of the service.
func (p *Picker) ChooseFor(now monotime.Time, name string, all []index.Entry, past map[ident.Server]bool) (index.Entry, bool) {
	if len(all) == 0 {
		return index.Entry{}, false
	}
	c := p.view(now, all)
	good, fair, ill := p.good[:0], p.fair[:0], p.ill[:0]
	for i := range all {
		e, s := &all[i], c.scores[i]
		switch {
		case e.Status != record.Healthy, len(past) > 0 && past[e.UID]:
		case e.Lapsed, s.suspect.After(now), len(p.gates) > 0 && p.gates[e.Gate].After(now):
			fair = append(fair, i)
		case p.sick(now, s):
			ill = append(ill, i)
		default:
			good = append(good, i)
		}
	}
	p.good, p.fair, p.ill = good, fair, ill
	if float64(len(ill)) > p.Part*float64(len(good)+len(ill)) {
		good = append(good, ill...)
		p.good = good
	}
	for _, list := range [][]int{good, fair, ill} {
		if len(list) > 0 {
			return all[p.best(now, p.ways[name], c, list)], true
		}
	}
	return index.Entry{}, false
}

// Must tells whether a request for a workload is to be run there even if it fails: it was
// chosen since there is no better one.
func (p *Picker) Must(now monotime.Time, s ident.Server) bool {
	sc := p.servers[s]
	return sc != nil && p.sick(now, sc)
}

// Draw draws a number below n.
func (p *Picker) Draw(n int) int { return int(p.rng.Uint64() % uint64(n)) }

// chance draws a number from 0 up to 1.
func (p *Picker) chance() float64 { return float64(p.rng.Uint64()>>11) / (1 << 53) }

// best gives the cheapest of some, or of as many of them as are to be compared.
func (p *Picker) best(now monotime.Time, w *way, c *crowd, list []int) int {
	work, cross := float64(p.Unknown), float64(p.Far)
	if w != nil {
		if w.work > 0 {
			work = w.work
		}
		cross += w.bytes / 1024 * float64(p.Cross)
	}
	n := len(list)
	if p.Draws > 0 && p.Draws < n {
		n = p.Draws
		for i := range n { // the first n of a shuffle
			j := i + p.Draw(len(list)-i)
			list[i], list[j] = list[j], list[i]
		}
	}
	least, at := 0.0, -1
	for _, i := range list[:n] {
		x := p.cost(now, work, cross, &c.list[i], c.scores[i]) * (1 + p.Jitter*p.chance())
		if at < 0 || x < least {
			least, at = x, i
		}
	}
	return at
}

// part is what is left of news after a time in which half of it goes, roughly.
func part(age, half time.Duration) float64 {
	if age <= 0 || half <= 0 {
		return 1
	}
	return float64(half) / float64(half+age)
}

// firm is the same of news that hold for longer and then are all but forgotten, so that a
// workload that was left alone for them is tried again.
func firm(age, half time.Duration) float64 {
	if age <= 0 || half <= 0 {
		return 1
	}
	x := float64(age) / float64(half)
	return 1 / (1 + x*x)
}

// cost is what a return from a workload is expected to cost, in nanoseconds of waiting.
func (p *Picker) cost(now monotime.Time, work, cross float64, e *index.Entry, s *score) float64 {
	slots, load, pace, ill := float64(p.Slots), e.Burden, 1.0, 0.0
	c := s.service
	if c.heard {
		load = c.load
	}
	out := s.out
	if s.heard != 0 {
		age := now.Since(s.heard)
		if s.told.Slots > 0 {
			slots = float64(s.told.Slots)
		}
		x, y := part(age, p.Fresh), firm(age, p.Firm)
		load = x*float64(s.told.Running+s.told.Waiting)/slots + (1-x)*load
		if s.told.RelativeTime > 0 {
			pace += y * (s.told.RelativeTime - 1)
		}
		ill = y * max(0, s.told.FailureRate-c.ill)
		out = max(0, s.out-s.within)
	}
	if s.heard == 0 && s.young.After(now) {
		pace = 2
	}
	load += (float64(out) + 1) / slots
	// A slot that is taken now may be free when the request comes, and the other way
	// round: the wait grows before all are taken.
	part := min(load, 1)
	wait := part*part*part/4 + max(load-1, 0)
	x := work * pace * (1 + wait) / float64(max(e.Weight, 1))
	x += work * ill * failed
	if e.District != p.district {
		x += cross
	}
	return x
}

// failed is how many times its work a failure costs.
const failed = 10

// sick tells whether a workload fails more than its peers do.
func (p *Picker) sick(now monotime.Time, s *score) bool {
	if s.heard == 0 || s.service == nil || s.told.FailureRate <= p.IllMost {
		return false
	}
	return s.told.FailureRate*firm(now.Since(s.heard), p.Firm) > p.IllMost+1.5*s.service.ill
}

// Heard takes what the gate of a server told with a return.
func (p *Picker) Heard(now monotime.Time, server ident.Server, b loadreport.Report) {
	s := p.at(server)
	s.told, s.heard, s.within = b, now, s.out
	c := s.service
	if c == nil {
		return
	}
	slots := b.Slots
	if slots == 0 {
		slots = p.Slots
	}
	load := min(float64(b.Running+b.Waiting)/float64(max(slots, 1)), 4)
	if !c.heard {
		c.heard, c.load = true, load
	}
	c.load += (load - c.load) / 16
	c.ill += (b.FailureRate - c.ill) / 32
}

// Ran takes how long the endpoint had a request of a way, and how large its return was.
func (p *Picker) Ran(now monotime.Time, name string, took time.Duration, size int64) {
	w := p.ways[name]
	if w == nil {
		w = &way{work: float64(took), bytes: float64(size)}
		p.ways[name] = w
	}
	w.used = now
	// A single run that took very long tells little.
	w.work += (min(float64(took), 8*w.work+float64(time.Millisecond)) - w.work) / 32
	w.bytes += (float64(size) - w.bytes) / 32
}

// Work is what a run of a way takes at the service's mean endpoint, 0 if none was seen.
func (p *Picker) Work(name string) time.Duration {
	if w := p.ways[name]; w != nil {
		return time.Duration(w.work)
	}
	return 0
}

// Bytes is the mean size of a way's returns, 0 when none has come.
func (p *Picker) Bytes(name string) int {
	if w := p.ways[name]; w != nil {
		return int(w.bytes)
	}
	return 0
}

// Peers is the part of runs that fails at a service's endpoints, as told by their gates.
func (p *Picker) Peers(s ident.Service) float64 {
	if c := p.crowds[s]; c != nil {
		return c.ill
	}
	return 0
}

// Sent counts a request out to a server.
func (p *Picker) Sent(s ident.Server) { p.at(s).out++ }

// Back counts it in again. A doubtful end makes the server suspect for a while, and
// with lost its whole machine.
func (p *Picker) Back(now monotime.Time, e index.Entry, doubt, lost bool) {
	sc := p.at(e.UID)
	sc.out--
	sc.within = min(sc.within, sc.out)
	if doubt {
		sc.suspect = now.Add(suspect)
	}
	if lost {
		p.gates[e.Gate] = now.Add(suspect)
	}
}

// TurnedAway notes that the gate turned a server away.
func (p *Picker) TurnedAway(now monotime.Time, s ident.Server) { p.at(s).suspect = now.Add(waver) }

// idle is after how long what is not used is forgotten.
const idle = 10 * time.Minute

// Tidy drops the scores of servers that are no more, and what was learnt of services and
// ways that nobody asks for any more.
func (p *Picker) Tidy(now monotime.Time, alive func(ident.Server) bool) {
	for s, sc := range p.servers {
		if sc.out == 0 && !sc.suspect.After(now) && !alive(s) {
			delete(p.servers, s)
		}
	}
	for k, c := range p.crowds {
		if now.Since(c.used) > idle {
			delete(p.crowds, k)
		}
	}
	for k, w := range p.ways {
		if now.Since(w.used) > idle {
			delete(p.ways, k)
		}
	}
	for a, until := range p.gates {
		if !until.After(now) {
			delete(p.gates, a)
		}
	}
}
