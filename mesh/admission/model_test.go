package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/loadbalancer"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry"
)

const ms = time.Millisecond

// requestKind is one kind of request of the model.
type requestKind struct {
	name             string
	share            float64 // of arrivals
	rank             int
	work             time.Duration
	spread           float64 // sigma of the lognormal
	tailFactor       float64 // times, for one in a hundred
	target, deadline time.Duration
	worth, lateWorth float64
	unsafe           bool
	bytes            int64
}

// fault is what ails some endpoints for a while.
type fault struct {
	servers     int // the first of them
	from, to    time.Duration
	slowdown    float64 // times their work
	failureRate float64 // part of runs
}

// scenario is one scenario. Load is the part of all slots' time that is asked for when nothing
// is the matter.
type scenario struct {
	clients, servers, zones int
	kinds                   []requestKind
	speeds                  []float64
	load, wave, burst       float64 // burst times the load for 3 s from the 10th on
	batch                   int
	length                  time.Duration
	faults                  []fault
	slowStart               time.Duration // the last server starts at 5 s and is slow for so long
	resetWhenFull           bool          // a full endpoint resets
}

// balancer is a policy at the caller's machine.
type balancer interface {
	ChooseForRoute(now monotime.Time, way string, all []registry.Entry, past map[ident.Server]bool) (registry.Entry, bool)
	Started(ident.Server)
	Finished(now monotime.Time, e registry.Entry, doubt, lost bool)
	Rejected(monotime.Time, ident.Server)
}

// randomBalancer draws any endpoint.
type randomBalancer struct{ rng *rand.Rand }

func (b randomBalancer) ChooseForRoute(_ monotime.Time, _ string, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	for range 100 {
		if e := entries[b.rng.IntN(len(entries))]; !tried[e.UID] {
			return e, true
		}
	}
	return registry.Entry{}, false
}
func (randomBalancer) Started(ident.Server)                               {}
func (randomBalancer) Finished(monotime.Time, registry.Entry, bool, bool) {}
func (randomBalancer) Rejected(monotime.Time, ident.Server)               {}

// legacyBalancer is the choice as it was before gates told anything: the better of two by own
// requests in hand and district, suspects aside.
type legacyBalancer struct {
	rng          *rand.Rand
	zone         ident.Zone
	inFlight     map[ident.Server]int
	suspectUntil map[ident.Server]monotime.Time
}

func (l *legacyBalancer) ChooseForRoute(now monotime.Time, _ string, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	var preferred, suspects []registry.Entry
	for _, e := range entries {
		switch {
		case tried[e.UID]:
		case l.suspectUntil[e.UID].After(now):
			suspects = append(suspects, e)
		default:
			preferred = append(preferred, e)
		}
	}
	if len(preferred) == 0 {
		preferred = suspects
	}
	if len(preferred) == 0 {
		return registry.Entry{}, false
	}
	cost := func(e registry.Entry) float64 {
		c := float64(l.inFlight[e.UID]) + 1
		if e.Zone != l.zone {
			c *= 1.3
		}
		return c
	}
	a, b := preferred[l.rng.IntN(len(preferred))], preferred[l.rng.IntN(len(preferred))]
	if cost(b) < cost(a) {
		a = b
	}
	return a, true
}
func (l *legacyBalancer) Started(s ident.Server) { l.inFlight[s]++ }
func (l *legacyBalancer) Finished(now monotime.Time, e registry.Entry, uncertain, _ bool) {
	l.inFlight[e.UID]--
	if uncertain {
		l.suspectUntil[e.UID] = now.Add(time.Second)
	}
}
func (l *legacyBalancer) Rejected(now monotime.Time, s ident.Server) {
	l.suspectUntil[s] = now.Add(250 * ms)
}

// policy is what a model is run with.
type policy struct {
	name          string
	balancer      string // blind, former, told
	admission     bool
	maxAttempts   int // tries a call; 0 is two
	tuneBalancer  func(*loadbalancer.Settings)
	tuneAdmission func(*admission.Settings)
}

