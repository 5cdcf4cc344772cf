// Package sidecar is the sidecar daemon: the node beside an application.
package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/count"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/kernel/queue"
	"cottonarch.example/cottonarch/mesh/claim/holder"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"cottonarch.example/cottonarch/wire/client"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	renewEvery = 250 * time.Millisecond
	gateEvery  = 40 * time.Millisecond
	// orphan is how long a sidecar that has never been entered waits before it takes
	// a manifest from a peer.
	orphan = 3 * time.Second
	// cutAfter is how long without any core before peers are asked.
	cutAfter = 900 * time.Millisecond
	// peersMost is how many peers are asked at once.
	peersMost = 5
)

// Sidecar is the running daemon. Invariants: mu guards path, gate and claim; the
// manifest in force only moves to higher, confirmed epochs; ready is never said
// before a manifest is in force and the claim was entered.
type Sidecar struct {
	Boot   boot.Sidecar
	Log    *zap.Logger
	Board  *count.Board
	clock  moment.Clock
	pool   *client.Pool
	peers  *exchange.Pool // to other sidecars' gates
	ends   *exchange.Pool // to the endpoints of this machine
	done   chan struct{}
	urgent *queue.Ring[*job]
	normal *queue.Ring[*job]

	mu       sync.Mutex
	path     *path.Path
	gate     *gate.Gate
	raw      json.RawMessage // of the manifest in force
	claim    ident.Epoch
	seq      uint64
	news     bool
	cores    []ident.Addr
	told     map[ident.Addr]moment.Moment
	sides    map[ident.Addr]bool // seeds that are sidecars
	held     *holder.Holder
	portion  holder.Portion
	lastCore moment.Moment
	began    moment.Moment
	hand     int
	pace     time.Duration // smoothed time of a send

	entered atomic.Bool
	inUse   atomic.Bool // a manifest is in force
	leaving atomic.Bool
	poke    chan ident.Addr // a core that knows a newer manifest
	push    chan struct{}
}

// New makes a sidecar.
func New(b boot.Sidecar, log *zap.Logger) *Sidecar {
	clock := moment.Process()
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, b.Node, ident.Mark())
	now := clock()
	s := &Sidecar{Boot: b, Log: log, Board: count.New(), clock: clock, pool: client.New(b.Addr), peers: exchange.New(b.Addr), ends: exchange.New(b.Addr),
		done: make(chan struct{}), urgent: queue.Make[*job](b.Queue), normal: queue.Make[*job](b.Queue),
		path: path.New(now, b.District, h.Sum64()), gate: gate.New(), cores: slices.Clone(b.Seeds), told: map[ident.Addr]moment.Moment{}, sides: map[ident.Addr]bool{}, held: holder.New(),
		began: now, lastCore: now, poke: make(chan ident.Addr, 1), push: make(chan struct{}, 1)}
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
	for i := range s.Boot.Senders {
		go s.sender(i%4 == 0)
	}
}

// Close ends the duties.
func (s *Sidecar) Close() {
	close(s.done)
	s.pool.Close()
}

// cored lists the cores; seeds that turned out to be sidecars only while there is
// nothing better.
func (s *Sidecar) cored() []ident.Addr {
	s.mu.Lock()
	defer s.mu.Unlock()
	real := slices.DeleteFunc(slices.Clone(s.cores), func(a ident.Addr) bool { return s.sides[a] })
	if len(real) == 0 {
		return slices.Clone(s.cores)
	}
	return real
}

// renewals claims membership, then renews at every core.
func (s *Sidecar) renewals() {
	t := time.NewTicker(renewEvery)
	defer t.Stop()
	turn := 0
	busy := map[ident.Addr]*atomic.Bool{}
	for {
		select {
		case <-t.C:
		case <-s.push:
		case <-s.done:
			return
		}
		if !s.entered.Load() {
			cores := s.cored()
			s.grantEntry(cores[turn%len(cores)])
			turn++
			if !s.entered.Load() {
				s.pause(30 * time.Millisecond)
				s.kick(s.push) // ask the next one soon
			}
			continue
		}
		rep := s.report()
		s.mu.Lock()
		ask, due := s.portion.Ask(s.clock(), s.Boot.Node, s.claim)
		s.mu.Unlock()
		if due {
			cores := s.cored()
			turn++
			go s.share(cores[turn%len(cores)], ask)
		}
		for _, a := range s.cored() {
			if busy[a] == nil {
				busy[a] = &atomic.Bool{}
			}
			flag := busy[a]
			if flag.Swap(true) {
				continue // the last one to this core is still out
			}
			go func() {
				defer flag.Store(false)
				s.renew(a, rep)
			}()
		}
	}
}

