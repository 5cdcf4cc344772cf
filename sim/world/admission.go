package world

import (
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"cottonarch.example/cottonarch/sim/check"
)

const (
	// ended is how soon after a planned stop began nobody waits in its admission queue any more.
	ended = 100 * time.Millisecond
	// greetSlots is the daemon's.
	greetSlots = 4
)

// try is one try of a call. Invariants: turned is set once the admission queue turned it away, ran once
// an endpoint ran it; never both.
type try struct {
	ch          path.Choice
	call        *path.Call
	rec         *check.Call
	ask         admission.Request // with spans that are reckoned from nought
	limit       time.Duration
	at, left    monotime.Time // when it reached the endpoint, and what that endpoint's end was then
	lost        monotime.Time
	turned, ran bool
}

// wants makes the try of a choice, as the caller's sidecar tells it to the admission queue.
func (s *Side) wants(ch path.Choice, j *job) *try {
	now, c := s.clock(), j.call
	aim := c.Way.Aim
	if aim <= 0 {
		aim = c.Until.Since(j.began)
	}
	a := admission.Request{Rank: c.Way.Rank, Work: ch.Work, PeerFailureRate: ch.Peers, LastResort: ch.Must,
		Early: monotime.Time(j.began.Add(aim / 4).Since(now)), Aim: monotime.Time(j.began.Add(aim).Since(now))}
	// The gate gives up a little before the caller's side does, so that its word is heard.
	return &try{ch: ch, call: c, rec: j.rec, ask: a, limit: ch.Limit - min(ch.Limit/10, 20*time.Millisecond)}
}

// waiter is a try that waits in the admission queue, and what goes on when it has a word.
type waiter struct {
	t    *try
	then func(admission.Verdict)
}

// tellWaiters tells those who wait what becomes of them. What follows runs later, as whoever
// waited must first be woken.
func (s *Side) tellWaiters(list []admission.Verdict) {
	w := s.w
	if w.Break == "bay-act" && len(list) > 0 {
		list = append(list, list[0])
	}
	for _, a := range list {
		if a.Decision == admission.Wait {
			continue
		}
		w.Check.Look(check.BayTold)
		b := s.waiters[a.ID]
		if b == nil {
			w.Breach(check.BayTold, "the admission queue of %s told %d of %d, who has a word or waits no more", s.Node, a.Decision, a.ID)
			continue
		}
		delete(s.waiters, a.ID)
		if a.Decision == admission.Reject {
			w.Check.Look(check.BayTurned)
			if b.t.turned = true; b.t.ran {
				w.Breach(check.BayTurned, "%s was turned away by the admission queue of %s and had run", b.t.rec.ID, s.Node)
			}
		}
		gen := s.gen
		w.After(10*time.Microsecond, func() { s.run(gen, func() { b.then(a) }) })
	}
}

// syncAdmission keeps the admission queue to what the gate knows.
func (s *Side) syncAdmission() {
	here := map[ident.Server]bool{}
	for _, x := range s.gate.Workloads() {
		here[x.UID] = true
		if x.Status != record.Healthy {
			s.tellWaiters(s.admission.RejectAll(x.UID))
		}
	}
	keep := s.admitting[:0]
	for _, id := range s.admitting {
		if here[id] {
			keep = append(keep, id)
			continue
		}
		s.tellWaiters(s.admission.Remove(id))
	}
	s.admitting = keep
}

// changed carries out a change of the gate.
func (s *Side) changed(c gate.Change) {
	if s.w.Platform && c.News && !(s.leaving && s.w.Break == "bay-stop") {
		s.syncAdmission()
	}
}

// endpointBeat takes what a heartbeat says of an endpoint's room.
func (s *Side) endpointBeat(b gate.Beat) {
	if !s.w.Platform || b.State != gate.Alive || b.Slots == 0 {
		return
	}
	for _, id := range s.admitting {
		if id == b.Server {
			s.tellWaiters(s.admission.SetSlots(s.clock(), b.Server, b.Slots, 0))
			return
		}
	}
	s.admitting = append(s.admitting, b.Server)
	s.tellWaiters(s.admission.SetSlots(s.clock(), b.Server, b.Slots, 0))
}

// greet asks the endpoint beside a sidecar that has just started, as the daemon does.
func (s *Side) greet() {
	if s.greeted || s.path.Epoch() == 0 {
		return
	}
	s.greeted = true
	if len(s.Ends) == 0 || s.Ends[0].hung || s.Ends[0].state != gate.Alive {
		return
	}
	e, gen := s.Ends[0], s.gen
	b := gate.Beat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: gate.Alive, Slots: greetSlots}
	s.w.After(time.Millisecond, func() {
		s.run(gen, func() {
			if len(s.gate.Workloads()) > 0 || s.leaving {
				return
			}
			if c, d := s.gate.Take(s.clock(), b); d == nil {
				e.beatAt, e.lostAt = s.clock(), 0
				s.changed(c)
				s.endpointBeat(b)
			}
		})
	})
}