// tally is what came of a day.
type tally struct {
	possible, earned, penalty float64
	byRank                    map[int][2]float64
	windows                   map[int][2]float64
	calls, served             int
	onTime, failed            int
	rejected, returned        int
	arrivals, tries           int
	rejectedLate              int
	crossKB, allKB            float64
	hops                      int
}

func (t *tally) earnedShare() float64 { return t.earned / t.possible }

// score is worth less prices.
func (t *tally) score() float64 { return (t.earned - t.penalty) / t.possible }

func (t *tally) rank(r int) float64 { x := t.byRank[r]; return x[0] / max(x[1], 1) }

// worstWindows is the mean of the two worst windows of two seconds.
func (t *tally) worstWindows() float64 {
	var all []float64
	for _, x := range t.windows {
		if x[1] > 20 {
			all = append(all, x[0]/x[1])
		}
	}
	slices.Sort(all)
	return (all[0] + all[1]) / 2
}

type event struct {
	at  monotime.Time
	seq int
	run func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// call is one request of a client, with its one return after a refusal.
type call struct {
	kind                 *requestKind
	work                 float64 // nanoseconds at speed 1
	client               int
	createdAt, arrivedAt monotime.Time
	isRetry              bool
	rejectedEarly        bool // refused within a quarter of its aim
	reachedEndpoint      bool
	rejectedLate         bool
	tried                map[ident.Server]bool
	attempts             int
	entry                registry.Entry
	id                   uint64
	shed                 bool
	retryAfter           time.Duration
}

func (c *call) deadline() monotime.Time { return c.createdAt.Add(c.kind.deadline) }

// server is one endpoint.
type server struct {
	index      int
	entry      registry.Entry
	speed      float64
	busy       int
	queue      []*call
	admission  *admission.Queue
	waiting    map[uint64]*call
	admittedAt map[uint64]monotime.Time
	nextTick   monotime.Time
	startedAt  monotime.Time
}

type model struct {
	scenario   scenario
	policy     policy
	now        monotime.Time
	queue      events
	seq        int
	rng        *rand.Rand
	arrivals   *rand.Rand // what clients do is the same whatever the policy
	balancers  []balancer
	servers    []*server
	byID       map[ident.Server]*server
	entries    []registry.Entry
	tally      tally
	lastID     uint64
	retries    float64 // further tries, as a part of calls
	totalSpeed float64
}

const (
	slots               = 6
	endpointQueueLength = 24
	sidecarTime         = 1500 * time.Microsecond // a sidecar's own time for a request
)

func simulate(scenario scenario, policy policy, seed uint64) *tally {
	m := &model{scenario: scenario, policy: policy, now: monotime.Time(time.Second), rng: rand.New(rand.NewPCG(seed, 7)), arrivals: rand.New(rand.NewPCG(seed, 8)), byID: map[ident.Server]*server{},
		tally: tally{byRank: map[int][2]float64{}, windows: map[int][2]float64{}}}
	for i := range scenario.servers {
		s := &server{index: i, speed: scenario.speeds[i%len(scenario.speeds)], waiting: map[uint64]*call{}, admittedAt: map[uint64]monotime.Time{}}
		id := ident.Server(fmt.Sprintf("e%02d", i))
		s.entry = registry.Entry{Workload: &record.Workload{UID: id, Service: "s", SidecarAddr: ident.Addr(fmt.Sprint("g", i)), Zone: m.zone(i), Weight: 1, Status: record.Healthy}}
		if policy.admission {
			settings := admission.DefaultSettings()
			if policy.tuneAdmission != nil {
				policy.tuneAdmission(&settings)
			}
			s.admission = admission.New(settings)
		}
		if scenario.slowStart > 0 && i == scenario.servers-1 {
			s.startedAt = m.now.Add(5 * time.Second)
			m.schedule(s.startedAt, func() { m.addServer(s, scenario.slowStart) })
		} else {
			m.addServer(s, 0)
		}
		m.servers, m.byID[id] = append(m.servers, s), s
		m.totalSpeed += slots * s.speed
	}
	for i := range scenario.clients {
		m.balancers = append(m.balancers, m.newBalancer(i, seed))
	}
	m.scheduleArrivals(monotime.Time(time.Second))
	for len(m.queue) > 0 {
		event := heap.Pop(&m.queue).(event)
		m.now = event.at
		event.run()
	}
	return &m.tally
}

func (m *model) zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprint("d", i%m.scenario.zones))
}