func (s *Sidecar) grantEntry(from ident.Addr) {
	// A core that is frozen must not hold this up: the next one is asked soon.
	ctx, stop := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer stop()
	var got mesh.Entry
	if err := s.pool.Ask(ctx, from, "POST", "/cottonarch/v1/claim", map[string]ident.Node{"node": s.Boot.Node}, &got); err != nil {
		s.Board.Add("claims_failed", 1)
		// The seed may be a sidecar: it knows cores.
		var known core.Known
		d := (*defect.Defect)(nil)
		side := defect.Find(err, &d) && d.Kind == defect.Missing
		if s.pool.Ask(ctx, from, "GET", "/cottonarch/v1/cores", nil, &known) == nil {
			s.mu.Lock()
			s.sides[from] = side
			s.join(known.Cores)
			s.mu.Unlock()
		}
		return
	}
	s.mu.Lock()
	s.claim, s.seq = got.Claim, 1
	s.path.Floor = max(s.path.Floor, got.Manifest)
	s.portion.Begin(s.clock(), got.Share)
	s.path.Tree.Grant(s.portion.Use())
	s.join(got.Cores)
	s.lastCore = s.clock()
	s.mu.Unlock()
	s.entered.Store(true)
	if got.Manifest > 0 {
		if err := s.fetch(from); err != nil {
			s.Board.Add("manifest_fetches_failed", 1)
		}
	}
	s.Log.Info("entry granted", zap.Uint64("claim", uint64(got.Claim)), zap.Int("share", got.Share.N), zap.Uint64("manifest", uint64(got.Manifest)))
	s.point(from)
}

// point tells the following duty which core to turn to.
func (s *Sidecar) point(core ident.Addr) {
	select {
	case s.poke <- core:
	default:
	}
}

// join takes the cores' addresses as a core knows them; seeds stay, others go when no
// core has told of them for a minute.
func (s *Sidecar) join(cores []ident.Addr) {
	now := s.clock()
	for _, a := range cores {
		s.told[a] = now
		if !slices.Contains(s.cores, a) && len(s.cores) < 32 {
			s.cores = append(s.cores, a)
		}
	}
	s.cores = slices.DeleteFunc(s.cores, func(a ident.Addr) bool {
		if slices.Contains(s.Boot.Seeds, a) || now.Since(s.told[a]) < time.Minute {
			return false
		}
		delete(s.told, a)
		return true
	})
}

func (s *Sidecar) kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (s *Sidecar) report() record.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.news {
		s.news = false
		s.seq++
	}
	return record.Report{Node: s.Boot.Node, Addr: s.Boot.Addr, District: s.Boot.District, Claim: s.claim, Seq: s.seq,
		Manifest: s.path.Epoch(), Ready: s.Ready(), Leaving: s.leaving.Load(), Workloads: s.gate.Workloads(), Ends: s.path.Ends()}
}

