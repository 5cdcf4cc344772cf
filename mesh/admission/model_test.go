package admission_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/pick"
	"cottonarch.example/cottonarch/mesh/registry/index"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

const ms = time.Millisecond

// kind is one kind of request of the model.
type kind struct {
	name        string
	share       float64 // of arrivals
	rank        int
	work        time.Duration
	spread      float64 // sigma of the lognormal
	tail        float64 // times, for one in a hundred
	aim, until  time.Duration
	worth, late float64
	unsafe      bool
	bytes       int64
}

// trouble is what ails some endpoints for a while.
type trouble struct {
	servers  int // the first of them
	from, to time.Duration
	slow     float64 // times their work
	fail     float64 // part of runs
}

// day is one scenario. Load is the part of all slots' time that is asked for when nothing
// is the matter.
type day struct {
	sides, servers, districts int
	kinds                     []kind
	speeds                    []float64
	load, swing, burst        float64 // burst times the load for 3 s from the 10th on
	clump                     int
	length                    time.Duration
	troubles                  []trouble
	cold                      time.Duration // the last server starts at 5 s and is slow for so long
	reset                     bool          // a full endpoint resets
}

// chooser is a policy at the caller's machine.
type chooser interface {
	ChooseFor(now monotime.Time, way string, all []index.Entry, past map[ident.Server]bool) (index.Entry, bool)
	Sent(ident.Server)
	Back(now monotime.Time, e index.Entry, doubt, lost bool)
	TurnedAway(monotime.Time, ident.Server)
}

// blind draws any endpoint.
type blind struct{ rng *rand.Rand }

func (b blind) ChooseFor(_ monotime.Time, _ string, all []index.Entry, past map[ident.Server]bool) (index.Entry, bool) {
	for range 100 {
		if e := all[b.rng.IntN(len(all))]; !past[e.UID] {
			return e, true
		}
	}
	return index.Entry{}, false
}
func (blind) Sent(ident.Server)                           {}
func (blind) Back(monotime.Time, index.Entry, bool, bool) {}
func (blind) TurnedAway(monotime.Time, ident.Server)      {}

// former is the choice as it was before gates told anything: the better of two by own
// requests in hand and district, suspects aside.
type former struct {
	rng      *rand.Rand
	district ident.District
	hand     map[ident.Server]int
	bad      map[ident.Server]monotime.Time
}

func (f *former) ChooseFor(now monotime.Time, _ string, all []index.Entry, past map[ident.Server]bool) (index.Entry, bool) {
	var good, fair []index.Entry
	for _, e := range all {
		switch {
		case past[e.UID]:
		case f.bad[e.UID].After(now):
			fair = append(fair, e)
		default:
			good = append(good, e)
		}
	}
	if len(good) == 0 {
		good = fair
	}
	if len(good) == 0 {
		return index.Entry{}, false
	}
	cost := func(e index.Entry) float64 {
		c := float64(f.hand[e.UID]) + 1
		if e.District != f.district {
			c *= 1.3
		}
		return c
	}
	a, b := good[f.rng.IntN(len(good))], good[f.rng.IntN(len(good))]
	if cost(b) < cost(a) {
		a = b
	}
	return a, true
}
func (f *former) Sent(s ident.Server) { f.hand[s]++ }
func (f *former) Back(now monotime.Time, e index.Entry, doubt, _ bool) {
	f.hand[e.UID]--
	if doubt {
		f.bad[e.UID] = now.Add(time.Second)
	}
}
func (f *former) TurnedAway(now monotime.Time, s ident.Server) { f.bad[s] = now.Add(250 * ms) }

// policy is what a model is run with.
type policy struct {
	name string
	pick string // blind, former, told
	bay  bool
	most int // tries a call; 0 is two
	set  func(*pick.Settings)
	bays func(*admission.Settings)
}

// tally is what came of a day.
type tally struct {
	owed, earned, price float64
	byRank              map[int][2]float64
	windows             map[int][2]float64
	calls, served       int
	onTime, failed      int
	refused, back       int
	arrivals, tries     int
	heldLate            int
	crossKB, allKB      float64
	hops                int
}

func (t *tally) part() float64 { return t.earned / t.owed }

// score is worth less prices.
func (t *tally) score() float64 { return (t.earned - t.price) / t.owed }

func (t *tally) rank(r int) float64 { x := t.byRank[r]; return x[0] / max(x[1], 1) }

