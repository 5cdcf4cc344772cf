// Package endpoint tracks the endpoints of one machine by their heartbeats. Its Tracker derives
// their health for the registry and checks, just before a request goes to an endpoint, that the
// endpoint still is the one that was meant: addresses are reused by other servers and services.
package endpoint

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

const (
	// HeartbeatTimeout is how long an endpoint may go without a heartbeat.
	HeartbeatTimeout = 1100 * time.Millisecond
	// MaxHeartbeatTimeout is the same for an endpoint whose heartbeats come at a longer interval
	// than the one that it is asked to keep.
	// Invariant: with the longest dial it stays below the shortest reuseAfterS, the time after
	// which another server may use the address.
	MaxHeartbeatTimeout = 1600 * time.Millisecond
	// HeartbeatInterval is the interval that endpoints are asked to keep.
	HeartbeatInterval = 300 * time.Millisecond
	// stallThreshold is how long without a Tick means that this process was suspended.
	stallThreshold = 400 * time.Millisecond
	// distrustAfterStall is for how long after a stall heartbeats that say alive are ignored:
	// they may have lain in a socket since before the endpoint ended.
	distrustAfterStall = 500 * time.Millisecond
	// forgetAfter is how long an endpoint without heartbeats is kept as unhealthy.
	forgetAfter = 4 * time.Second
	// evictionRetention is for how long a server can't come back whose address another one has taken
	// by a heartbeat that was not verified.
	evictionRetention = 3 * time.Second
	// unhealthyAfterFailure is for how long an endpoint is unhealthy that refused a connection.
	unhealthyAfterFailure = 700 * time.Millisecond
)

// Tracker knows the endpoints of one machine. It reads no clock and does no I/O. Invariants: an
// address belongs to one server at a time, the one with the newest heartbeat; leaving is never
// taken back; a server that signed off, or whose address has passed on, is not let in again by a
// late heartbeat, however late; with VerifyNewEndpoints no server becomes healthy that this run of the
// sidecar knows by heartbeats alone, which may be older than a sign-off at an earlier run.
type Tracker struct {
	endpoints     map[ident.Server]*trackedEndpoint
	serverByAddr  map[ident.Addr]ident.Server
	departed      departedServers
	evictedAt     map[ident.Server]monotime.Time // by a heartbeat that was not verified
	lastTick      monotime.Time
	distrustUntil monotime.Time
	stopping      bool // the machine stops: an endpoint that comes now leaves with the rest
	// EndpointsVerifyTarget says that endpoints reject requests that name another server, so a stale heartbeat
	// does no harm and a process that was suspended may go on at once.
	EndpointsVerifyTarget bool
	// VerifyNewEndpoints says that endpoints can be asked: one that is not known yet stays unknown until
	// MarkVerified is called.
	VerifyNewEndpoints bool
	// requestedInterval is the heartbeat interval that endpoints are asked for, 0 for
	// HeartbeatInterval.
	requestedInterval time.Duration
	// SkipChecks, when set, switches the checks off; only tests of the checkers do that.
	SkipChecks bool
	// ForgetDepartures, when set, lets late heartbeats bring endpoints back; only tests of the
	// checkers do that.
	ForgetDepartures bool
	// Counters.
	Accepted, Rejected, Expired, StaleHeartbeats, LateHeartbeats uint64
}

// Change is the effect of a step.
type Change struct {
	// WorkloadsChanged says that what Workloads lists is different now.
	WorkloadsChanged bool
	// CloseAddrs lists the addresses whose open connections must be closed.
	CloseAddrs []ident.Addr
}

// New makes a tracker without endpoints.
func New() *Tracker {
	return &Tracker{
		endpoints:    map[ident.Server]*trackedEndpoint{},
		serverByAddr: map[ident.Addr]ident.Server{},
		departed:     newDepartedServers(),
		evictedAt:    map[ident.Server]monotime.Time{},
	}
}

// WithHeartbeatInterval sets the heartbeat interval that endpoints are asked for, where it is not
// HeartbeatInterval; it returns the tracker itself.
func (t *Tracker) WithHeartbeatInterval(interval time.Duration) *Tracker {
	t.requestedInterval = interval
	return t
}

// stalled reports whether this process was suspended just now, so that what it receives may be old.
// Invariant: a stale heartbeat never makes a server healthy.
func (t *Tracker) stalled(now monotime.Time) bool {
	return !t.EndpointsVerifyTarget && (t.distrustUntil.After(now) || t.lastTick != 0 && now.Since(t.lastTick) > stallThreshold)
}

