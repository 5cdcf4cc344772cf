package world

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/gate"
)

// Mood is how an endpoint behaves.
type Mood struct {
	Work          time.Duration
	Lose, Garbage float64
	Long          float64 // the part that take longWork
	// The rest is for worlds with admission queues.
	Slots, Queue int     // requests it works on at once, and queues beyond them
	Fail         float64 // the part of its returns that say that it failed
}

// longWork is how long a long request takes.
const longWork = 2500 * time.Millisecond

// Endpoint is one run of one endpoint.
type Endpoint struct {
	w       *World
	Side    *Side
	Server  ident.Server
	Service ident.Service
	Addr    ident.Addr
	Mood    Mood
	up      bool
	hung    bool
	late    []func() // what came while it hung, run when it wakes
	queue   []func() bool
	seq     uint64 // of its beats
	state   gate.State
	hand    int
	leftAt  monotime.Time // when its leaving was first confirmed on its machine
	beatAt  monotime.Time // when its machine last took a beat of it, by the machine's clock
	lostAt  monotime.Time // when its loss was confirmed on its machine, 0 if it is not
}

// losses notes, while the machine runs and by its own clock, whose loss is confirmed on
// it: reckoned from what it was told, not by the gate that is judged by it.
func (s *Side) losses() {
	for _, e := range s.Ends {
		if e.lostAt == 0 && e.beatAt != 0 && s.clock().Since(e.beatAt) > s.w.silent() {
			e.lostAt = s.w.now
			s.w.Check.Look("late-to-leaver")
		}
	}
}

// Hang makes the endpoint hang for a while, connections still taken.
func (e *Endpoint) Hang(d time.Duration) {
	if !e.up || e.hung {
		return
	}
	e.hung = true
	e.w.After(d, func() {
		e.hung = false
		list := e.late
		e.late = nil
		if !e.up {
			return
		}
		for _, do := range list {
			do()
		}
		e.beat(e.state)
		e.room()
	})
}

// pace is how often endpoints beat where they keep a pace of their own.
const pace = 1500 * time.Millisecond

// firstBeat is how long after its start the first beat of such an endpoint may come.
const firstBeat = 300 * time.Millisecond

// silent is after how long without a beat an endpoint counts as lost.
func (w *World) silent() time.Duration {
	if w.Platform {
		return pace * 5 / 2
	}
	return gate.SilentMost
}

// NewEndpoint starts an endpoint on a machine.
func (s *Side) NewEndpoint(server ident.Server, svc ident.Service, addr ident.Addr, mood Mood) *Endpoint {
	e := &Endpoint{w: s.w, Side: s, Server: server, Service: svc, Addr: addr, Mood: mood, up: true, state: gate.Alive}
	s.Ends = append(s.Ends, e)
	s.w.spots[addr] = e
	if s.w.Platform { // it takes connections before it is known
		s.w.After(time.Duration(s.w.Rng.Int64N(int64(firstBeat))), e.beats)
		return e
	}
	e.beats()
	return e
}

func (e *Endpoint) beats() {
	if !e.up {
		return
	}
	if !e.hung {
		e.beat(e.state)
	}
	if e.w.Platform {
		e.w.After(pace-10*time.Millisecond+time.Duration(e.w.Rng.Int64N(int64(20*time.Millisecond))), e.beats)
		return
	}
	e.w.After(290*time.Millisecond+time.Duration(e.w.Rng.Int64N(int64(20*time.Millisecond))), e.beats)
}

func (e *Endpoint) beat(st gate.State) {
	s, gen := e.Side, e.Side.gen
	b := gate.Beat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: st, Burden: float64(e.hand) / 16}
	if e.w.Platform {
		e.seq++
		b.Slots, b.Seq = e.Mood.Slots, e.seq
	}
	if e.w.Break == "leaver" {
		b.State = gate.Alive // its leaving is not heeded
	}
	e.w.After(200*time.Microsecond, func() {
		s.run(gen, func() {
			c, d := s.gate.Take(s.clock(), b)
			if d != nil {
				return
			}
			s.changed(c)
			s.endpointBeat(b)
			e.beatAt, e.lostAt = s.clock(), 0
			if st != gate.Alive && e.leftAt == 0 {
				e.leftAt = e.w.now
				e.w.Check.Look("late-to-leaver")
			}
		})
	})
}

// Leave drains: it says so, finishes, signs off and ends; then comes after.
func (e *Endpoint) Leave(drain time.Duration, after func()) {
	if !e.up {
		return
	}
	e.state = gate.Leaving
	e.beat(gate.Leaving)
	e.w.After(drain, func() {
		if !e.up {
			return
		}
		e.beat(gate.Gone)
		e.Die()
		if after != nil {
			after()
		}
	})
}

// Die ends the endpoint without a word.
func (e *Endpoint) Die() {
	e.up = false
	if e.w.spots[e.Addr] == e {
		delete(e.w.spots, e.Addr)
	}
	for i, o := range e.Side.Ends {
		if o == e {
			e.Side.Ends = append(e.Side.Ends[:i:i], e.Side.Ends[i+1:]...)
			break
		}
	}
}