// worst is the mean of the two worst windows of two seconds.
func (t *tally) worst() float64 {
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
	do  func()
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
	kind       *kind
	work       float64 // nanoseconds at speed 1
	home       int
	born, came monotime.Time
	second     bool
	early      bool // refused within a quarter of its aim
	offered    bool
	held       bool
	past       map[ident.Server]bool
	tries      int
	now        index.Entry
	id         uint64
	shed       bool
	retry      time.Duration
}

func (c *call) until() monotime.Time { return c.born.Add(c.kind.until) }

// server is one endpoint.
type server struct {
	n     int
	entry index.Entry
	speed float64
	busy  int
	queue []*call
	bay   *admission.Queue
	wait  map[uint64]*call
	went  map[uint64]monotime.Time
	tick  monotime.Time
	start monotime.Time
}

type model struct {
	day     day
	pol     policy
	now     monotime.Time
	queue   events
	seq     int
	rng     *rand.Rand
	coming  *rand.Rand // what clients do is the same whatever the policy
	sides   []chooser
	servers []*server
	byID    map[ident.Server]*server
	all     []index.Entry
	tally   tally
	ids     uint64
	spent   float64 // further tries, as a part of calls
	cap     float64
}

const (
	slots = 6
	queue = 24
	hop   = 1500 * time.Microsecond // a sidecar's own time for a request
)

func run(d day, p policy, seed uint64) *tally {
	m := &model{day: d, pol: p, now: monotime.Time(time.Second), rng: rand.New(rand.NewPCG(seed, 7)), coming: rand.New(rand.NewPCG(seed, 8)), byID: map[ident.Server]*server{},
		tally: tally{byRank: map[int][2]float64{}, windows: map[int][2]float64{}}}
	for i := range d.servers {
		s := &server{n: i, speed: d.speeds[i%len(d.speeds)], wait: map[uint64]*call{}, went: map[uint64]monotime.Time{}}
		id := ident.Server(fmt.Sprintf("e%02d", i))
		s.entry = index.Entry{Workload: &record.Workload{UID: id, Service: "s", Gate: ident.Addr(fmt.Sprint("g", i)), District: m.district(i), Weight: 1, Status: record.Healthy}}
		if p.bay {
			set := admission.DefaultSettings()
			if p.bays != nil {
				p.bays(&set)
			}
			s.bay = admission.New(set)
		}
		if d.cold > 0 && i == d.servers-1 {
			s.start = m.now.Add(5 * time.Second)
			m.at(s.start, func() { m.enter(s, d.cold) })
		} else {
			m.enter(s, 0)
		}
		m.servers, m.byID[id] = append(m.servers, s), s
		m.cap += slots * s.speed
	}
	for i := range d.sides {
		m.sides = append(m.sides, m.chooser(i, seed))
	}
	m.clients(monotime.Time(time.Second))
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.do()
	}
	return &m.tally
}

func (m *model) district(i int) ident.District {
	return ident.District(fmt.Sprint("d", i%m.day.districts))
}

func (m *model) enter(s *server, cold time.Duration) {
	m.all = append(slices.Clone(m.all), s.entry)
	if s.bay != nil {
		s.bay.SetSlots(m.now, s.entry.UID, slots, cold)
	}
}

func (m *model) chooser(i int, seed uint64) chooser {
	rng := rand.New(rand.NewPCG(seed, uint64(i)+100))
	switch m.pol.pick {
	case "blind":
		return blind{rng}
	case "former":
		return &former{rng: rng, district: m.district(i), hand: map[ident.Server]int{}, bad: map[ident.Server]monotime.Time{}}
	}
	p := pick.New(m.district(i), seed*1000+uint64(i))
	if m.pol.set != nil {
		m.pol.set(&p.Settings)
	}
	return p
}

func (m *model) at(t monotime.Time, do func()) {
	m.seq++
	heap.Push(&m.queue, event{t, m.seq, do})
}
func (m *model) in(d time.Duration, do func()) { m.at(m.now.Add(d), do) }

// clients makes the arrivals: a wave, clumps and a burst.
func (m *model) clients(from monotime.Time) {
	mean := 0.0
	for _, k := range m.day.kinds {
		mean += k.share * k.work.Seconds()
	}
	rate := m.day.load * m.cap / mean
	end := from.Add(m.day.length)
	var next func()
	next = func() {
		if m.now.After(end) {
			return
		}
		for range m.day.clump {
			m.come()
		}
		t := m.now.Since(from).Seconds()
		r := rate * (1 + m.day.swing*math.Sin(2*math.Pi*t/11))
		if t >= 10 && t < 13 {
			r *= m.day.burst
		}
		m.in(time.Duration(m.coming.ExpFloat64()/(r/float64(m.day.clump))*float64(time.Second)), next)
	}
	m.at(from, next)
}