// HandleHeartbeat takes a heartbeat of an endpoint of this machine.
func (t *Tracker) HandleHeartbeat(now monotime.Time, heartbeat Heartbeat) (Change, *failure.Error) {
	if heartbeat.State == Alive && t.stalled(now) {
		t.StaleHeartbeats++
		return Change{}, nil
	}
	if err := heartbeat.validate(); err != nil {
		return Change{}, err
	}
	if e := t.endpoints[heartbeat.Server]; e != nil && heartbeat.Seq != 0 && heartbeat.Seq <= e.Seq {
		return Change{}, nil
	}
	if heartbeat.State == Gone {
		return t.depart(heartbeat.Server, heartbeat.Seq), nil
	}
	if t.departed.sentBefore(heartbeat) {
		t.LateHeartbeats++
		return Change{}, nil
	}
	if heartbeat.State == Leaving {
		return t.handleLeaving(now, heartbeat), nil
	}
	return t.handleAlive(now, heartbeat), nil
}

func (t *Tracker) handleAlive(now monotime.Time, heartbeat Heartbeat) Change {
	if evictedAt, evicted := t.evictedAt[heartbeat.Server]; evicted && now.Since(evictedAt) < evictionRetention {
		return Change{}
	}
	if heartbeat.Weight == 0 {
		heartbeat.Weight = 1
	}
	e := t.endpoints[heartbeat.Server]
	if e == nil {
		e = t.newEndpoint()
		t.endpoints[heartbeat.Server] = e
	}
	var change Change
	if !e.unverified {
		change = t.takeAddr(now, heartbeat.Server, heartbeat.Addr)
	}
	if e.Addr != "" && e.Addr != heartbeat.Addr {
		change.CloseAddrs = append(change.CloseAddrs, e.Addr)
		t.releaseAddr(heartbeat.Server, e.Addr)
	}
	before := *e
	e.accept(now, heartbeat)
	e.leaving = e.leaving || t.stopping
	e.status = e.statusAt(now)
	change.WorkloadsChanged = change.WorkloadsChanged || e.reportDiffers(&before)
	return change
}

func (t *Tracker) newEndpoint() *trackedEndpoint {
	return &trackedEndpoint{
		status:            record.Unknown,
		unverified:        t.VerifyNewEndpoints && !t.ForgetDepartures,
		skipChecks:        t.SkipChecks,
		requestedInterval: t.requestedInterval,
	}
}

// handleLeaving marks an endpoint as leaving, also while heartbeats are not trusted. One that is not
// known then has left: it must not become healthy by what it sent before.
func (t *Tracker) handleLeaving(now monotime.Time, heartbeat Heartbeat) Change {
	var change Change
	if !t.stalled(now) {
		change = t.handleAlive(now, heartbeat)
	}
	e := t.endpoints[heartbeat.Server]
	if e == nil {
		return t.depart(heartbeat.Server, 0)
	}
	if !e.leaving {
		e.leaving, change.WorkloadsChanged = true, true
	}
	e.status = e.statusAt(now)
	return change
}

// depart remembers that a server has left, and forgets its endpoint if that is known; seq is that of
// its sign-off, 0 if there is none.
func (t *Tracker) depart(server ident.Server, seq uint64) Change {
	if !t.ForgetDepartures {
		t.departed.add(server, seq)
	}
	return t.remove(server)
}

// remove forgets an endpoint, if it is known, and has its connections closed.
func (t *Tracker) remove(server ident.Server) Change {
	e := t.endpoints[server]
	if e == nil {
		return Change{}
	}
	change := Change{WorkloadsChanged: true, CloseAddrs: t.ownAddrs(server, e)}
	delete(t.endpoints, server)
	t.releaseAddr(server, e.Addr)
	return change
}

// Tick notices stalls of this process and endpoints without heartbeats. It is to be called more
// often than every stallThreshold.
func (t *Tracker) Tick(now monotime.Time) Change {
	if t.lastTick != 0 && now.Since(t.lastTick) > stallThreshold {
		t.recoverFromStall(now)
	}
	t.lastTick = now
	maps.DeleteFunc(t.evictedAt, func(_ ident.Server, evictedAt monotime.Time) bool { return now.Since(evictedAt) > evictionRetention })
	return t.refreshStatuses(now)
}

