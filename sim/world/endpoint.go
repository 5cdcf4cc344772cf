package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Behavior is how an endpoint behaves.
type Behavior struct {
	ServiceTime                 time.Duration
	NoResponseRate, GarbageRate float64
	SlowRate                    float64 // the part that take longWork
	// The rest is for worlds with admission queues.
	Slots, QueueLimit int     // requests it works on at once, and queues beyond them
	FailureRate       float64 // the part of its returns that say that it failed
}

// slowServiceTime is how long a long request takes.
const slowServiceTime = 2500 * time.Millisecond

// Endpoint is one run of one endpoint.
type Endpoint struct {
	world             *World
	Sidecar           *Sidecar
	Server            ident.Server
	Service           ident.Service
	Addr              ident.Addr
	Behavior          Behavior
	running           bool
	hung              bool
	deferred          []func() // what came while it hung, run when it wakes
	waiting           []func() bool
	heartbeatSequence uint64 // of its beats
	state             endpoint.State
	inFlight          int
	leaveConfirmedAt  monotime.Time // when its leaving was first confirmed on its machine
	lastHeartbeat     monotime.Time // when its machine last took a beat of it, by the machine's clock
	lossConfirmedAt   monotime.Time // when its loss was confirmed on its machine, 0 if it is not
}

// recordLosses notes, while the machine runs and by its own clock, whose loss is confirmed on
// it: reckoned from what it was told, not by the gate that is judged by it.
func (s *Sidecar) recordLosses() {
	for _, e := range s.Endpoints {
		if e.lossConfirmedAt == 0 && e.lastHeartbeat != 0 && s.localTime().Since(e.lastHeartbeat) > s.world.silenceTimeout() {
			e.lossConfirmedAt = s.world.now
			s.world.Checker.Observe("late-to-leaver")
		}
	}
}

// Hang makes the endpoint hang for a while, connections still taken.
func (e *Endpoint) Hang(duration time.Duration) {
	if !e.running || e.hung {
		return
	}
	e.hung = true
	e.world.After(duration, func() {
		e.hung = false
		deferred := e.deferred
		e.deferred = nil
		if !e.running {
			return
		}
		for _, work := range deferred {
			work()
		}
		e.sendHeartbeat(e.state)
		e.dequeue()
	})
}

// heartbeatInterval is how often endpoints beat where they keep a pace of their own.
const heartbeatInterval = 1500 * time.Millisecond

// firstHeartbeatDelay is how long after its start the first beat of such an endpoint may come.
const firstHeartbeatDelay = 300 * time.Millisecond

// silenceTimeout is after how long without a beat an endpoint counts as lost.
func (w *World) silenceTimeout() time.Duration {
	if w.Platform {
		return heartbeatInterval * 5 / 2
	}
	return endpoint.MaxHeartbeatTimeout
}

// NewEndpoint starts an endpoint on a machine.
func (s *Sidecar) NewEndpoint(server ident.Server, service ident.Service, addr ident.Addr, behavior Behavior) *Endpoint {
	e := &Endpoint{world: s.world, Sidecar: s, Server: server, Service: service, Addr: addr, Behavior: behavior, running: true, state: endpoint.Alive}
	s.Endpoints = append(s.Endpoints, e)
	s.world.endpoints[addr] = e
	if s.world.Platform { // it takes connections before it is known
		s.world.After(time.Duration(s.world.Rng.Int64N(int64(firstHeartbeatDelay))), e.heartbeatLoop)
		return e
	}
	e.heartbeatLoop()
	return e
}

func (e *Endpoint) heartbeatLoop() {
	if !e.running {
		return
	}
	if !e.hung {
		e.sendHeartbeat(e.state)
	}
	if e.world.Platform {
		e.world.After(heartbeatInterval-10*time.Millisecond+time.Duration(e.world.Rng.Int64N(int64(20*time.Millisecond))), e.heartbeatLoop)
		return
	}
	e.world.After(290*time.Millisecond+time.Duration(e.world.Rng.Int64N(int64(20*time.Millisecond))), e.heartbeatLoop)
}

func (e *Endpoint) sendHeartbeat(state endpoint.State) {
	s, generation := e.Sidecar, e.Sidecar.generation
	heartbeat := endpoint.Heartbeat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: state, Load: float64(e.inFlight) / 16}
	if e.world.Platform {
		e.heartbeatSequence++
		heartbeat.Slots, heartbeat.Seq = e.Behavior.Slots, e.heartbeatSequence
	}
	if e.world.Mutant == "leaver" {
		heartbeat.State = endpoint.Alive // its leaving is not heeded
	}
	e.world.After(200*time.Microsecond, func() {
		s.runInGeneration(generation, func() {
			c, rejection := s.tracker.HandleHeartbeat(s.localTime(), heartbeat)
			if rejection != nil {
				return
			}
			s.endpointsChanged(c)
			s.heartbeatTaken(heartbeat)
			e.lastHeartbeat, e.lossConfirmedAt = s.localTime(), 0
			if state != endpoint.Alive && e.leaveConfirmedAt == 0 {
				e.leaveConfirmedAt = e.world.now
				e.world.Checker.Observe("late-to-leaver")
			}
		})
	})
}

// Leave drains: it says so, finishes, signs off and ends; then comes after.
func (e *Endpoint) Leave(drain time.Duration, then func()) {
	if !e.running {
		return
	}
	e.state = endpoint.Leaving
	e.sendHeartbeat(endpoint.Leaving)
	e.world.After(drain, func() {
		if !e.running {
			return
		}
		e.sendHeartbeat(endpoint.Gone)
		e.Kill()
		if then != nil {
			then()
		}
	})
}

// Kill ends the endpoint without a word.
func (e *Endpoint) Kill() {
	e.running = false
	if e.world.endpoints[e.Addr] == e {
		delete(e.world.endpoints, e.Addr)
	}
	for i, o := range e.Sidecar.Endpoints {
		if o == e {
			e.Sidecar.Endpoints = append(e.Sidecar.Endpoints[:i:i], e.Sidecar.Endpoints[i+1:]...)
			break
		}
	}
}