// admit is the gate with its admission queue and what lies behind them, as the daemon's pass is.
func (s *Side) admit(t *try, done func(path.End)) {
	w, gen, server := s.w, s.gen, t.ch.Entry.UID
	if _, _, d := s.gate.Pass(s.clock(), server, t.ch.Entry.Service); d != nil {
		done(path.End{Verdict: path.NotRun, Failure: d, Turned: true})
		return
	}
	s.hand++
	over := false
	end := func(e path.End) {
		if over {
			return
		}
		over = true
		s.lay(gen)
		if b, ok := s.admission.LoadReport(s.clock(), server); ok {
			e.Told = &b
		}
		done(e)
	}
	now := s.clock()
	until := now.Add(t.limit)
	s.lastWaiter++
	id := s.lastWaiter
	b := &waiter{t: t, then: func(a admission.Verdict) {
		if a.Decision == admission.Admit {
			s.runAdmitted(t, id, until, end)
			return
		}
		end(path.End{Verdict: path.NotRun, Turned: true, Shed: true, Failure: failure.New(failure.Busy, "server %q: %s", server, a.Reason).Later(max(0.01, a.RetryAfter.Seconds()))})
		if w.Break == "bay" {
			s.runAdmitted(t, id, until, func(path.End) {})
		}
	}}
	s.waiters[id] = b
	a := t.ask
	a.ID, a.Early, a.Aim, a.Until = id, now.Add(time.Duration(a.Early)), now.Add(time.Duration(a.Aim)), until
	s.tellWaiters(s.admission.Offer(now, server, a))
	if s.waiters[id] == nil {
		return
	}
	w.After(t.limit, func() {
		s.run(gen, func() {
			if s.waiters[id] != nil {
				delete(s.waiters, id)
				s.tellWaiters(s.admission.Abandon(s.clock(), server, id))
				end(path.End{Verdict: path.NotRun, Turned: true, Shed: true, Failure: failure.New(failure.Late, "no room in time")})
			}
		})
	})
}

// runAdmitted goes on with a try that the admission queue let in.
func (s *Side) runAdmitted(t *try, id uint64, until monotime.Time, done func(path.End)) {
	w, gen, server, again := s.w, s.gen, t.ch.Entry.UID, t.ch.Repeat
	over, begun := false, false
	// end says what became of it, at the endpoint too, and once.
	end := func(e path.End, at admission.Outcome, took time.Duration) {
		s.run(gen, func() {
			if over {
				return
			}
			over = true
			if begun {
				s.path.Tree.End(again)
			}
			s.tellWaiters(s.admission.Done(s.clock(), server, id, at, took))
			e.Took = took
			done(e)
		})
	}
	turned := func(d *failure.Error) {
		end(path.End{Verdict: path.NotRun, Failure: d, Turned: true}, admission.GivenUp, 0)
	}
	addr, _, d := s.gate.Pass(s.clock(), server, t.ch.Entry.Service)
	if d == nil {
		if begun = s.path.Tree.Begin(s.clock(), again); !begun {
			d = failure.New(failure.Busy, "a repeat has no room below")
		}
	}
	if d != nil {
		turned(d)
		return
	}
	w.After(150*time.Microsecond, func() { // the dial
		s.run(gen, func() {
			e := w.spots[addr]
			if e == nil {
				s.changed(s.gate.Failed(s.clock(), server))
				turned(failure.New(failure.Unreached, "no connection"))
				return
			}
			if now, _, d := s.gate.Pass(s.clock(), server, t.ch.Entry.Service); d != nil || now != addr {
				turned(failure.New(failure.Gate, "server %q is not there any more", server))
				return
			}
			began := s.clock()
			took := func() time.Duration { return s.clock().Since(began) }
			w.After(until.Since(began), func() {
				end(path.End{Verdict: path.Unsure, Failure: failure.Unsure(failure.Late, "the endpoint gave no return")}, admission.GivenUp, took())
			})
			w.arrive(t.rec, t.call)
			t.at, t.left, t.lost = w.now, e.leftAt, e.lostAt
			e.take(t, until.Since(began), func(v path.End) {
				switch {
				case v.Verdict == path.NotRun:
					end(v, admission.GivenUp, 0)
				case v.Verdict == path.Unsure || v.Bad:
					end(v, admission.Failed, 0)
				default:
					end(v, admission.Served, took())
				}
			})
		})
	})
}

// take is an endpoint with slots: it works on so many at once, queues a few more, and says
// of the others, and of what names another endpoint, that it did not run them.
func (e *Endpoint) take(t *try, left time.Duration, done func(path.End)) {
	w := e.w
	if e.hung {
		e.late = append(e.late, func() { e.take(t, left, done) })
		return
	}
	shed := func(why string) {
		w.Served["endpoint-shed"]++
		if w.Break == "shed" {
			e.work(t, func(path.End) {})
		}
		done(path.End{Verdict: path.NotRun, Arrived: true, Failure: failure.New(failure.Busy, "%s", why)})
	}
	switch {
	case e.Server != t.ch.Entry.UID && w.Break != "fence":
		shed("it is another endpoint")
	case e.hand < e.Mood.Slots:
		e.work(t, done)
	case len(e.queue) >= e.Mood.Queue:
		shed("it is full")
	default:
		until := w.now.Add(left)
		e.queue = append(e.queue, func() bool {
			if w.now >= until {
				shed("its time is over")
				return false
			}
			e.work(t, done)
			return true
		})
	}
}

// work runs a request and takes the next one in when it is done.
func (e *Endpoint) work(t *try, done func(path.End)) {
	w := e.w
	if t.ran = true; t.turned {
		w.Breach(check.BayTurned, "%s was turned away by the admission queue beside %s and ran", t.rec.ID, e.Server)
	}
	run := check.Run{ID: t.rec.ID, Server: e.Server, Service: e.Service, Asked: t.call.Way.Service, At: t.at, LeftAt: t.left, LostAt: t.lost, Unsafe: t.rec.Unsafe}
	e.serve(run, t.rec, func(v path.End) {
		if v.Verdict == path.Ran && w.Rng.Float64() < e.Mood.Fail {
			v.Bad = true
		}
		done(v)
	})
}

// room lets those in who queue at an endpoint.
func (e *Endpoint) room() {
	for e.up && !e.hung && e.hand < e.Mood.Slots && len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		next()
	}
}