func (m *model) addServer(s *server, slowStart time.Duration) {
	m.entries = append(slices.Clone(m.entries), s.entry)
	if s.admission != nil {
		s.admission.SetSlots(m.now, s.entry.UID, slots, slowStart)
	}
}

func (m *model) newBalancer(i int, seed uint64) balancer {
	rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
	switch m.policy.balancer {
	case "blind":
		return randomBalancer{rng}
	case "former":
		return &legacyBalancer{rng: rng, zone: m.zone(i), inFlight: map[ident.Server]int{}, suspectUntil: map[ident.Server]monotime.Time{}}
	}
	p := loadbalancer.New(m.zone(i), seed*1000+uint64(i))
	if m.policy.tuneBalancer != nil {
		m.policy.tuneBalancer(&p.Settings)
	}
	return p
}

func (m *model) schedule(t monotime.Time, do func()) {
	m.seq++
	heap.Push(&m.queue, event{t, m.seq, do})
}
func (m *model) scheduleAfter(d time.Duration, do func()) { m.schedule(m.now.Add(d), do) }

// scheduleArrivals makes the arrivals: a wave, clumps and a burst.
func (m *model) scheduleArrivals(from monotime.Time) {
	mean := 0.0
	for _, k := range m.scenario.kinds {
		mean += k.share * k.work.Seconds()
	}
	rate := m.scenario.load * m.totalSpeed / mean
	end := from.Add(m.scenario.length)
	var next func()
	next = func() {
		if m.now.After(end) {
			return
		}
		for range m.scenario.batch {
			m.arrive()
		}
		t := m.now.Since(from).Seconds()
		r := rate * (1 + m.scenario.wave*math.Sin(2*math.Pi*t/11))
		if t >= 10 && t < 13 {
			r *= m.scenario.burst
		}
		m.scheduleAfter(time.Duration(m.arrivals.ExpFloat64()/(r/float64(m.scenario.batch))*float64(time.Second)), next)
	}
	m.schedule(from, next)
}

func (m *model) arrive() {
	x, k := m.arrivals.Float64(), &m.scenario.kinds[0]
	for i := range m.scenario.kinds {
		k = &m.scenario.kinds[i]
		if x -= k.share; x < 0 {
			break
		}
	}
	c := &call{kind: k, client: m.arrivals.IntN(m.scenario.clients), createdAt: m.now}
	c.work = float64(k.work) * math.Exp(k.spread*m.arrivals.NormFloat64()-k.spread*k.spread/2)
	if m.arrivals.Float64() < 0.01 {
		c.work *= k.tailFactor
	}
	c.work = min(c.work, 7.5*float64(k.work))
	m.tally.calls++
	m.tally.possible += k.worth
	m.begin(c)
}

func (m *model) begin(c *call) {
	c.arrivedAt, c.tried, c.attempts, c.shed, c.retryAfter = m.now, map[ident.Server]bool{}, 0, false, 0
	m.scheduleAfter(sidecarTime, func() { m.send(c) })
}

func (m *model) networkDelay(c *call) time.Duration {
	if m.zone(c.client) == c.entry.Zone {
		return 100 * time.Microsecond
	}
	return 900 * time.Microsecond
}

