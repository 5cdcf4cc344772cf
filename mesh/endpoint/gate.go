// Package endpoint is the destination's last word: it says, just before a request goes
// to an endpoint, whether that endpoint still is the one that was meant.
package endpoint

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
)

const (
	// HeartbeatTimeout is how long an endpoint may go without a beat, and SilentMost how long one
	// may that beats more slowly than it is asked to. Invariant: with the longest dial
	// it stays inside the shortest reuseAfterS.
	HeartbeatTimeout    = 1100 * time.Millisecond
	MaxHeartbeatTimeout = 1600 * time.Millisecond
	// HeartbeatInterval is what endpoints are asked to keep to.
	HeartbeatInterval = 300 * time.Millisecond
	// stallThreshold is how long without a Tick means that this process was held up.
	stallThreshold = 400 * time.Millisecond
	// distrustAfterStall is how long after being held up beats are not trusted: they may have lain
	// in a socket since before the endpoint's end.
	distrustAfterStall    = 500 * time.Millisecond
	forgetAfter           = 4 * time.Second
	signOffRetention      = 3 * time.Second
	unhealthyAfterFailure = 700 * time.Millisecond
)

// State is what a beat says.
type State string

// The states of a beat.
const (
	Alive   State = "alive"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Heartbeat is an endpoint's report.
type Heartbeat struct {
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Addr    ident.Addr    `json:"address"`
	State   State         `json:"state"`
	Load    float64       `json:"burden"`
	Weight  uint32        `json:"weight"`
	// Seq, when given, orders the beats of one server.
	Seq uint64 `json:"seq"`
	// Slots is how many requests it works on at once, 0 when it does not say.
	Slots int `json:"slots,omitempty"`
	// SlowStartMillis is how much longer it is slow from its start, in milliseconds.
	SlowStartMillis float64 `json:"coldMs,omitempty"`
}

type trackedEndpoint struct {
	Heartbeat
	lastHeartbeat     monotime.Time
	meanInterval      time.Duration // between beats, smoothed
	unhealthyUntil    monotime.Time
	status            record.Status
	leaving           bool
	inFlight          int
	skipChecks        bool
	requestedInterval time.Duration // the pace asked for, 0 when it is the gate's own
}

// Tracker knows the endpoints of one machine. Invariants: an address belongs to one
// server at a time, the one that beat last; leaving is never taken back; a server
// that signed off, or whose address has passed on, is not let in again by a late beat.
type Tracker struct {
	endpoints     map[ident.Server]*trackedEndpoint
	serverByAddr  map[ident.Addr]ident.Server
	signedOffAt   map[ident.Server]monotime.Time
	lastTick      monotime.Time
	distrustUntil monotime.Time
	stopping      bool // the machine stops: whoever beats now leaves with the rest
	// Fenced says that an endpoint turns away what names another, so an old beat does no
	// harm and a process that was held up may go on at once.
	Fenced bool
	// requestedInterval is how often endpoints beat.
	requestedInterval time.Duration
	// SkipChecks, when set, switches the checks off; only tests of the checkers do that.
	SkipChecks bool
	// Counters.
	Accepted, Rejected, Expired, StaleHeartbeats uint64
}

// New makes a gate without endpoints.
func New() *Tracker {
	return &Tracker{endpoints: map[ident.Server]*trackedEndpoint{}, serverByAddr: map[ident.Addr]ident.Server{}, signedOffAt: map[ident.Server]monotime.Time{}}
}

// WithHeartbeatInterval sets how often endpoints beat, where they keep a pace of their own.
func (t *Tracker) WithHeartbeatInterval(interval time.Duration) *Tracker {
	t.requestedInterval = interval
	return t
}

// Change tells what a step did. Closed lists addresses whose connections must go.
type Change struct {
	Updated    bool
	CloseAddrs []ident.Addr
}

// heartbeatHandlers is the table of what each state of a beat does.
var heartbeatHandlers = map[State]func(*Tracker, monotime.Time, Heartbeat) Change{Alive: (*Tracker).handleAlive, Leaving: (*Tracker).handleLeaving, Gone: (*Tracker).handleGone}

// stalled tells whether this process was held up just now, so that what it hears may
// be old. Invariant: an old beat never makes a server well.
func (t *Tracker) stalled(now monotime.Time) bool {
	return !t.Fenced && (t.distrustUntil.After(now) || t.lastTick != 0 && now.Since(t.lastTick) > stallThreshold)
}

// HandleHeartbeat takes a beat.
func (t *Tracker) HandleHeartbeat(now monotime.Time, heartbeat Heartbeat) (Change, *failure.Error) {
	handle, ok := heartbeatHandlers[heartbeat.State]
	if t.stalled(now) && heartbeat.State == Alive {
		t.StaleHeartbeats++
		return Change{}, nil
	}
	if !ok {
		return Change{}, failure.New(failure.Invalid, "state must be alive, leaving or gone")
	}
	if heartbeat.Server == "" || heartbeat.State != Gone && (heartbeat.Service == "" || heartbeat.Addr == "") {
		return Change{}, failure.New(failure.Invalid, "a beat needs serverId, service and address")
	}
	if e := t.endpoints[heartbeat.Server]; e != nil && heartbeat.Seq != 0 && heartbeat.Seq <= e.Seq {
		return Change{}, nil
	}
	return handle(t, now, heartbeat), nil
}

func (t *Tracker) handleAlive(now monotime.Time, heartbeat Heartbeat) (change Change) {
	if signedOffAt, signedOff := t.signedOffAt[heartbeat.Server]; signedOff && now.Since(signedOffAt) < signOffRetention {
		return change
	}
	if heartbeat.Weight == 0 {
		heartbeat.Weight = 1
	}
	if previous, ok := t.serverByAddr[heartbeat.Addr]; ok && previous != heartbeat.Server && !t.SkipChecks {
		// Its address is another's now: a late beat must not bring it back.
		change = t.remove(previous)
		t.signedOffAt[previous] = now
	}
	e := t.endpoints[heartbeat.Server]
	if e == nil {
		e = &trackedEndpoint{status: record.Unknown, skipChecks: t.SkipChecks, requestedInterval: t.requestedInterval}
		t.endpoints[heartbeat.Server] = e
	} else if e.Addr != heartbeat.Addr {
		change.CloseAddrs = append(change.CloseAddrs, e.Addr)
		if t.serverByAddr[e.Addr] == heartbeat.Server {
			delete(t.serverByAddr, e.Addr)
		}
	}
	t.serverByAddr[heartbeat.Addr] = heartbeat.Server
	before := *e
	if e.lastHeartbeat != 0 {
		e.meanInterval += (min(now.Since(e.lastHeartbeat), MaxHeartbeatTimeout) - e.meanInterval) / 4
	}
	e.Heartbeat, e.lastHeartbeat = heartbeat, now
	e.leaving = e.leaving || t.stopping
	e.status = e.statusAt(now)
	if before.status != e.status || before.Service != heartbeat.Service || before.Addr != heartbeat.Addr || before.Weight != heartbeat.Weight || loadDiffers(before.Load, heartbeat.Load) {
		change.Updated = true
	}
	return change
}

func loadDiffers(a, b float64) bool { return a-b > 0.1 || b-a > 0.1 }

func (t *Tracker) handleLeaving(now monotime.Time, heartbeat Heartbeat) Change {
	var change Change
	if !t.stalled(now) {
		change = t.handleAlive(now, heartbeat)
	}
	e := t.endpoints[heartbeat.Server]
	if e == nil {
		return change
	}
	if !e.leaving {
		e.leaving, change.Updated = true, true
	}
	e.status = e.statusAt(now)
	return change
}

func (t *Tracker) handleGone(now monotime.Time, heartbeat Heartbeat) Change {
	t.signedOffAt[heartbeat.Server] = now
	if t.endpoints[heartbeat.Server] == nil {
		return Change{}
	}
	return t.remove(heartbeat.Server)
}

func (t *Tracker) remove(server ident.Server) Change {
	e := t.endpoints[server]
	if e == nil {
		return Change{}
	}
	delete(t.endpoints, server)
	if t.serverByAddr[e.Addr] == server {
		delete(t.serverByAddr, e.Addr)
	}
	return Change{Updated: true, CloseAddrs: []ident.Addr{e.Addr}}
}

// heartbeatTimeout is how long this endpoint may go without a beat.
func (e *trackedEndpoint) heartbeatTimeout() time.Duration {
	if e.requestedInterval > 0 {
		return e.requestedInterval * 5 / 2
	}
	return min(MaxHeartbeatTimeout, max(HeartbeatTimeout, e.meanInterval*9/5))
}

func (e *trackedEndpoint) statusAt(now monotime.Time) record.Status {
	switch {
	case !e.skipChecks && (now.Since(e.lastHeartbeat) > e.heartbeatTimeout() || e.unhealthyUntil.After(now)):
		return record.Unhealthy
	case e.leaving:
		return record.Draining
	}
	return record.Healthy
}

// Tick forgets the silent.
func (t *Tracker) Tick(now monotime.Time) (change Change) {
	if t.lastTick != 0 && now.Since(t.lastTick) > stallThreshold {
		t.distrustUntil = now.Add(distrustAfterStall)
		for server, signedOffAt := range t.signedOffAt { // time that was not watched, or never was, does not count
			t.signedOffAt[server] = signedOffAt.Add(now.Since(t.lastTick))
		}
	}
	t.lastTick = now
	for _, server := range t.sortedServers() {
		e := t.endpoints[server]
		if now.Since(e.lastHeartbeat) > max(forgetAfter, 2*e.heartbeatTimeout()) && !t.SkipChecks {
			removed := t.remove(server)
			change.CloseAddrs, change.Updated = append(change.CloseAddrs, removed.CloseAddrs...), true
			t.Expired++
			continue
		}
		if status := e.statusAt(now); status != e.status {
			if status == record.Unhealthy {
				change.CloseAddrs = append(change.CloseAddrs, e.Addr)
			}
			e.status, change.Updated = status, true
		}
	}
	for server, signedOffAt := range t.signedOffAt {
		if now.Since(signedOffAt) > signOffRetention {
			delete(t.signedOffAt, server)
		}
	}
	return change
}

func (t *Tracker) sortedServers() []ident.Server {
	servers := make([]ident.Server, 0, len(t.endpoints))
	for server := range t.endpoints {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return servers
}

// Check is asked just before a request goes to the endpoint, and again just before
// its first byte. Fresh is until when the first byte may go.
func (t *Tracker) Check(now monotime.Time, server ident.Server, service ident.Service) (addr ident.Addr, validUntil monotime.Time, err *failure.Error) {
	e := t.endpoints[server]
	if t.SkipChecks && e != nil {
		return e.Addr, now.Add(HeartbeatTimeout), nil
	}
	switch {
	case t.stalled(now):
		err = failure.New(failure.EndpointRejected, "this machine was held up")
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

// ConnectFailed says that the endpoint took no connection.
func (t *Tracker) ConnectFailed(now monotime.Time, server ident.Server) Change {
	e := t.endpoints[server]
	if e == nil {
		return Change{}
	}
	e.unhealthyUntil = now.Add(unhealthyAfterFailure)
	if status := e.statusAt(now); status != e.status {
		e.status = status
		return Change{Updated: true, CloseAddrs: []ident.Addr{e.Addr}}
	}
	return Change{}
}

// DrainAll marks every endpoint as leaving: the machine stops.
func (t *Tracker) DrainAll(now monotime.Time) Change {
	t.stopping = true
	for _, e := range t.endpoints {
		e.leaving = true
		e.status = e.statusAt(now)
	}
	return Change{Updated: true}
}

// AddInFlight counts requests in hand at an endpoint.
func (t *Tracker) AddInFlight(server ident.Server, delta int) {
	if e := t.endpoints[server]; e != nil {
		e.inFlight += delta
	}
}

// Workloads lists what the sidecar reports.
func (t *Tracker) Workloads() []record.Workload {
	workloads := []record.Workload{}
	for _, server := range t.sortedServers() {
		e := t.endpoints[server]
		workloads = append(workloads, record.Workload{UID: server, Service: e.Service, Addresses: []ident.Addr{e.Addr}, Weight: e.Weight, Status: e.status, Load: e.Load})
	}
	return workloads
}
