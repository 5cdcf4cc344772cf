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

const (
	ms        = time.Millisecond
	startTime = monotime.Time(time.Second)
)

// call is one request of a client, which tries once again after it was rejected.
type call struct {
	kind                 *requestKind
	work                 float64 // nanoseconds at speed 1
	client               int
	createdAt, arrivedAt monotime.Time
	isRetry              bool
	rejectedEarly        bool // within a quarter of its target
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

// server is one endpoint and the sidecar of its machine.
type server struct {
	index      int
	entry      registry.Entry
	speed      float64
	busy       int
	queue      []*call // its own queue
	admission  *admission.Queue
	waiting    map[uint64]*call
	admittedAt map[uint64]monotime.Time
	nextTick   monotime.Time
	startedAt  monotime.Time
}

// model is a mesh of clients with a balancer each, and endpoints with or without admission queues. All
// its events are in one queue, by time.
type model struct {
	scenario   scenario
	policy     policy
	now        monotime.Time
	queue      events
	seq        int
	rng        *rand.Rand
	arrivals   *rand.Rand // a source of its own, so that the calls are the same whatever the policy
	balancers  []balancer
	servers    []*server
	byID       map[ident.Server]*server
	entries    []registry.Entry
	tally      tally
	lastID     uint64
	retries    float64 // attempts after one that may have been executed
	totalSpeed float64
}

const (
	slots               = 6
	endpointQueueLength = 24
	sidecarTime         = 1500 * time.Microsecond // a sidecar's own time for a request
)

// simulate plays a scenario with a policy.
func simulate(scenario scenario, policy policy, seed uint64) *tally {
	m := &model{scenario: scenario, policy: policy, now: startTime,
		rng: rand.New(rand.NewPCG(seed, 7)), arrivals: rand.New(rand.NewPCG(seed, 8)), byID: map[ident.Server]*server{},
		tally: tally{byRank: map[int][2]float64{}, windows: map[int][2]float64{}}}
	for i := range scenario.servers {
		m.newServer(i)
	}
	for i := range scenario.clients {
		m.balancers = append(m.balancers, m.newBalancer(i, seed))
	}
	m.scheduleArrivals(startTime)
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

// newServer makes an endpoint; the last one enters later if the scenario has a slow start.
func (m *model) newServer(i int) {
	s := &server{
		index:      i,
		speed:      m.scenario.speeds[i%len(m.scenario.speeds)],
		waiting:    map[uint64]*call{},
		admittedAt: map[uint64]monotime.Time{},
	}
	id := ident.Server(fmt.Sprintf("e%02d", i))
	s.entry = registry.Entry{Workload: &record.Workload{
		UID:         id,
		Service:     "s",
		SidecarAddr: ident.Addr(fmt.Sprint("g", i)),
		Zone:        m.zone(i),
		Weight:      1,
		Status:      record.Healthy,
	}}
	if m.policy.admission {
		settings := admission.DefaultSettings()
		if m.policy.tuneAdmission != nil {
			m.policy.tuneAdmission(&settings)
		}
		s.admission = admission.New(settings)
	}
	if m.scenario.slowStart > 0 && i == m.scenario.servers-1 {
		s.startedAt = m.now.Add(5 * time.Second)
		m.schedule(s.startedAt, func() { m.addServer(s, m.scenario.slowStart) })
	} else {
		m.addServer(s, 0)
	}
	m.servers, m.byID[id] = append(m.servers, s), s
	m.totalSpeed += slots * s.speed
}

// addServer makes an endpoint known to the balancers.
func (m *model) addServer(s *server, slowStart time.Duration) {
	m.entries = append(slices.Clone(m.entries), s.entry)
	if s.admission != nil {
		s.admission.SetSlots(m.now, s.entry.UID, slots, slowStart)
	}
}

func (m *model) schedule(t monotime.Time, do func()) {
	m.seq++
	heap.Push(&m.queue, event{t, m.seq, do})
}
func (m *model) scheduleAfter(d time.Duration, do func()) { m.schedule(m.now.Add(d), do) }

// scheduleArrivals makes the calls: their rate is a wave with a burst, and they come in batches.
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

// arrive makes a call of a random kind.
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

// begin brings a call to its client's sidecar, the first time or again.
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

// send makes an attempt.
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
	request := admission.Request{
		ID:              c.id,
		Rank:            c.kind.rank,
		FreeRejectUntil: c.arrivedAt.Add(c.kind.target/4 - 5*ms),
		Target:          c.arrivedAt.Add(c.kind.target),
		Deadline:        c.deadline(),
		LastResort:      c.shed,
	}
	if p, ok := balancer.(*loadbalancer.Balancer); ok {
		request.ServiceTime, request.PeerFailureRate = p.MeanServiceTime(c.kind.name), p.MeanFailureRate("s")
		request.LastResort = request.LastResort || p.LastResort(m.now, e.UID)
	}
	s := m.byID[e.UID]
	m.scheduleAfter(m.networkDelay(c)+sidecarTime, func() { m.submit(s, c, request) })
}

// submit brings an attempt to the endpoint's machine.
func (m *model) submit(s *server, c *call, request admission.Request) {
	if s.admission == nil {
		m.deliver(s, c)
		return
	}
	s.waiting[request.ID] = c
	m.apply(s, s.admission.Submit(m.now, s.entry.UID, request))
}

// apply takes the verdicts of an admission queue, and schedules its next tick.
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
		m.respond(s, c, shed, 0)
	}
	if due, ok := s.admission.NextTick(m.now); ok && (s.nextTick <= m.now || due < s.nextTick) {
		s.nextTick = max(due, m.now.Add(ms))
		m.schedule(s.nextTick, func() { m.apply(s, s.admission.Tick(m.now)) })
	}
}

