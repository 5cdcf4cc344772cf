package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	// heartbeatInterval is how often endpoints send heartbeats in worlds of the platform's
	// kind, and shortHeartbeatInterval in others; both vary by heartbeatSpread.
	heartbeatInterval      = 1500 * time.Millisecond
	shortHeartbeatInterval = 300 * time.Millisecond
	heartbeatSpread        = 20 * time.Millisecond
	// firstHeartbeatDelay bounds how long after its start an endpoint of the platform's kind
	// sends its first heartbeat.
	firstHeartbeatDelay = 300 * time.Millisecond
	// heartbeatLatency is how long a heartbeat takes to the sidecar beside its endpoint.
	heartbeatLatency = 200 * time.Microsecond
	// fullLoad is how many requests in flight an endpoint reports as a load of 1.
	fullLoad = 16
	// slowServiceTime is how long a slow request takes.
	slowServiceTime = 2500 * time.Millisecond
)

// Behavior is how an endpoint behaves. Rates are parts of its requests.
type Behavior struct {
	ServiceTime    time.Duration // the mean
	NoResponseRate float64
	GarbageRate    float64 // of responses that can't be read
	SlowRate       float64 // of requests that take slowServiceTime
	// The rest is for worlds with admission queues.
	Slots       int     // requests that it works on at once
	QueueLimit  int     // requests that it queues beyond them
	FailureRate float64 // of responses that say that it failed
}

// Endpoint is one process of a service beside a sidecar.
type Endpoint struct {
	world    *World
	Sidecar  *Sidecar
	Server   ident.Server
	Service  ident.Service
	Addr     ident.Addr
	Behavior Behavior

	running   bool
	signedOff bool // it sends no more heartbeats
	hung      bool
	state     endpoint.State
	inFlight  int
	deferred  []func() // what arrived while it hung, run when it goes on
	waiting   []func() // the requests that it queues

	heartbeatSequence uint64
	lastHeartbeat     monotime.Time // when its machine last took one, by the machine's clock
	leaveConfirmedAt  monotime.Time // when its leaving was first confirmed on its machine, 0 if it is not
	lossConfirmedAt   monotime.Time // when its loss was, 0 if it is not
}

// NewEndpoint starts an endpoint on a machine. One of the platform's kind takes connections
// before it sends its first heartbeat.
func (s *Sidecar) NewEndpoint(server ident.Server, service ident.Service, addr ident.Addr, behavior Behavior) *Endpoint {
	e := &Endpoint{world: s.world, Sidecar: s, Server: server, Service: service, Addr: addr, Behavior: behavior, running: true, state: endpoint.Alive}
	s.Endpoints = append(s.Endpoints, e)
	s.world.endpoints[addr] = e
	if s.world.Platform {
		s.world.After(s.world.randomUpTo(firstHeartbeatDelay), e.heartbeatLoop)
		return e
	}
	e.heartbeatLoop()
	return e
}

// Hang makes the endpoint hang for a while; it goes on taking connections.
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

// silenceTimeout is after how long without a heartbeat an endpoint counts as lost.
func (w *World) silenceTimeout() time.Duration {
	if w.Platform {
		return heartbeatInterval * 5 / 2
	}
	return endpoint.MaxHeartbeatTimeout
}

// heartbeatLoop sends heartbeats as long as the endpoint runs.
func (e *Endpoint) heartbeatLoop() {
	if !e.running || e.signedOff {
		return
	}
	if !e.hung {
		e.sendHeartbeat(e.state)
	}
	interval := shortHeartbeatInterval
	if e.world.Platform {
		interval = heartbeatInterval
	}
	e.world.After(interval-heartbeatSpread/2+e.world.randomUpTo(heartbeatSpread), e.heartbeatLoop)
}

func (e *Endpoint) sendHeartbeat(state endpoint.State) {
	e.deliverHeartbeat(e.newHeartbeat(state), state)
}

// newHeartbeat makes the next heartbeat.
func (e *Endpoint) newHeartbeat(state endpoint.State) endpoint.Heartbeat {
	heartbeat := endpoint.Heartbeat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: state, Load: float64(e.inFlight) / fullLoad}
	if e.world.Platform {
		e.heartbeatSequence++
		heartbeat.Slots, heartbeat.Seq = e.Behavior.Slots, e.heartbeatSequence
	}
	if e.world.Mutant == MutantIgnoreLeave {
		heartbeat.State = endpoint.Alive
	}
	return heartbeat
}

// deliverHeartbeat has a heartbeat come to the sidecar as it runs now. If the endpoint said by it that
// it leaves, that is confirmed then.
func (e *Endpoint) deliverHeartbeat(heartbeat endpoint.Heartbeat, said endpoint.State) {
	s, generation := e.Sidecar, e.Sidecar.generation
	e.world.After(heartbeatLatency, func() {
		s.runInGeneration(generation, func() {
			if !s.handleHeartbeat(e, heartbeat) {
				return
			}
			if said != endpoint.Alive && e.leaveConfirmedAt == 0 {
				e.leaveConfirmedAt = e.world.now
				e.world.Checker.Observe(invariant.RequestAfterLeave)
			}
		})
	})
}

// Leave drains the endpoint: it reports that it leaves, finishes what is in flight, reports
// that it is gone and ends; then is called after that, if given.
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

// SignOffFirst has the endpoint sign off before anything else and serve on for a while; then it ends,
// and then is called. Its last heartbeat before the sign-off is held up, and comes only after lateness.
func (e *Endpoint) SignOffFirst(lateness, serveOn time.Duration, then func()) {
	if !e.running || e.signedOff {
		return
	}
	late := e.newHeartbeat(endpoint.Alive)
	e.world.After(lateness, func() { e.deliverHeartbeat(late, endpoint.Alive) })
	e.state, e.signedOff = endpoint.Gone, true
	e.sendHeartbeat(endpoint.Gone)
	e.world.After(serveOn, func() {
		if e.running {
			e.Kill()
			then()
		}
	})
}

// Kill ends the endpoint at once.
func (e *Endpoint) Kill() {
	e.running = false
	if e.world.endpoints[e.Addr] == e {
		delete(e.world.endpoints, e.Addr)
	}
	for i, other := range e.Sidecar.Endpoints {
		if other == e {
			e.Sidecar.Endpoints = append(e.Sidecar.Endpoints[:i:i], e.Sidecar.Endpoints[i+1:]...)
			break
		}
	}
}
