package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/sim/invariant"
)

const (
	// heartbeatInterval is the interval between heartbeats of an endpoint with World.Platform, and
	// shortHeartbeatInterval is the interval in other worlds; both vary randomly by heartbeatSpread.
	heartbeatInterval      = 1500 * time.Millisecond
	shortHeartbeatInterval = 300 * time.Millisecond
	heartbeatSpread        = 20 * time.Millisecond
	// firstHeartbeatDelay bounds the delay between the start and the first heartbeat of an endpoint
	// with World.Platform.
	firstHeartbeatDelay = 300 * time.Millisecond
	// heartbeatLatency is the latency of a heartbeat from an endpoint to its local sidecar.
	heartbeatLatency = 200 * time.Microsecond
	// fullLoad is the number of requests in flight that an endpoint reports as a load of 1.
	fullLoad = 16
	// slowServiceTime is the service time of a slow request.
	slowServiceTime = 2500 * time.Millisecond
)

// Behavior sets the service time, the faults and the limits of an endpoint. Rates are fractions of
// the endpoint's requests.
type Behavior struct {
	ServiceTime    time.Duration // the mean
	NoResponseRate float64
	MalformedRate  float64 // of responses that can't be parsed
	SlowRate       float64 // of requests that take slowServiceTime
	// The following fields are used in worlds with admission queues.
	Slots       int     // requests that the endpoint executes concurrently
	QueueLimit  int     // requests that the endpoint queues when all slots are taken
	FailureRate float64 // of responses that report a failure of the endpoint
}

// Endpoint is one process of a service on the machine of a sidecar.
type Endpoint struct {
	world    *World
	Sidecar  *Sidecar
	Server   ident.Server
	Service  ident.Service
	Addr     ident.Addr
	Behavior Behavior

	running          bool
	signedOff        bool // the endpoint has reported that it is gone, and sends no more heartbeats
	hung             bool
	state            endpoint.State
	inFlight         int
	arrivedWhileHung []func() // requests that arrived while the endpoint hung, handled when the endpoint resumes
	requestQueue     []func() // requests that wait for a slot

	heartbeatSequence uint64
	lastHeartbeat     monotime.Time // when the sidecar last accepted a heartbeat, by the sidecar's clock
	leaveConfirmedAt  monotime.Time // when the sidecar first accepted that the endpoint leaves, 0 before
	lossConfirmedAt   monotime.Time // when the sidecar's heartbeat timeout for the endpoint ended, 0 before
}

// NewEndpoint starts an endpoint on the machine of a sidecar. With World.Platform, the endpoint
// accepts connections for a random time before the endpoint sends the first heartbeat.
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

// Hang makes the endpoint hang for a duration. A hung endpoint still accepts connections.
func (e *Endpoint) Hang(duration time.Duration) {
	if !e.running || e.hung {
		return
	}
	e.hung = true
	e.world.After(duration, func() {
		e.hung = false
		deferred := e.arrivedWhileHung
		e.arrivedWhileHung = nil
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

// heartbeatTimeout is the time without a heartbeat after which an endpoint counts as lost.
func (w *World) heartbeatTimeout() time.Duration {
	if w.Platform {
		return heartbeatInterval * 5 / 2
	}
	return endpoint.MaxHeartbeatTimeout
}

// heartbeatLoop sends heartbeats as long as the endpoint runs and has not signed off.
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

// sendHeartbeat sends one heartbeat with a state to the local sidecar.
func (e *Endpoint) sendHeartbeat(state endpoint.State) {
	e.deliverHeartbeat(e.newHeartbeat(state), state)
}

// newHeartbeat returns the next heartbeat.
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

// deliverHeartbeat delivers a heartbeat to the current generation of the sidecar. reportedState is
// the state that the endpoint intended to report; if that state is not Alive, the acceptance of the
// heartbeat confirms that the endpoint leaves.
func (e *Endpoint) deliverHeartbeat(heartbeat endpoint.Heartbeat, reportedState endpoint.State) {
	s, generation := e.Sidecar, e.Sidecar.generation
	e.world.After(heartbeatLatency, func() {
		s.runInGeneration(generation, func() {
			if !s.handleHeartbeat(e, heartbeat) {
				return
			}
			if reportedState != endpoint.Alive && e.leaveConfirmedAt == 0 {
				e.leaveConfirmedAt = e.world.now
				e.world.Checker.Observe(invariant.RequestAfterLeave)
			}
		})
	})
}

// Leave drains the endpoint: the endpoint reports that it is leaving, keeps serving for the drain
// time, reports that it is gone, and ends. If then is not nil, then is called at the end.
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

// SignOffBeforeDrain makes the endpoint sign off, that is, report that it is gone, then keep serving for
// the duration serveOn, and end. The function then is called after the end. The last heartbeat from
// before the sign-off arrives late, after the duration lateness.
func (e *Endpoint) SignOffBeforeDrain(lateness, serveOn time.Duration, then func()) {
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

// Kill ends the endpoint immediately.
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