func (m *model) send(c *call) {
	balancer := m.balancers[c.client]
	if !c.deadline().After(m.now) {
		m.reject(c)
		return
	}
	e, ok := balancer.ChooseForRoute(m.now, c.kind.name, m.entries, c.tried)
	if !ok {
		m.reject(c)
		return
	}
	c.attempts++
	m.lastID++
	c.id, c.entry = m.lastID, e
	c.tried[e.UID] = true
	m.tally.hops++
	balancer.Started(e.UID)
	request := admission.Request{ID: c.id, Rank: c.kind.rank, FreeRejectUntil: c.arrivedAt.Add(c.kind.target/4 - 5*ms), Target: c.arrivedAt.Add(c.kind.target), Deadline: c.deadline(), LastResort: c.shed}
	if c.isRetry {
		request.FreeRejectUntil = c.arrivedAt.Add(c.kind.target/4 - 5*ms)
	}
	if p, ok := balancer.(*loadbalancer.Balancer); ok {
		request.Work, request.PeerFailureRate = p.MeanWork(c.kind.name), p.MeanFailureRate("s")
		request.LastResort = request.LastResort || p.LastResort(m.now, e.UID)
	}
	s := m.byID[e.UID]
	m.scheduleAfter(m.networkDelay(c)+sidecarTime, func() { m.submit(s, c, request) })
}

func (m *model) submit(s *server, c *call, request admission.Request) {
	if s.admission == nil {
		m.deliver(s, c)
		return
	}
	s.waiting[request.ID] = c
	m.apply(s, s.admission.Submit(m.now, s.entry.UID, request))
}

func (m *model) apply(s *server, verdicts []admission.Verdict) {
	for _, verdict := range slices.Clone(verdicts) {
		c := s.waiting[verdict.ID]
		delete(s.waiting, verdict.ID)
		if verdict.Decision == admission.Admit {
			s.admittedAt[verdict.ID] = m.now
			m.scheduleAfter(200*time.Microsecond, func() { m.deliver(s, c) })
			continue
		}
		if m.now.Since(c.arrivedAt) > c.kind.target/4 {
			c.rejectedLate = true
		}
		if c.retryAfter == 0 || verdict.RetryAfter < c.retryAfter {
			c.retryAfter = verdict.RetryAfter
		}
		c.shed = true
		m.respond(s, c, "shed", 0)
	}
	if due, ok := s.admission.NextTick(m.now); ok && (s.nextTick <= m.now || due < s.nextTick) {
		s.nextTick = max(due, m.now.Add(ms))
		m.schedule(s.nextTick, func() { m.apply(s, s.admission.Tick(m.now)) })
	}
}

func (m *model) deliver(s *server, c *call) {
	m.tally.arrivals++
	switch {
	case s.busy < slots:
		m.execute(s, c)
	case len(s.queue) < endpointQueueLength:
		s.queue = append(s.queue, c)
	case m.scenario.resetWhenFull:
		m.finish(s, c, "lost", 0)
	default:
		m.finish(s, c, "full", 0)
	}
}

func (m *model) execute(s *server, c *call) {
	k := c.kind
	if m.now.Since(c.arrivedAt) <= k.target {
		c.reachedEndpoint = true
	}
	work := c.work / s.speed
	fail := m.rng.Float64()
	end := "ok"
	for _, t := range m.scenario.faults {
		if x := m.now.Since(monotime.Time(time.Second)); s.index < t.servers && x >= t.from && x < t.to {
			work *= max(t.slowdown, 1)
			if fail < t.failureRate {
				work, end = work/10, "fail"
			}
		}
	}
	if s.startedAt != 0 && m.now.Since(s.startedAt) < m.scenario.slowStart {
		work *= 2
	}
	elapsed := time.Duration(work)
	if m.now.Add(elapsed).After(c.deadline()) {
		elapsed, end = c.deadline().Since(m.now), "late"
	}
	s.busy++
	m.scheduleAfter(elapsed, func() {
		s.busy--
		m.finish(s, c, end, elapsed)
		for s.busy < slots && len(s.queue) > 0 {
			n := s.queue[0]
			s.queue = s.queue[1:]
			if !n.deadline().After(m.now) {
				m.finish(s, n, "full", 0)
				continue
			}
			m.execute(s, n)
		}
	})
}

var outcomeByEnd = map[string]admission.Outcome{"ok": admission.Served, "fail": admission.Failed, "lost": admission.GivenUp, "full": admission.GivenUp, "late": admission.GivenUp}

