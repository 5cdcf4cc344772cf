// Package gate is the destination's last word: it says, just before a request goes
// to an endpoint, whether that endpoint still is the one that was meant.
package gate

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const (
	// Silent is how long an endpoint may go without a beat, and SilentMost how long one
	// may that beats more slowly than it is asked to. Invariant: with the longest dial
	// it stays inside the shortest reuseAfterS.
	Silent     = 1100 * time.Millisecond
	SilentMost = 1600 * time.Millisecond
	// BeatEvery is what endpoints are asked to keep to.
	BeatEvery = 300 * time.Millisecond
	// pause is how long without a Tick means that this process was held up.
	pause = 400 * time.Millisecond
	// shy is how long after being held up beats are not trusted: they may have lain
	// in a socket since before the endpoint's end.
	shy    = 500 * time.Millisecond
	forget = 4 * time.Second
	gone   = 3 * time.Second
	sick   = 700 * time.Millisecond
)

// State is what a beat says.
type State string

// The states of a beat.
const (
	Alive   State = "alive"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Beat is an endpoint's report.
type Beat struct {
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Addr    ident.Addr    `json:"address"`
	State   State         `json:"state"`
	Burden  float64       `json:"burden"`
	Weight  uint32        `json:"weight"`
	// Seq, when given, orders the beats of one server.
	Seq uint64 `json:"seq"`
	// Slots is how many requests it works on at once, 0 when it does not say.
	Slots int `json:"slots,omitempty"`
	// Cold is how much longer it is slow from its start, in milliseconds.
	Cold float64 `json:"coldMs,omitempty"`
}

type entry struct {
	Beat
	at      monotime.Time
	gap     time.Duration // between beats, smoothed
	sick    monotime.Time
	status  record.Status
	leaving bool
	hand    int
	open    bool
	beat    time.Duration // the pace asked for, 0 when it is the gate's own
}

// Gate knows the endpoints of one machine. Invariants: an address belongs to one
// server at a time, the one that beat last; leaving is never taken back; a server
// that signed off, or whose address has passed on, is not let in again by a late beat.
type Gate struct {
	all   map[ident.Server]*entry
	spots map[ident.Addr]ident.Server
	off   map[ident.Server]monotime.Time
	tick  monotime.Time
	shy   monotime.Time
	stops bool // the machine stops: whoever beats now leaves with the rest
	// Fenced says that an endpoint turns away what names another, so an old beat does no
	// harm and a process that was held up may go on at once.
	Fenced bool
	// beat is how often endpoints beat.
	beat time.Duration
	// Open, when set, switches the checks off; only tests of the checkers do that.
	Open bool
	// Counters.
	Passed, TurnedAway, Forgotten, Stale uint64
}

// New makes a gate without endpoints.
func New() *Gate {
	return &Gate{all: map[ident.Server]*entry{}, spots: map[ident.Addr]ident.Server{}, off: map[ident.Server]monotime.Time{}}
}

// Every sets how often endpoints beat, where they keep a pace of their own.
func (g *Gate) Every(beat time.Duration) *Gate {
	g.beat = beat
	return g
}

// Change tells what a step did. Closed lists addresses whose connections must go.
type Change struct {
	News   bool
	Closed []ident.Addr
}

// states is the table of what each state of a beat does.
var states = map[State]func(*Gate, monotime.Time, Beat) Change{Alive: (*Gate).alive, Leaving: (*Gate).leave, Gone: (*Gate).signOff}

// held tells whether this process was held up just now, so that what it hears may
// be old. Invariant: an old beat never makes a server well.
func (g *Gate) held(now monotime.Time) bool {
	return !g.Fenced && (g.shy.After(now) || g.tick != 0 && now.Since(g.tick) > pause)
}

// Take takes a beat.
func (g *Gate) Take(now monotime.Time, b Beat) (Change, *failure.Error) {
	take, ok := states[b.State]
	if g.held(now) && b.State == Alive {
		g.Stale++
		return Change{}, nil
	}
	if !ok {
		return Change{}, failure.New(failure.Invalid, "state must be alive, leaving or gone")
	}
	if b.Server == "" || b.State != Gone && (b.Service == "" || b.Addr == "") {
		return Change{}, failure.New(failure.Invalid, "a beat needs serverId, service and address")
	}
	if e := g.all[b.Server]; e != nil && b.Seq != 0 && b.Seq <= e.Seq {
		return Change{}, nil
	}
	return take(g, now, b), nil
}

func (g *Gate) alive(now monotime.Time, b Beat) (c Change) {
	if at, off := g.off[b.Server]; off && now.Since(at) < gone {
		return c
	}
	if b.Weight == 0 {
		b.Weight = 1
	}
	if old, ok := g.spots[b.Addr]; ok && old != b.Server && !g.Open {
		// Its address is another's now: a late beat must not bring it back.
		c = g.drop(old)
		g.off[old] = now
	}
	e := g.all[b.Server]
	if e == nil {
		e = &entry{status: record.Unknown, open: g.Open, beat: g.beat}
		g.all[b.Server] = e
	} else if e.Addr != b.Addr {
		c.Closed = append(c.Closed, e.Addr)
		if g.spots[e.Addr] == b.Server {
			delete(g.spots, e.Addr)
		}
	}
	g.spots[b.Addr] = b.Server
	was := *e
	if e.at != 0 {
		e.gap += (min(now.Since(e.at), SilentMost) - e.gap) / 4
	}
	e.Beat, e.at = b, now
	e.leaving = e.leaving || g.stops
	e.status = e.well(now)
	if was.status != e.status || was.Service != b.Service || was.Addr != b.Addr || was.Weight != b.Weight || far(was.Burden, b.Burden) {
		c.News = true
	}
	return c
}

func far(a, b float64) bool { return a-b > 0.1 || b-a > 0.1 }

func (g *Gate) leave(now monotime.Time, b Beat) Change {
	var c Change
	if !g.held(now) {
		c = g.alive(now, b)
	}
	e := g.all[b.Server]
	if e == nil {
		return c
	}
	if !e.leaving {
		e.leaving, c.News = true, true
	}
	e.status = e.well(now)
	return c
}

func (g *Gate) signOff(now monotime.Time, b Beat) Change {
	g.off[b.Server] = now
	if g.all[b.Server] == nil {
		return Change{}
	}
	return g.drop(b.Server)
}

func (g *Gate) drop(s ident.Server) Change {
	e := g.all[s]
	if e == nil {
		return Change{}
	}
	delete(g.all, s)
	if g.spots[e.Addr] == s {
		delete(g.spots, e.Addr)
	}
	return Change{News: true, Closed: []ident.Addr{e.Addr}}
}

// silent is how long this endpoint may go without a beat.
func (e *entry) silent() time.Duration {
	if e.beat > 0 {
		return e.beat * 5 / 2
	}
	return min(SilentMost, max(Silent, e.gap*9/5))
}

func (e *entry) well(now monotime.Time) record.Status {
	switch {
	case !e.open && (now.Since(e.at) > e.silent() || e.sick.After(now)):
		return record.Unhealthy
	case e.leaving:
		return record.Draining
	}
	return record.Healthy
}

// Tick forgets the silent.
func (g *Gate) Tick(now monotime.Time) (c Change) {
	if g.tick != 0 && now.Since(g.tick) > pause {
		g.shy = now.Add(shy)
		for s, at := range g.off { // time that was not watched, or never was, does not count
			g.off[s] = at.Add(now.Since(g.tick))
		}
	}
	g.tick = now
	for _, s := range g.servers() {
		e := g.all[s]
		if now.Since(e.at) > max(forget, 2*e.silent()) && !g.Open {
			d := g.drop(s)
			c.Closed, c.News = append(c.Closed, d.Closed...), true
			g.Forgotten++
			continue
		}
		if st := e.well(now); st != e.status {
			if st == record.Unhealthy {
				c.Closed = append(c.Closed, e.Addr)
			}
			e.status, c.News = st, true
		}
	}
	for s, at := range g.off {
		if now.Since(at) > gone {
			delete(g.off, s)
		}
	}
	return c
}

func (g *Gate) servers() []ident.Server {
	out := make([]ident.Server, 0, len(g.all))
	for s := range g.all {
		out = append(out, s)
	}
	slices.Sort(out)
	return out
}

// Pass is asked just before a request goes to the endpoint, and again just before
// its first byte. Fresh is until when the first byte may go.
func (g *Gate) Pass(now monotime.Time, s ident.Server, svc ident.Service) (addr ident.Addr, fresh monotime.Time, d *failure.Error) {
	e := g.all[s]
	if g.Open && e != nil {
		return e.Addr, now.Add(Silent), nil
	}
	switch {
	case g.held(now):
		d = failure.New(failure.Gate, "this machine was held up")
	case e == nil:
		d = failure.New(failure.Gate, "server %q is not here", s)
	case e.Service != svc:
		d = failure.New(failure.Gate, "server %q does not serve %q", s, svc)
	case e.well(now) != record.Healthy:
		d = failure.New(failure.Gate, "server %q is %s", s, e.well(now))
	}
	if d != nil {
		g.TurnedAway++
		return "", 0, d
	}
	g.Passed++
	return e.Addr, e.at.Add(e.silent()), nil
}

// Failed says that the endpoint took no connection.
func (g *Gate) Failed(now monotime.Time, s ident.Server) Change {
	e := g.all[s]
	if e == nil {
		return Change{}
	}
	e.sick = now.Add(sick)
	if st := e.well(now); st != e.status {
		e.status = st
		return Change{News: true, Closed: []ident.Addr{e.Addr}}
	}
	return Change{}
}

// Leave marks every endpoint as leaving: the machine stops.
func (g *Gate) Leave(now monotime.Time) Change {
	g.stops = true
	for _, e := range g.all {
		e.leaving = true
		e.status = e.well(now)
	}
	return Change{News: true}
}

// Hand counts requests in hand at an endpoint.
func (g *Gate) Hand(s ident.Server, by int) {
	if e := g.all[s]; e != nil {
		e.hand += by
	}
}

// Workloads lists what the sidecar reports.
func (g *Gate) Workloads() []record.Workload {
	out := []record.Workload{}
	for _, s := range g.servers() {
		e := g.all[s]
		out = append(out, record.Workload{UID: s, Service: e.Service, Addresses: []ident.Addr{e.Addr}, Weight: e.Weight, Status: e.status, Burden: e.Burden})
	}
	return out
}
