package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/sim/check"
)

// Kind is one kind of request.
type Kind struct {
	Name, Method, Host, Path string
	Service                  ident.Service
	Weight                   int
	Urgent                   bool
	// Repeat is what its way says may run twice; empty leaves it to the method.
	Repeat string
}

// unsafe tells whether the request may run once at most.
func (k Kind) unsafe() bool {
	switch k.Repeat {
	case "":
		return k.Method != "GET"
	case "repeatable", "download":
		return false
	}
	return true
}

// job is a call queued at its own sidecar.
type job struct {
	call  *path.Call
	rec   *check.Call
	began monotime.Time
	given bool // an endpoint's own word that it failed is at hand, while others are tried
}

// Call sends one request from the callers of a machine.
func (w *World) Call(s *Side, k Kind) {
	w.calls++
	id := fmt.Sprintf("%s-%d", k.Name, w.calls)
	rec := &check.Call{ID: id, Service: k.Service, Urgent: k.Urgent, Unsafe: k.unsafe(), Began: w.now}
	w.Check.Calls = append(w.Check.Calls, rec)
	if !s.up || s.leaving {
		rec.Fate = check.NoNode
		return
	}
	gen := s.gen
	s.hand++
	if k.Urgent {
		s.urgent++
	}
	rec.Done = func() {
		s.lay(gen)
		if k.Urgent && s.gen == gen {
			s.urgent--
		}
	}
	w.After(50*time.Microsecond, func() {
		s.run(gen, func() {
			rec.Last = w.now
			c := &path.Call{Host: k.Host, Path: k.Path, Method: k.Method, Caller: string(s.Node)}
			if d := s.path.Way(s.clock(), c, 0); d != nil {
				w.end(rec, d)
				return
			}
			rec.Counted = true
			rec.Until = w.now.Add(c.Until.Since(s.clock()))
			rec.Beside, rec.Room = s.urgent, w.Senders
			if !s.queue.Offer(s.clock(), &job{call: c, rec: rec, began: s.clock()}, c.Way.Urgent, c.Until) {
				w.end(rec, failure.New(failure.Busy, "too many requests are in hand").Later(1))
				return
			}
			s.senders(gen)
		})
	})
}

// senders are the sending stage: whoever is free takes the next one queued.
func (s *Side) senders(gen int) {
	for {
		j, urgent, ok := s.queue.Take()
		if !ok {
			return
		}
		began, laid := s.clock(), j.rec.Done
		j.rec.Done = func() {
			laid()
			s.run(gen, func() {
				s.queue.Done(urgent, s.clock().Since(began))
				s.senders(gen)
			})
		}
		s.next(gen, j)
	}
}

func (w *World) end(rec *check.Call, d *failure.Error) {
	rec.Ended = w.now
	if w.Break == "held" && d != nil && rec.Until > w.now {
		// A no is held back until the time is nearly over.
		w.After(rec.Until.Since(w.now), func() { rec.Ended = w.now })
	}
	rec.Done()
	switch {
	case d == nil:
		rec.Fate = check.Served
	case d.Outcome == failure.NotExecuted:
		rec.Fate, rec.Why = check.NotRun, string(d.Kind)
	default:
		rec.Fate, rec.Why = check.Unknown, string(d.Kind)
		if w.Break == "fate" {
			rec.Fate = check.NotRun
		}
	}
}

func (s *Side) next(gen int, j *job) {
	w, c, rec := s.w, j.call, j.rec
	if c.Tries() == 0 {
		rec.Last = w.now // its turn has come
	}
	ch := s.path.Next(s.clock(), c)
	// fail ends it with what an endpoint itself said of its failure, if one did.
	fail := func(d *failure.Error) {
		if j.given {
			d = nil
		}
		w.end(rec, d)
	}
	if ch.Failure != nil {
		fail(ch.Failure)
		return
	}
	over := false
	done := func(e path.End) {
		if over {
			return
		}
		over = true
		s.run(gen, func() {
			rec.Last = w.now
			again := s.path.Ended(s.clock(), c, e)
			rec.Beyond = e.Shed || w.Platform && e.Arrived
			j.given = j.given || e.Verdict == path.Ran
			switch {
			case e.Verdict == path.Ran && !(again || e.Bad && w.Break == "failed"):
				w.end(rec, nil)
			case e.Verdict != path.Ran && !again:
				fail(s.path.Final(c))
			default:
				s.next(gen, j)
			}
		})
	}
	unsure := func(kind failure.Kind) path.End {
		return path.End{Verdict: path.Unsure, Failure: failure.Unsure(kind, "no return"), Lost: kind == failure.LostResponse}
	}
	w.After(ch.Limit, func() { done(unsure(failure.Late)) })
	if w.Break == "return" {
		unsure = func(failure.Kind) path.End { return path.End{Verdict: path.Ran} }
	}
	to := w.sideAt(ch.Entry.Gate)
	pass := func(at *Side, done func(path.End)) { at.pass(ch, c, rec, done) }
	if w.Platform {
		t := s.wants(ch, j)
		pass = func(at *Side, done func(path.End)) { at.admit(t, done) }
	}
	if to == s {
		pass(s, done)
		return
	}
	if to == nil || !to.up {
		w.After(time.Millisecond, func() {
			done(path.End{Verdict: path.NotRun, Failure: failure.New(failure.Unreached, "down"), Lost: true})
		})
		return
	}
	if !w.Links.Open(s.Addr, to.Addr) || !w.Links.Open(to.Addr, s.Addr) {
		w.After(300*time.Millisecond, func() {
			done(path.End{Verdict: path.NotRun, Failure: failure.New(failure.Unreached, "cut"), Lost: true})
		})
		return
	}
	tg := to.gen
	w.After(w.delay(), func() {
		if !to.up || to.gen != tg {
			done(unsure(failure.LostResponse))
			return
		}
		to.run(tg, func() {
			pass(to, func(e path.End) {
				if w.Links.Open(to.Addr, s.Addr) && to.up && to.gen == tg {
					w.After(w.delay(), func() { done(e) })
				}
			})
		})
	})
}

