// Package sidecar is the sidecar daemon: the node beside an application.
package sidecar

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/count"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
	"cottonarch.example/cottonarch/mesh/link"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/mesh/witness"
	"cottonarch.example/cottonarch/wire/client"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	gateEvery = 80 * time.Millisecond
	// peersMost is how many peers are asked at once, and peersEvery how often.
	peersMost = 8
	// peerLimit is how long one question to a peer may take.
	peerLimit = 400 * time.Millisecond
	// dialLimit is how long a connection to another process may take to come up: longer than
	// a question waits, so that over a link that is full for a while the next one finds it.
	dialLimit = 2 * time.Second
	// lateLimit is how long an answer to a renewal is still taken that came too late to
	// count as one.
	lateLimit  = 2 * time.Second
	peersEvery = 250 * time.Millisecond
	// seedEvery bounds how often a seed that is not known to be a sidecar is asked as one,
	// coreEvery the same for one that is known to be a core; seedFirst is how long after the
	// start none is, as the cores that were asked may yet answer.
	seedEvery = 1500 * time.Millisecond
	coreEvery = 30 * time.Second
	seedFirst = 600 * time.Millisecond
	// silence is how long the machine of a gate may leave bytes unanswered before its
	// connections are given up: it has no power, or is cut off.
	silence = 700 * time.Millisecond
	// pullWaits is how often a peer's word waits ten milliseconds for a fetch under way.
	pullWaits = 15
)

// Sidecar is the running daemon. Invariants: mu guards path, gate and claim; the
// manifest in force only moves to higher, confirmed epochs; ready is never said
// before a manifest is in force and the claim was entered.
type Sidecar struct {
	Boot  boot.Sidecar
	Log   *zap.Logger
	Board *count.Board
	clock monotime.Clock
	slow  monotime.Clock // the same, counting only time that was watched
	pool  *client.Pool
	peers *exchange.Pool // to other sidecars' gates
	ends  *exchange.Pool // to the endpoints of this machine
	done  chan struct{}

	mu          sync.Mutex
	queue       *priorityqueue.Queue[*job]
	path        *path.Path
	gate        *gate.Gate
	admission   *admission.Queue
	waiters     map[uint64]chan admission.Verdict // who waits in the admission queue
	lastWaiter  uint64
	admitting   map[ident.Server]bool // endpoints that the admission queue knows
	link        *link.Link
	inbound     *link.Inbound
	wit         *witness.Witness
	shown       stored // the manifest in force
	next        stored // the one that is held and not shown yet
	leaseEpoch  ident.Epoch
	seq         uint64
	news        bool
	cores       []ident.Addr
	told        map[ident.Addr]monotime.Time
	sides       map[ident.Addr]bool          // seeds that are sidecars
	noPeer      map[ident.Addr]monotime.Time // until when a seed is not asked as a peer
	lease       *holder.Holder
	polled      ident.Addr     // the core that the poll for news is at
	joiner      *joiner.Joiner // only the duty that renews touches it
	learned     monotime.Time  // when a core last listed the cores to it
	run         string         // marks the join that is tried, "" while none is
	budgetShare holder.BudgetShare
	lastCore    monotime.Time
	began       monotime.Time
	hand        int

	limits   atomic.Pointer[check.Limits] // of the manifest in force
	bulk     atomic.Int64                 // bytes of bodies in hand
	entered  atomic.Bool
	inUse    atomic.Bool // a manifest is in force
	leaving  atomic.Bool
	fetching atomic.Int64    // manifests on their way
	refeed   atomic.Bool     // peers changed the copy: ask a core for all of it
	poke     chan ident.Addr // a core that knows a newer manifest
	push     chan struct{}
}

// New makes a sidecar.
func New(b boot.Sidecar, log *zap.Logger) *Sidecar {
	clock := monotime.Process()
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, b.Node, ident.Mark())
	now := clock()
	s := &Sidecar{Boot: b, Log: log, Board: count.New(), clock: clock, slow: monotime.Watched(clock), pool: client.NewWithin(b.Addr, dialLimit), peers: exchange.New(b.Addr, exchange.Settings{Silence: silence}), ends: exchange.New(b.Addr, exchange.Settings{Silence: silence}),
		done: make(chan struct{}), queue: priorityqueue.New[*job](b.Senders, b.Queue),
		path: path.New(now, b.District, h.Sum64(), b.Terms), gate: gate.New(), admission: admission.New(admission.DefaultSettings()), waiters: map[uint64]chan admission.Verdict{}, admitting: map[ident.Server]bool{}, link: link.New(b.Link), inbound: link.NewInbound(b.Link), wit: witness.New(now), cores: slices.Clone(b.Seeds), told: map[ident.Addr]monotime.Time{}, sides: map[ident.Addr]bool{}, noPeer: map[ident.Addr]monotime.Time{}, lease: holder.New(), joiner: joiner.New(b.Node, b.District), budgetShare: holder.BudgetShare{Terms: b.Terms},
		began: now, lastCore: now, poke: make(chan ident.Addr, 1), push: make(chan struct{}, 1)}
	for _, a := range b.Seeds {
		s.noPeer[a] = now.Add(seedFirst)
	}
	s.path.Picker.Cross = b.Cross
	s.gate.Every(b.Beat).Fenced = b.Fenced
	s.Board.Fresh = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.gauges()
	}
	return s
}

