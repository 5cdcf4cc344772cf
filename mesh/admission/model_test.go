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

// call is one request of a client. The client retries a rejected call once.
type call struct {
	kind                 *requestKind
	serviceTime          float64 // in nanoseconds, at speed 1
	client               int
	createdAt, arrivedAt monotime.Time
	isRetry              bool
	rejectedEarly        bool // within a quarter of the target
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

// server is one endpoint together with the sidecar of its machine.
type server struct {
	index      int
	entry      registry.Entry
	speed      float64
	busy       int
	queue      []*call // queue of the endpoint itself
	admission  *admission.Queue
	waiting    map[uint64]*call
	admittedAt map[uint64]monotime.Time
	nextTick   monotime.Time
	startedAt  monotime.Time
}

// model is a discrete-event simulation of a mesh: clients with a balancer each, and endpoints with
// or without admission queues. A single event queue, sorted by time, drives the simulation.
type model struct {
	scenario   scenario
	policy     policy
	now        monotime.Time
	queue      events
	seq        int
	rng        *rand.Rand
	arrivals   *rand.Rand // separate random source, so that the calls are the same under every policy
	balancers  []balancer
	servers    []*server
	byID       map[ident.Server]*server
	entries    []registry.Entry
	tally      tally
	lastID     uint64
	retries    float64 // attempts that follow an attempt that may have been executed
	totalSpeed float64
}

const (
	slots                 = 6
	endpointQueueLength   = 24
	sidecarProcessingTime = 1500 * time.Microsecond // processing time of a sidecar per request
)

// simulate runs a scenario under a policy and returns the results.
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

// newServer creates an endpoint. If the scenario has a slow start, the last endpoint joins later.
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

// scheduleArrivals schedules the calls in batches. The arrival rate follows a sine wave with one
// burst.
func (m *model) scheduleArrivals(from monotime.Time) {
	mean := 0.0
	for _, k := range m.scenario.kinds {
		mean += k.share * k.meanServiceTime.Seconds()
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

// arrive creates a call of a random kind.
func (m *model) arrive() {
	x, k := m.arrivals.Float64(), &m.scenario.kinds[0]
	for i := range m.scenario.kinds {
		k = &m.scenario.kinds[i]
		if x -= k.share; x < 0 {
			break
		}
	}
	c := &call{kind: k, client: m.arrivals.IntN(m.scenario.clients), createdAt: m.now}
	c.serviceTime = float64(k.meanServiceTime) * math.Exp(k.spread*m.arrivals.NormFloat64()-k.spread*k.spread/2)
	if m.arrivals.Float64() < 0.01 {
		c.serviceTime *= k.tailFactor
	}
	c.serviceTime = min(c.serviceTime, 7.5*float64(k.meanServiceTime))
	m.tally.calls++
	m.tally.possible += k.value
	m.begin(c)
}

// begin delivers a call to the sidecar of its client, for the first time or for a retry.
func (m *model) begin(c *call) {
	c.arrivedAt, c.tried, c.attempts, c.shed, c.retryAfter = m.now, map[ident.Server]bool{}, 0, false, 0
	m.scheduleAfter(sidecarProcessingTime, func() { m.send(c) })
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
	m.scheduleAfter(m.networkDelay(c)+sidecarProcessingTime, func() { m.submit(s, c, request) })
}

// submit delivers an attempt to the machine of the endpoint.
func (m *model) submit(s *server, c *call, request admission.Request) {
	if s.admission == nil {
		m.deliver(s, c)
		return
	}
	s.waiting[request.ID] = c
	m.apply(s, s.admission.Submit(m.now, s.entry.UID, request))
}

// apply processes the verdicts of an admission queue and schedules its next tick.
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

// deliver hands an attempt over to the endpoint.
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
	serviceTime := c.serviceTime / s.speed
	chance := m.rng.Float64()
	end := served
	for _, fault := range m.scenario.faults {
		if fault.affects(s.index, m.now.Since(startTime)) {
			serviceTime *= max(fault.slowdown, 1)
			if chance < fault.failureRate {
				serviceTime, end = serviceTime/10, failed
			}
		}
	}
	if s.startedAt != 0 && m.now.Since(s.startedAt) < m.scenario.slowStart {
		serviceTime *= 2
	}
	elapsed := time.Duration(serviceTime)
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

// executeQueued starts attempts from the queue of the endpoint itself while slots are free.
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
	failed              // the endpoint executed the attempt and failed
	lost                // the endpoint reset the connection
	endpointFull        // the queue of the endpoint itself was full
	late                // the deadline passed at the endpoint
	shed                // the admission queue rejected the attempt
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
			m.tally.crossZoneKB += float64(c.kind.bytes) / 1024
		}
	}
	m.scheduleAfter(m.networkDelay(c)+sidecarProcessingTime, func() { m.receive(c, end, elapsed, report) })
}

// receive processes the response of an attempt in the sidecar of the client.
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
	// The attempt may have been executed, so the call is retried only if the call is repeatable
	// and the retry budget permits a retry.
	if !c.kind.notRepeatable && c.attempts < 2 && m.retries < 0.18*float64(m.tally.calls)+20 && c.deadline().Since(m.now) > 5*ms {
		m.retries++
		m.send(c)
		return
	}
	if !c.kind.notRepeatable && !c.isRetry && c.deadline().Since(m.now) > 20*ms {
		c.isRetry = true
		m.scheduleAfter(10*ms, func() { m.begin(c) })
		return
	}
	m.record(c, false)
}

// reject informs the client that its call was not executed. The client retries the call once.
func (m *model) reject(c *call) {
	m.tally.rejected++
	if remaining := c.deadline().Since(m.now); !c.isRetry && remaining > 20*ms {
		c.isRetry, c.rejectedEarly = true, m.now.Since(c.arrivedAt) <= c.kind.target/4
		m.tally.clientRetries++
		m.scheduleAfter(min(max(c.retryAfter, 10*ms), remaining/3), func() { m.begin(c) })
		return
	}
	if c.isRetry {
		m.tally.penalty += 0.3 * c.kind.value
	}
	m.record(c, false)
}

// record adds the end of a call to the results.
func (m *model) record(c *call, ok bool) {
	k, value := c.kind, 0.0
	m.tally.tries += c.attempts
	switch x := m.now.Since(c.createdAt); {
	case !ok:
		m.tally.failed++
		if c.rejectedLate && !c.reachedEndpoint {
			m.tally.rejectedLate++
			m.tally.penalty += 0.1 * k.value
		}
	case x <= k.target:
		value = k.value
		m.tally.onTime++
	case c.rejectedEarly && m.now.Since(c.arrivedAt) <= k.target:
		value = (k.value + k.lateValue) / 2
	case x <= k.deadline:
		value = k.lateValue
	}
	if ok {
		m.tally.served++
	}
	m.tally.earned += value
	add := func(in map[int][2]float64, at int) {
		x := in[at]
		in[at] = [2]float64{x[0] + value, x[1] + k.value}
	}
	add(m.tally.byRank, k.rank)
	add(m.tally.windows, int(c.createdAt.Since(startTime)/(2*time.Second)))
}