// finish is the end of a request at its endpoint, seen by the gate.
func (m *model) finish(s *server, c *call, end string, elapsed time.Duration) {
	if s.admission == nil {
		m.respond(s, c, end, elapsed)
		return
	}
	admittedAt := s.admittedAt[c.id]
	delete(s.admittedAt, c.id)
	verdicts := s.admission.Done(m.now, s.entry.UID, c.id, outcomeByEnd[end], m.now.Since(admittedAt))
	m.respond(s, c, end, m.now.Since(admittedAt))
	m.apply(s, verdicts)
}

func (m *model) respond(s *server, c *call, end string, elapsed time.Duration) {
	var report *loadreport.Report
	if s.admission != nil {
		parsed, _ := s.admission.LoadReport(m.now, s.entry.UID)
		parsed, _ = loadreport.Parse(parsed.Text())
		report = &parsed
	}
	if end == "ok" {
		m.tally.allKB += float64(c.kind.bytes) / 1024
		if m.zone(c.client) != c.entry.Zone {
			m.tally.crossKB += float64(c.kind.bytes) / 1024
		}
	}
	m.scheduleAfter(m.networkDelay(c)+sidecarTime, func() { m.receive(c, end, elapsed, report) })
}

func (m *model) receive(c *call, end string, elapsed time.Duration, report *loadreport.Report) {
	balancer := m.balancers[c.client]
	balancer.Finished(m.now, c.entry, end == "lost" || end == "late", false)
	if p, ok := balancer.(*loadbalancer.Balancer); ok && report != nil {
		p.HandleReport(m.now, c.entry.UID, *report)
		if end == "ok" {
			p.RecordRun(m.now, c.kind.name, elapsed, c.kind.bytes)
		}
	}
	if end == "full" {
		balancer.Rejected(m.now, c.entry.UID)
	}
	switch end {
	case "ok":
		m.record(c, true)
		return
	case "full", "shed":
		if c.attempts < max(m.policy.maxAttempts, 2) && c.deadline().Since(m.now) > 5*ms {
			m.send(c)
			return
		}
		m.reject(c)
		return
	}
	// It ran, or may have: tried again only if it may be, out of the allowance.
	if !c.kind.unsafe && c.attempts < 2 && m.retries < 0.18*float64(m.tally.calls)+20 && c.deadline().Since(m.now) > 5*ms {
		m.retries++
		m.send(c)
		return
	}
	if !c.kind.unsafe && !c.isRetry && c.deadline().Since(m.now) > 20*ms {
		c.isRetry = true
		m.scheduleAfter(10*ms, func() { m.begin(c) })
		return
	}
	m.record(c, false)
}

func (m *model) reject(c *call) {
	m.tally.rejected++
	if remaining := c.deadline().Since(m.now); !c.isRetry && remaining > 20*ms {
		c.isRetry, c.rejectedEarly = true, m.now.Since(c.arrivedAt) <= c.kind.target/4
		m.tally.returned++
		m.scheduleAfter(min(max(c.retryAfter, 10*ms), remaining/3), func() { m.begin(c) })
		return
	}
	if c.isRetry {
		m.tally.penalty += 0.3 * c.kind.worth
	}
	m.record(c, false)
}

func (m *model) record(c *call, ok bool) {
	k, worth := c.kind, 0.0
	m.tally.tries += c.attempts
	switch x := m.now.Since(c.createdAt); {
	case !ok:
		m.tally.failed++
		if c.rejectedLate && !c.reachedEndpoint {
			m.tally.rejectedLate++
			m.tally.penalty += 0.1 * k.worth
		}
	case x <= k.target:
		worth = k.worth
		m.tally.onTime++
	case c.rejectedEarly && m.now.Since(c.arrivedAt) <= k.target:
		worth = (k.worth + k.lateWorth) / 2
	case x <= k.deadline:
		worth = k.lateWorth
	}
	if ok {
		m.tally.served++
	}
	m.tally.earned += worth
	add := func(in map[int][2]float64, at int) {
		x := in[at]
		in[at] = [2]float64{x[0] + worth, x[1] + k.worth}
	}
	add(m.tally.byRank, k.rank)
	add(m.tally.windows, int(c.createdAt.Since(monotime.Time(time.Second))/(2*time.Second)))
}