// deliver brings an attempt to the endpoint.
func (m *model) deliver(s *server, c *call) {
	m.tally.arrivals++
	switch {
	case s.busy < slots:
		m.execute(s, c)
	case len(s.queue) < endpointQueueLength:
		s.queue = append(s.queue, c)
	case m.scenario.resetWhenFull:
		m.finish(s, c, lost, 0)
	default:
		m.finish(s, c, endpointFull, 0)
	}
}

// execute runs an attempt at the endpoint.
func (m *model) execute(s *server, c *call) {
	k := c.kind
	if m.now.Since(c.arrivedAt) <= k.target {
		c.reachedEndpoint = true
	}
	work := c.work / s.speed
	chance := m.rng.Float64()
	end := served
	for _, fault := range m.scenario.faults {
		if fault.hits(s.index, m.now.Since(startTime)) {
			work *= max(fault.slowdown, 1)
			if chance < fault.failureRate {
				work, end = work/10, failed
			}
		}
	}
	if s.startedAt != 0 && m.now.Since(s.startedAt) < m.scenario.slowStart {
		work *= 2
	}
	elapsed := time.Duration(work)
	if m.now.Add(elapsed).After(c.deadline()) {
		elapsed, end = c.deadline().Since(m.now), late
	}
	s.busy++
	m.scheduleAfter(elapsed, func() {
		s.busy--
		m.finish(s, c, end, elapsed)
		m.executeQueued(s)
	})
}

// executeQueued gives the free slots of an endpoint to its own queue.
func (m *model) executeQueued(s *server) {
	for s.busy < slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.deadline().After(m.now) {
			m.finish(s, next, endpointFull, 0)
			continue
		}
		m.execute(s, next)
	}
}

// ending is how an attempt ended.
type ending int

const (
	served       ending = iota
	failed              // the endpoint ran it and failed
	lost                // the endpoint reset the connection
	endpointFull        // the endpoint's own queue was full
	late                // its deadline passed at the endpoint
	shed                // the admission queue rejected it
)

var outcomeByEnding = map[ending]admission.Outcome{
	served:       admission.Served,
	failed:       admission.Failed,
	lost:         admission.GivenUp,
	endpointFull: admission.GivenUp,
	late:         admission.GivenUp,
}

// finish ends an attempt at its endpoint.
func (m *model) finish(s *server, c *call, end ending, elapsed time.Duration) {
	if s.admission == nil {
		m.respond(s, c, end, elapsed)
		return
	}
	admittedAt := s.admittedAt[c.id]
	delete(s.admittedAt, c.id)
	verdicts := s.admission.Done(m.now, s.entry.UID, c.id, outcomeByEnding[end], m.now.Since(admittedAt))
	m.respond(s, c, end, m.now.Since(admittedAt))
	m.apply(s, verdicts)
}

// respond sends the response of an attempt, with a load report if there is an admission queue.
func (m *model) respond(s *server, c *call, end ending, elapsed time.Duration) {
	var report *loadreport.Report
	if s.admission != nil {
		parsed, _ := s.admission.LoadReport(m.now, s.entry.UID)
		parsed, _ = loadreport.Parse(parsed.Text())
		report = &parsed
	}
	if end == served {
		m.tally.allKB += float64(c.kind.bytes) / 1024
		if m.zone(c.client) != c.entry.Zone {
			m.tally.crossKB += float64(c.kind.bytes) / 1024
		}
	}
	m.scheduleAfter(m.networkDelay(c)+sidecarTime, func() { m.receive(c, end, elapsed, report) })
}

// receive takes the response of an attempt at the client's sidecar.
func (m *model) receive(c *call, end ending, elapsed time.Duration, report *loadreport.Report) {
	balancer := m.balancers[c.client]
	balancer.Finished(m.now, c.entry, end == lost || end == late, false)
	if p, ok := balancer.(*loadbalancer.Balancer); ok && report != nil {
		p.HandleReport(m.now, c.entry.UID, *report)
		if end == served {
			p.RecordRun(m.now, c.kind.name, elapsed, c.kind.bytes)
		}
	}
	if end == endpointFull {
		balancer.Rejected(m.now, c.entry.UID)
	}
	switch end {
	case served:
		m.record(c, true)
		return
	case endpointFull, shed:
		if c.attempts < max(m.policy.maxAttempts, 2) && c.deadline().Since(m.now) > 5*ms {
			m.send(c)
			return
		}
		m.reject(c)
		return
	}
	// It may have been executed: it is tried again only if it is repeatable, within a retry budget.
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

// reject tells the client that its call was not executed; the client tries once again.
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

// record counts the end of a call.
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
	add(m.tally.windows, int(c.createdAt.Since(startTime)/(2*time.Second)))
}
