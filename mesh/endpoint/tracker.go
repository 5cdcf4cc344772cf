// Package endpoint tracks the endpoints of one machine by their heartbeats. The Tracker derives
// their health for the registry. Just before a request is sent, the Tracker checks that the address
// still belongs to the selected server, because other servers and services reuse addresses.
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
	// HeartbeatTimeout is how long an endpoint may go without a heartbeat before it is unhealthy.
	HeartbeatTimeout = 1100 * time.Millisecond
	// MaxHeartbeatTimeout is the longest timeout of an endpoint whose heartbeats arrive at a longer
	// interval than the requested one.
	// Invariant: MaxHeartbeatTimeout plus the longest dial stays below the shortest reuseAfterS,
	// the time after which another server may use the address.
	MaxHeartbeatTimeout = 1600 * time.Millisecond
	// HeartbeatInterval is the interval that endpoints are asked to keep.
	HeartbeatInterval = 300 * time.Millisecond
	// stallThreshold is the time without a Tick after which this process counts as suspended.
	stallThreshold = 400 * time.Millisecond
	// distrustAfterStall is how long after a stall heartbeats with state alive are ignored: they
	// may have been in a socket buffer since before the endpoint ended.
	distrustAfterStall = 500 * time.Millisecond
	// forgetAfter is how long an endpoint without heartbeats is kept as unhealthy before it is
	// removed.
	forgetAfter = 4 * time.Second
	// evictionDuration is how long heartbeats of a server are ignored after an unverified heartbeat
	// of another server has taken over its address.
	evictionDuration = 3 * time.Second
	// unhealthyAfterFailure is how long an endpoint is unhealthy after it refused a connection.
	unhealthyAfterFailure = 700 * time.Millisecond
)

// Tracker tracks the endpoints of one machine. Tracker reads no clock and does no I/O.
//
// Invariants: an address belongs to one server at a time, the server with the newest heartbeat. A
// server that is leaving never becomes available again. A late heartbeat, however late, never
// readmits a server that signed off or whose address was assigned to another server. With
// VerifyNewEndpoints, a server that this run of the sidecar knows only from heartbeats does not
// become healthy, because the heartbeats may be older than a sign-off that an earlier run of the
// sidecar received.
type Tracker struct {
	endpoints     map[ident.Server]*trackedEndpoint
	serverByAddr  map[ident.Addr]ident.Server
	departed      departedServers
	evictedAt     map[ident.Server]monotime.Time // evictions by unverified heartbeats
	lastTick      monotime.Time
	distrustUntil monotime.Time
	stopping      bool // the machine is stopping: new endpoints are marked as leaving too
	// EndpointsVerifyTarget means that endpoints reject requests addressed to another server. A
	// stale heartbeat then does no harm, and a process that was suspended may continue at once.
	EndpointsVerifyTarget bool
	// VerifyNewEndpoints means that endpoints can be asked for their health: a new endpoint has
	// status unknown until MarkVerified is called.
	VerifyNewEndpoints bool
	// requestedInterval is the heartbeat interval that endpoints are asked to keep, 0 for
	// HeartbeatInterval.
	requestedInterval time.Duration
	// SkipChecks disables the checks. Only tests that verify that the checkers detect a fault set
	// SkipChecks.
	SkipChecks bool
	// ForgetDepartures allows late heartbeats to readmit departed endpoints. Only tests that verify
	// that the checkers detect a fault set ForgetDepartures.
	ForgetDepartures bool
	// Counters: Accepted and Rejected count the results of Check; Expired counts endpoints removed
	// for missing heartbeats; StaleHeartbeats counts heartbeats ignored after a stall;
	// LateHeartbeats counts heartbeats of departed servers.
	Accepted, Rejected, Expired, StaleHeartbeats, LateHeartbeats uint64
}

// Change tells the caller what a call to the Tracker has changed.
type Change struct {
	// WorkloadsChanged means that Workloads returns a different list now.
	WorkloadsChanged bool
	// CloseAddrs lists the addresses whose open connections the caller must close.
	CloseAddrs []ident.Addr
}

// New returns a tracker without endpoints.
func New() *Tracker {
	return &Tracker{
		endpoints:    map[ident.Server]*trackedEndpoint{},
		serverByAddr: map[ident.Addr]ident.Server{},
		departed:     newDepartedServers(),
		evictedAt:    map[ident.Server]monotime.Time{},
	}
}

// WithHeartbeatInterval sets the heartbeat interval that endpoints are asked to keep, 0 for
// HeartbeatInterval, and returns the tracker itself.
func (t *Tracker) WithHeartbeatInterval(interval time.Duration) *Tracker {
	t.requestedInterval = interval
	return t
}

// stalled reports whether this process was recently suspended, so that received heartbeats may be
// stale. Invariant: a stale heartbeat never makes a server healthy.
func (t *Tracker) stalled(now monotime.Time) bool {
	return !t.EndpointsVerifyTarget && (t.distrustUntil.After(now) || t.lastTick != 0 && now.Since(t.lastTick) > stallThreshold)
}

// HandleHeartbeat processes a heartbeat of an endpoint of this machine. Stale, late and repeated
// heartbeats change nothing; an invalid heartbeat is a failure.
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
		return t.markDeparted(heartbeat.Server, heartbeat.Seq), nil
	}
	if t.departed.predatesDeparture(heartbeat) {
		t.LateHeartbeats++
		return Change{}, nil
	}
	if heartbeat.State == Leaving {
		return t.handleLeaving(now, heartbeat), nil
	}
	return t.handleAlive(now, heartbeat), nil
}