// Start starts the duties.
func (s *Sidecar) Start() {
	s.kick(s.push)
	go s.renewals()
	go s.watchGate()
	go s.follow()
	go s.neighbours()
	go s.greet()
}

// Close ends the duties.
func (s *Sidecar) Close() {
	close(s.done)
	s.pool.Close()
}

// watchGate forgets silent endpoints.
func (s *Sidecar) watchGate() {
	t := time.NewTicker(gateEvery)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-s.done:
			return
		}
		now := s.clock()
		s.mu.Lock()
		s.show()
		s.path.Tree.Tick(now)
		s.slow()
		s.changed(s.gate.Tick(now))
		s.tellWaiters(s.admission.Tick(now))
		if n%100 == 0 {
			s.ends.Tidy()
			s.peers.Tidy()
			s.path.Picker.Tidy(now, func(u ident.Server) bool { _, ok := s.path.Index.Look(string(u)); return ok })
		}
		s.mu.Unlock()
	}
}

// changed carries out a change of the gate; mu is held.
func (s *Sidecar) changed(c gate.Change) {
	for _, a := range c.Closed {
		s.ends.Drop(a)
	}
	if c.News {
		s.syncAdmission()
		s.news = true
		s.kick(s.push)
	}
}

func (s *Sidecar) gauges() {
	p := s.path
	for name, v := range map[string]uint64{"calls": p.Calls, "further_tries": p.Further, "gave_up": p.GaveUp, "no_way": p.NoWays,
		"gate_passed": s.gate.Passed, "gate_turned_away": s.gate.TurnedAway, "gate_forgotten": s.gate.Forgotten,
		"allowance_granted": p.Tree.Granted, "allowance_denied": p.Tree.Denied, "allowance_refused": p.Tree.Refused, "manifest_epoch": uint64(p.Epoch())} {
		s.Board.Set(name, int64(v))
	}
	for svc, n := range p.Tree.Totals() {
		s.Board.Set("calls."+string(svc), n[0])
		s.Board.Set("further_tries."+string(svc), n[1])
	}
	s.Board.Set("in_hand", int64(s.hand))
	s.Board.Set("queued", int64(s.queue.Len()))
}

func (s *Sidecar) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.done:
	}
}

// Ready tells whether callers may come.
func (s *Sidecar) Ready() bool {
	return s.entered.Load() && !s.leaving.Load() && s.inUse.Load()
}

// Status is what the status page shows.
func (s *Sidecar) Status() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"node": s.Boot.Node, "claim": s.leaseEpoch, "manifest": s.path.Epoch(), "ready": s.Ready(), "cores": s.cores,
		"workloads": s.gate.Workloads(), "share": s.path.Tree.Share(s.clock()), "shareGranted": s.budgetShare.Usable(), "sets": len(s.path.Index.Sets())}
}

// Beat takes an endpoint's report.
func (s *Sidecar) Beat(b gate.Beat) *failure.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	c, d := s.gate.Take(now, b)
	s.changed(c)
	if d == nil {
		s.endpointBeat(now, b)
	}
	s.Board.Add("beats", 1)
	return d
}

// Leave is the planned stop: unready, endpoints marked as leaving, and nothing in
// hand left behind.
func (s *Sidecar) Leave() {
	if s.leaving.Swap(true) {
		return
	}
	s.Log.Info("stopping")
	s.mu.Lock()
	s.changed(s.gate.Leave(s.clock()))
	s.mu.Unlock()
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	quiet := 0
	for until := time.Now().Add(s.Boot.Stop); time.Now().Before(until); {
		<-t.C
		s.mu.Lock()
		hand := s.hand
		s.mu.Unlock()
		if quiet++; hand > 0 {
			quiet = 0
		}
		// The copies elsewhere need a moment to learn that this machine leaves.
		if quiet >= 20 {
			return
		}
	}
}