func (m *model) come() {
	x, k := m.coming.Float64(), &m.day.kinds[0]
	for i := range m.day.kinds {
		k = &m.day.kinds[i]
		if x -= k.share; x < 0 {
			break
		}
	}
	c := &call{kind: k, home: m.coming.IntN(m.day.sides), born: m.now}
	c.work = float64(k.work) * math.Exp(k.spread*m.coming.NormFloat64()-k.spread*k.spread/2)
	if m.coming.Float64() < 0.01 {
		c.work *= k.tail
	}
	c.work = min(c.work, 7.5*float64(k.work))
	m.tally.calls++
	m.tally.owed += k.worth
	m.begin(c)
}

func (m *model) begin(c *call) {
	c.came, c.past, c.tries, c.shed, c.retry = m.now, map[ident.Server]bool{}, 0, false, 0
	m.in(hop, func() { m.send(c) })
}

func (m *model) dist(c *call) time.Duration {
	if m.district(c.home) == c.now.District {
		return 100 * time.Microsecond
	}
	return 900 * time.Microsecond
}

func (m *model) send(c *call) {
	side := m.sides[c.home]
	if !c.until().After(m.now) {
		m.refuse(c)
		return
	}
	e, ok := side.ChooseFor(m.now, c.kind.name, m.all, c.past)
	if !ok {
		m.refuse(c)
		return
	}
	c.tries++
	m.ids++
	c.id, c.now = m.ids, e
	c.past[e.UID] = true
	m.tally.hops++
	side.Sent(e.UID)
	ask := admission.Request{ID: c.id, Rank: c.kind.rank, Early: c.came.Add(c.kind.aim/4 - 5*ms), Aim: c.came.Add(c.kind.aim), Until: c.until(), LastResort: c.shed}
	if c.second {
		ask.Early = c.came.Add(c.kind.aim/4 - 5*ms)
	}
	if p, ok := side.(*pick.Picker); ok {
		ask.Work, ask.PeerFailureRate = p.Work(c.kind.name), p.Peers("s")
		ask.LastResort = ask.LastResort || p.Must(m.now, e.UID)
	}
	s := m.byID[e.UID]
	m.in(m.dist(c)+hop, func() { m.gate(s, c, ask) })
}

func (m *model) gate(s *server, c *call, a admission.Request) {
	if s.bay == nil {
		m.offer(s, c)
		return
	}
	s.wait[a.ID] = c
	m.act(s, s.bay.Offer(m.now, s.entry.UID, a))
}

func (m *model) act(s *server, acts []admission.Verdict) {
	for _, a := range slices.Clone(acts) {
		c := s.wait[a.ID]
		delete(s.wait, a.ID)
		if a.Decision == admission.Admit {
			s.went[a.ID] = m.now
			m.in(200*time.Microsecond, func() { m.offer(s, c) })
			continue
		}
		if m.now.Since(c.came) > c.kind.aim/4 {
			c.held = true
		}
		if c.retry == 0 || a.RetryAfter < c.retry {
			c.retry = a.RetryAfter
		}
		c.shed = true
		m.reply(s, c, "shed", 0)
	}
	if due, ok := s.bay.NextTick(m.now); ok && (s.tick <= m.now || due < s.tick) {
		s.tick = max(due, m.now.Add(ms))
		m.at(s.tick, func() { m.act(s, s.bay.Tick(m.now)) })
	}
}

func (m *model) offer(s *server, c *call) {
	m.tally.arrivals++
	switch {
	case s.busy < slots:
		m.work(s, c)
	case len(s.queue) < queue:
		s.queue = append(s.queue, c)
	case m.day.reset:
		m.over(s, c, "lost", 0)
	default:
		m.over(s, c, "full", 0)
	}
}

func (m *model) work(s *server, c *call) {
	k := c.kind
	if m.now.Since(c.came) <= k.aim {
		c.offered = true
	}
	w := c.work / s.speed
	fail := m.rng.Float64()
	end := "ok"
	for _, t := range m.day.troubles {
		if x := m.now.Since(monotime.Time(time.Second)); s.n < t.servers && x >= t.from && x < t.to {
			w *= max(t.slow, 1)
			if fail < t.fail {
				w, end = w/10, "fail"
			}
		}
	}
	if s.start != 0 && m.now.Since(s.start) < m.day.cold {
		w *= 2
	}
	took := time.Duration(w)
	if m.now.Add(took).After(c.until()) {
		took, end = c.until().Since(m.now), "late"
	}
	s.busy++
	m.in(took, func() {
		s.busy--
		m.over(s, c, end, took)
		for s.busy < slots && len(s.queue) > 0 {
			n := s.queue[0]
			s.queue = s.queue[1:]
			if !n.until().After(m.now) {
				m.over(s, n, "full", 0)
				continue
			}
			m.work(s, n)
		}
	})
}