// share sends a promise or a wish about this sidecar's share.
func (s *Sidecar) share(core ident.Addr, ask share.Args) {
	ctx, stop := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer stop()
	var told share.Told
	if err := s.pool.Ask(ctx, core, "POST", "/cottonarch/v1/share", ask, &told); err != nil {
		s.Board.Add("shares_failed", 1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ask.Claim == s.claim {
		s.portion.Told(s.clock(), told)
		s.path.Tree.Grant(s.portion.Use())
	}
}

func (s *Sidecar) renew(core ident.Addr, rep record.Report) {
	sent := s.clock()
	ctx, stop := context.WithTimeout(context.Background(), 800*time.Millisecond)
	defer stop()
	var got mesh.Renewed
	err := s.pool.Ask(ctx, core, "POST", "/cottonarch/v1/renew", rep, &got)
	if err != nil {
		s.Board.Add("renewals_failed", 1)
		if d := (*defect.Defect)(nil); defect.Find(err, &d) && d.Kind == defect.Conflict {
			s.Log.Warn("claim superseded", zap.Error(err))
			s.entered.Store(false)
		}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.join(got.Cores)
	s.lastCore = s.clock()
	s.portion.Members(s.clock(), got.Members)
	s.path.Tree.Grant(s.portion.Use())
	s.held.Renewed(sent, got.Disk, got.Votes, got.Voters)
	if at := s.held.Majority(); at != 0 {
		s.path.Tree.Renewed(at)
	}
	if got.Manifest > s.path.Epoch() {
		s.point(core)
	}
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
		s.changed(s.gate.Tick(now))
		if n%100 == 0 {
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
		s.news = true
		s.kick(s.push)
	}
}

func (s *Sidecar) gauges() {
	p := s.path
	for name, v := range map[string]uint64{"calls": p.Calls, "further_tries": p.Further, "gave_up": p.GaveUp, "no_way": p.NoWays,
		"gate_passed": s.gate.Passed, "gate_turned_away": s.gate.TurnedAway, "gate_forgotten": s.gate.Forgotten,
		"allowance_granted": p.Tree.Granted, "allowance_denied": p.Tree.Denied, "manifest_epoch": uint64(p.Epoch())} {
		s.Board.Set(name, int64(v))
	}
	for svc, n := range p.Tree.Totals() {
		s.Board.Set("calls."+string(svc), n[0])
		s.Board.Set("further_tries."+string(svc), n[1])
	}
	s.Board.Set("in_hand", int64(s.hand))
	s.Board.Set("queued", int64(s.urgent.Len()+s.normal.Len()))
}

// follow keeps the copy of the registry and the manifest by long polls at one core;
// it goes to the next core when one fails, and to peers when all do.
func (s *Sidecar) follow() {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, s.Boot.Node)
	turn, mark, place := int(h.Sum32()%1000), "", uint64(0)
	for {
		select {
		case <-s.done:
			return
		default:
		}
		if !s.entered.Load() {
			s.pause(10 * time.Millisecond)
			continue
		}
		cores := s.cored()
		core := cores[turn%len(cores)]
		s.mu.Lock()
		have := s.path.Epoch()
		s.mu.Unlock()
		q := url.Values{"mark": {mark}, "place": {fmt.Sprint(place)}, "manifest": {fmt.Sprint(uint64(have))}}
		var got mesh.News
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		over, turned := make(chan struct{}), make(chan ident.Addr, 1)
		go func() { // a renewal that told of a newer manifest ends the wait
			select {
			case a := <-s.poke:
				turned <- a
				stop()
			case <-over:
			case <-s.done:
				stop()
			}
		}()
		err := s.pool.Ask(ctx, core, "GET", "/cottonarch/v1/news?"+q.Encode(), nil, &got)
		close(over)
		stop()
		poke := false
		select {
		case a := <-turned:
			poke = true
			if i := slices.Index(s.cored(), a); err != nil && i >= 0 {
				turn, mark, place = i, "", 0
				continue
			}
		default:
		}
		if err != nil {
			if !poke {
				s.Board.Add("news_failed", 1)
			}
			turn++
			mark, place = "", 0
			s.pause(20 * time.Millisecond)
			continue
		}
		s.mu.Lock()
		s.lastCore = s.clock()
		if s.path.Index.Merge(got.Sets) {
			s.Board.Add("registry_changes", 1)
		}
		s.mu.Unlock()
		mark, place = got.Mark, got.Place
		if got.Manifest > have {
			if err := s.fetch(core); err != nil {
				s.Board.Add("manifest_fetches_failed", 1)
				s.pause(20 * time.Millisecond)
			}
		}
		if got.Leaving {
			turn++
			mark, place = "", 0
			s.pause(20 * time.Millisecond)
		}
	}
}

func (s *Sidecar) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-s.done:
	}
}