// recoverFromStall begins the time in which heartbeats are not trusted. The time of the stall does
// not count as retention of evictions, for nothing was received in it.
func (t *Tracker) recoverFromStall(now monotime.Time) {
	t.distrustUntil = now.Add(distrustAfterStall)
	for server, evictedAt := range t.evictedAt {
		t.evictedAt[server] = evictedAt.Add(now.Since(t.lastTick))
	}
}

// refreshStatuses updates the status of every endpoint and forgets those that are long silent. One
// that was leaving has left, and does not come back by a heartbeat that it sent before.
func (t *Tracker) refreshStatuses(now monotime.Time) (change Change) {
	for _, server := range t.sortedServers() {
		e := t.endpoints[server]
		if now.Since(e.lastHeartbeat) > max(forgetAfter, 2*e.heartbeatTimeout()) && !t.SkipChecks {
			removed := t.forget(server)
			change.CloseAddrs, change.WorkloadsChanged = append(change.CloseAddrs, removed.CloseAddrs...), true
			t.Expired++
			continue
		}
		if status := e.statusAt(now); status != e.status {
			if status == record.Unhealthy {
				change.CloseAddrs = append(change.CloseAddrs, t.ownAddrs(server, e)...)
			}
			e.status, change.WorkloadsChanged = status, true
		}
	}
	return change
}

// forget removes an endpoint that is silent or whose address is another's. One that was leaving has
// departed.
func (t *Tracker) forget(server ident.Server) Change {
	if e := t.endpoints[server]; e != nil && e.leaving {
		return t.depart(server, 0)
	}
	return t.remove(server)
}

// sortedServers lists the servers in a fixed order, so that runs can be repeated.
func (t *Tracker) sortedServers() []ident.Server { return slices.Sorted(maps.Keys(t.endpoints)) }

// Check is asked just before a request goes to an endpoint, and again just before its first byte.
// It gives the endpoint's address and until when the first byte may go, or why the request must
// not go there: then it has not been executed.
func (t *Tracker) Check(
	now monotime.Time, server ident.Server, service ident.Service,
) (addr ident.Addr, validUntil monotime.Time, err *failure.Error) {
	e := t.endpoints[server]
	if t.SkipChecks && e != nil {
		return e.Addr, now.Add(HeartbeatTimeout), nil
	}
	switch {
	case t.stalled(now):
		err = failure.New(failure.EndpointRejected, "this process was suspended and awaits new heartbeats")
	case e == nil:
		err = failure.New(failure.EndpointRejected, "server %q is not here", server)
	case e.Service != service:
		err = failure.New(failure.EndpointRejected, "server %q does not serve %q", server, service)
	case e.statusAt(now) != record.Healthy:
		err = failure.New(failure.EndpointRejected, "server %q is %s", server, e.statusAt(now))
	}
	if err != nil {
		t.Rejected++
		return "", 0, err
	}
	t.Accepted++
	return e.Addr, e.lastHeartbeat.Add(e.heartbeatTimeout()), nil
}

// HandleConnectFailure notes that an endpoint refused a connection: it is unhealthy for a while.
func (t *Tracker) HandleConnectFailure(now monotime.Time, server ident.Server) Change {
	e := t.endpoints[server]
	if e == nil {
		return Change{}
	}
	e.unhealthyUntil = now.Add(unhealthyAfterFailure)
	if status := e.statusAt(now); status != e.status {
		e.status = status
		return Change{WorkloadsChanged: true, CloseAddrs: []ident.Addr{e.Addr}}
	}
	return Change{}
}

// DrainAll marks every endpoint as leaving, and those that come later too: the machine stops.
func (t *Tracker) DrainAll(now monotime.Time) Change {
	t.stopping = true
	for _, e := range t.endpoints {
		e.leaving = true
		e.status = e.statusAt(now)
	}
	return Change{WorkloadsChanged: true}
}

// Workloads lists the endpoints as the sidecar reports them to the registry.
func (t *Tracker) Workloads() []record.Workload {
	workloads := []record.Workload{}
	for _, server := range t.sortedServers() {
		e := t.endpoints[server]
		workloads = append(workloads, record.Workload{
			UID:       server,
			Service:   e.Service,
			Addresses: []ident.Addr{e.Addr},
			Weight:    e.Weight,
			Status:    e.status,
			Load:      e.Load,
		})
	}
	return workloads
}