var ends = map[string]admission.Outcome{"ok": admission.Served, "fail": admission.Failed, "lost": admission.GivenUp, "full": admission.GivenUp, "late": admission.GivenUp}

// over is the end of a request at its endpoint, seen by the gate.
func (m *model) over(s *server, c *call, end string, took time.Duration) {
	if s.bay == nil {
		m.reply(s, c, end, took)
		return
	}
	at := s.went[c.id]
	delete(s.went, c.id)
	acts := s.bay.Done(m.now, s.entry.UID, c.id, ends[end], m.now.Since(at))
	m.reply(s, c, end, m.now.Since(at))
	m.act(s, acts)
}

func (m *model) reply(s *server, c *call, end string, took time.Duration) {
	var told *loadreport.Report
	if s.bay != nil {
		b, _ := s.bay.LoadReport(m.now, s.entry.UID)
		b, _ = loadreport.Parse(b.Text())
		told = &b
	}
	if end == "ok" {
		m.tally.allKB += float64(c.kind.bytes) / 1024
		if m.district(c.home) != c.now.District {
			m.tally.crossKB += float64(c.kind.bytes) / 1024
		}
	}
	m.in(m.dist(c)+hop, func() { m.returned(c, end, took, told) })
}

func (m *model) returned(c *call, end string, took time.Duration, told *loadreport.Report) {
	side := m.sides[c.home]
	side.Back(m.now, c.now, end == "lost" || end == "late", false)
	if p, ok := side.(*pick.Picker); ok && told != nil {
		p.Heard(m.now, c.now.UID, *told)
		if end == "ok" {
			p.Ran(m.now, c.kind.name, took, c.kind.bytes)
		}
	}
	if end == "full" {
		side.TurnedAway(m.now, c.now.UID)
	}
	switch end {
	case "ok":
		m.settle(c, true)
		return
	case "full", "shed":
		if c.tries < max(m.pol.most, 2) && c.until().Since(m.now) > 5*ms {
			m.send(c)
			return
		}
		m.refuse(c)
		return
	}
	// It ran, or may have: tried again only if it may be, out of the allowance.
	if !c.kind.unsafe && c.tries < 2 && m.spent < 0.18*float64(m.tally.calls)+20 && c.until().Since(m.now) > 5*ms {
		m.spent++
		m.send(c)
		return
	}
	if !c.kind.unsafe && !c.second && c.until().Since(m.now) > 20*ms {
		c.second = true
		m.in(10*ms, func() { m.begin(c) })
		return
	}
	m.settle(c, false)
}

func (m *model) refuse(c *call) {
	m.tally.refused++
	if left := c.until().Since(m.now); !c.second && left > 20*ms {
		c.second, c.early = true, m.now.Since(c.came) <= c.kind.aim/4
		m.tally.back++
		m.in(min(max(c.retry, 10*ms), left/3), func() { m.begin(c) })
		return
	}
	if c.second {
		m.tally.price += 0.3 * c.kind.worth
	}
	m.settle(c, false)
}

func (m *model) settle(c *call, ok bool) {
	k, got := c.kind, 0.0
	m.tally.tries += c.tries
	switch x := m.now.Since(c.born); {
	case !ok:
		m.tally.failed++
		if c.held && !c.offered {
			m.tally.heldLate++
			m.tally.price += 0.1 * k.worth
		}
	case x <= k.aim:
		got = k.worth
		m.tally.onTime++
	case c.early && m.now.Since(c.came) <= k.aim:
		got = (k.worth + k.late) / 2
	case x <= k.until:
		got = k.late
	}
	if ok {
		m.tally.served++
	}
	m.tally.earned += got
	add := func(in map[int][2]float64, at int) {
		x := in[at]
		in[at] = [2]float64{x[0] + got, x[1] + k.worth}
	}
	add(m.tally.byRank, k.rank)
	add(m.tally.windows, int(c.born.Since(monotime.Time(time.Second))/(2*time.Second)))
}