func (w *World) sideAt(a ident.Addr) *Side {
	for _, s := range w.Sides {
		if s.Addr == a {
			return s
		}
	}
	return nil
}

// pass is the gate and what lies behind it.
func (s *Side) pass(ch path.Choice, c *path.Call, rec *check.Call, done func(path.End)) {
	w, gen := s.w, s.gen
	turned := func(d *failure.Error) { done(path.End{Verdict: path.NotRun, Failure: d, Turned: true}) }
	addr, _, d := s.gate.Pass(s.clock(), ch.Entry.UID, ch.Entry.Service)
	if d != nil {
		turned(d)
		return
	}
	if !s.path.Tree.Begin(s.clock(), ch.Repeat) {
		turned(failure.New(failure.Busy, "no room for the calls of a repeat"))
		return
	}
	s.hand++
	said := done
	done = func(e path.End) {
		if s.lay(gen); s.gen == gen {
			s.path.Tree.End(ch.Repeat)
		}
		said(e)
	}
	turned = func(d *failure.Error) { done(path.End{Verdict: path.NotRun, Failure: d, Turned: true}) }
	w.After(150*time.Microsecond, func() { // the dial
		s.run(gen, func() {
			e := w.spots[addr]
			if e == nil {
				s.gate.Failed(s.clock(), ch.Entry.UID)
				turned(failure.New(failure.Unreached, "no connection"))
				return
			}
			if _, _, d := s.gate.Pass(s.clock(), ch.Entry.UID, ch.Entry.Service); d != nil {
				turned(d)
				return
			}
			run := check.Run{ID: rec.ID, Server: e.Server, Service: e.Service, Asked: c.Way.Service, At: w.now, LeftAt: e.leftAt, LostAt: e.lostAt, Unsafe: rec.Unsafe}
			over := false
			end := func(v path.End) {
				if !over {
					over = true
					s.run(gen, func() { done(v) })
				}
			}
			w.After(ch.Limit, func() {
				end(path.End{Verdict: path.Unsure, Failure: failure.Unsure(failure.LostResponse, "the endpoint gave no return"), Lost: true})
			})
			if e.hung {
				// It lies in the socket; who gave up on it may be told so, and it runs all the same.
				w.arrive(rec, c)
				e.late = append(e.late, func() { e.serve(run, rec, end) })
				return
			}
			w.arrive(rec, c)
			e.serve(run, rec, end)
		})
	})
}

// arrive counts what reaches an endpoint beyond the first try of its request.
func (w *World) arrive(rec *check.Call, c *path.Call) {
	if rec.Arrived++; rec.Arrived > 1 {
		w.Check.Try(w.now, c.Way.Service)
	}
}

// serve runs a request and gives its return, or none.
func (e *Endpoint) serve(run check.Run, rec *check.Call, done func(path.End)) {
	w := e.w
	run.RanAt = w.now
	w.Check.Ran(run)
	e.hand++
	x := w.Rng.Float64()
	work := e.Mood.Work/2 + time.Duration(w.Rng.Int64N(int64(e.Mood.Work)+1))
	if e.Mood.Long > 0 && w.Rng.Float64() < e.Mood.Long {
		work = longWork
	}
	w.After(work, func() {
		e.hand--
		defer e.room()
		switch {
		case !e.up:
			done(path.End{Verdict: path.Unsure, Failure: failure.Unsure(failure.LostResponse, "the endpoint ended"), Lost: true})
		case e.hung, x < e.Mood.Lose: // no return comes
		case x < e.Mood.Lose+e.Mood.Garbage:
			end := path.End{Verdict: path.Unsure, Failure: failure.Unsure(failure.BadResponse, "garbage")}
			if w.Break == "return" {
				end.Verdict = path.Ran
			}
			done(end)
		default:
			rec.Whole = true
			done(path.End{Verdict: path.Ran})
		}
	})
}

// lay counts one request out of hand, unless the sidecar has been started anew.
func (s *Side) lay(gen int) {
	if s.gen == gen {
		s.hand--
	}
}