// fetch takes a manifest in bounded parts. A part of another epoch begins it anew.
func (s *Sidecar) fetch(from ident.Addr) error {
	var raw []byte
	var epoch ident.Epoch
	for epoch == 0 || len(raw) < cap(raw) {
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		var p mesh.Part
		err := s.pool.Ask(ctx, from, "GET", fmt.Sprintf("/cottonarch/v1/part?at=%d", len(raw)), nil, &p)
		stop()
		if err != nil {
			return err
		}
		if p.Epoch != epoch {
			if p.At != 0 {
				raw, epoch = nil, 0
				continue
			}
			if p.Size <= 0 || p.Size > 2*check.BytesMax {
				return defect.New(defect.BadReturn, "a manifest of %d bytes", p.Size)
			}
			epoch, raw = p.Epoch, make([]byte, 0, p.Size)
		}
		if p.At != len(raw) || p.Size != cap(raw) || len(p.Data) == 0 || len(raw)+len(p.Data) > cap(raw) {
			return defect.New(defect.BadReturn, "a part of the manifest does not fit")
		}
		raw = append(raw, p.Data...)
	}
	return s.enforce(epoch, raw)
}

func (s *Sidecar) enforce(epoch ident.Epoch, raw []byte) error {
	tree, d := walk.Parse(raw)
	if d != nil {
		return d
	}
	m, d := check.Read(tree)
	if d != nil {
		return d
	}
	m.Epoch = epoch
	s.mu.Lock()
	ok := s.path.Enforce(m)
	if ok {
		s.raw = raw
		s.inUse.Store(true)
	}
	s.mu.Unlock()
	if ok {
		s.Log.Info("manifest", zap.Uint64("epoch", uint64(epoch)), zap.Int("ways", len(m.Ways)))
		s.kick(s.push)
	}
	return nil
}

// neighbours is the duty of asking peers, while no core is heard, for a newer
// manifest and for their registry. A sidecar that was never entered waits longer: any
// epoch that an earlier run of it showed is then in force at its peers.
func (s *Sidecar) neighbours() {
	t := time.NewTicker(300 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-s.done:
			return
		}
		now := s.clock()
		s.mu.Lock()
		far := now.Since(s.lastCore) > cutAfter && (s.entered.Load() || now.Since(s.began) > orphan)
		gates := slices.Clone(s.Boot.Seeds)
		for _, set := range s.path.Index.Sets() {
			for _, a := range set.Records {
				if a.Workload != nil && a.Workload.Gate != s.Boot.Addr && !slices.Contains(gates, a.Workload.Gate) {
					gates = append(gates, a.Workload.Gate)
				}
			}
		}
		s.mu.Unlock()
		if !far {
			continue
		}
		rand.Shuffle(len(gates), func(i, j int) { gates[i], gates[j] = gates[j], gates[i] })
		var out sync.WaitGroup
		for _, g := range gates[:min(len(gates), peersMost)] {
			out.Add(1)
			go func() {
				defer out.Done()
				s.askPeer(g)
			}()
		}
		out.Wait()
	}
}

func (s *Sidecar) askPeer(g ident.Addr) {
	ctx, stop := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer stop()
	var p Peer
	if s.pool.Ask(ctx, g, "GET", "/cottonarch/v1/peer", nil, &p) != nil {
		return
	}
	s.mu.Lock()
	s.path.Index.Merge(p.Sets)
	newer := p.Manifest > s.path.Epoch()
	s.mu.Unlock()
	if newer && s.fetch(g) == nil {
		s.Board.Add("manifests_from_peers", 1)
	}
}

// Peer is what a sidecar tells a peer that is cut from the core.
type Peer struct {
	Manifest ident.Epoch  `json:"manifest"`
	Sets     []record.Set `json:"sets"`
}

// Ready tells whether callers may come.
func (s *Sidecar) Ready() bool {
	return s.entered.Load() && !s.leaving.Load() && s.inUse.Load()
}

// Status is what the status page shows.
func (s *Sidecar) Status() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"node": s.Boot.Node, "claim": s.claim, "manifest": s.path.Epoch(), "ready": s.Ready(), "cores": s.cores,
		"workloads": s.gate.Workloads(), "share": s.path.Tree.Share(s.clock()), "shareGranted": s.portion.Use(), "sets": len(s.path.Index.Sets())}
}

// Beat takes an endpoint's report.
func (s *Sidecar) Beat(b gate.Beat) *defect.Defect {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, d := s.gate.Take(s.clock(), b)
	s.changed(c)
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