func (t *Tracker) handleAlive(now monotime.Time, heartbeat Heartbeat) Change {
	if evictedAt, evicted := t.evictedAt[heartbeat.Server]; evicted && now.Since(evictedAt) < evictionDuration {
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
		change = t.assignAddr(now, heartbeat.Server, heartbeat.Addr)
	}
	if e.Addr != "" && e.Addr != heartbeat.Addr {
		change.CloseAddrs = append(change.CloseAddrs, e.Addr)
		t.releaseAddr(heartbeat.Server, e.Addr)
	}
	before := *e
	e.recordHeartbeat(now, heartbeat)
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

// handleLeaving marks an endpoint as leaving, even while alive heartbeats are ignored after a stall.
// An endpoint that is unknown at that time is recorded as departed, so that an earlier heartbeat
// that arrives later can't make the endpoint healthy.
func (t *Tracker) handleLeaving(now monotime.Time, heartbeat Heartbeat) Change {
	var change Change
	if !t.stalled(now) {
		change = t.handleAlive(now, heartbeat)
	}
	e := t.endpoints[heartbeat.Server]
	if e == nil {
		return t.markDeparted(heartbeat.Server, 0)
	}
	if !e.leaving {
		e.leaving, change.WorkloadsChanged = true, true
	}
	e.status = e.statusAt(now)
	return change
}

// markDeparted records that a server has departed and removes its endpoint, if known; seq is the
// Seq of the sign-off, 0 if there was none.
func (t *Tracker) markDeparted(server ident.Server, seq uint64) Change {
	if !t.ForgetDepartures {
		t.departed.add(server, seq)
	}
	return t.remove(server)
}

// remove removes an endpoint, if known; the returned Change lists the connections to close.
func (t *Tracker) remove(server ident.Server) Change {
	e := t.endpoints[server]
	if e == nil {
		return Change{}
	}
	change := Change{WorkloadsChanged: true, CloseAddrs: t.ownedAddrs(server, e)}
	delete(t.endpoints, server)
	t.releaseAddr(server, e.Addr)
	return change
}

// Tick detects stalls of this process and endpoints without heartbeats. The caller must call Tick
// more often than every stallThreshold.
func (t *Tracker) Tick(now monotime.Time) Change {
	if t.lastTick != 0 && now.Since(t.lastTick) > stallThreshold {
		t.recoverFromStall(now)
	}
	t.lastTick = now
	maps.DeleteFunc(t.evictedAt, func(_ ident.Server, evictedAt monotime.Time) bool { return now.Since(evictedAt) > evictionDuration })
	return t.refreshStatuses(now)
}

// recoverFromStall starts the period in which alive heartbeats are ignored. The duration of the
// stall does not count towards evictionDuration, because no heartbeat was received during the stall.
func (t *Tracker) recoverFromStall(now monotime.Time) {
	t.distrustUntil = now.Add(distrustAfterStall)
	for server, evictedAt := range t.evictedAt {
		t.evictedAt[server] = evictedAt.Add(now.Since(t.lastTick))
	}
}

// refreshStatuses updates the status of every endpoint and removes endpoints without heartbeats
// for forgetAfter or longer. Such an endpoint that was leaving is recorded as departed, so that a
// late heartbeat does not readmit it.
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
				change.CloseAddrs = append(change.CloseAddrs, t.ownedAddrs(server, e)...)
			}
			e.status, change.WorkloadsChanged = status, true
		}
	}
	return change
}

// forget removes an endpoint that sends no heartbeats or whose address was assigned to another
// server. An endpoint that was leaving is recorded as departed.
func (t *Tracker) forget(server ident.Server) Change {
	if e := t.endpoints[server]; e != nil && e.leaving {
		return t.markDeparted(server, 0)
	}
	return t.remove(server)
}

// sortedServers lists the servers in lexical order, so that simulator runs are reproducible.
func (t *Tracker) sortedServers() []ident.Server { return slices.Sorted(maps.Keys(t.endpoints)) }

// Check decides whether a request may be sent to an endpoint. Callers call Check just before they
// connect, and again just before they send the first byte. Check returns the endpoint's address and
// the time until which the first byte may be sent, or a failure if the request must not be sent;
// the request has then not been executed.
func (t *Tracker) Check(
	now monotime.Time, server ident.Server, service ident.Service,
) (addr ident.Addr, validUntil monotime.Time, err *failure.Error) {
	e := t.endpoints[server]
	if t.SkipChecks && e != nil {
		return e.Addr, now.Add(HeartbeatTimeout), nil
	}
	switch {
	case t.stalled(now):
		err = failure.New(failure.EndpointRejected, "the sidecar was suspended and waits for a new heartbeat of server %q", server)
	case e == nil:
		err = failure.New(failure.EndpointRejected, "server %q is not an endpoint of this machine", server)
	case e.Service != service:
		err = failure.New(failure.EndpointRejected, "server %q does not serve service %q", server, service)
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

// HandleConnectFailure records that an endpoint refused a connection. The endpoint is unhealthy for
// unhealthyAfterFailure.
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

// DrainAll marks every endpoint as leaving, including endpoints that appear later, because the
// machine is stopping.
func (t *Tracker) DrainAll(now monotime.Time) Change {
	t.stopping = true
	for _, e := range t.endpoints {
		e.leaving = true
		e.status = e.statusAt(now)
	}
	return Change{WorkloadsChanged: true}
}

// Workloads lists the endpoints in the form in which the sidecar reports them to the registry.
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
