package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/node"
	manifest "cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/allowance"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/lease/joiner"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"cottonarch.example/cottonarch/mesh/witness"
	"cottonarch.example/cottonarch/sim/check"
)

// Side is a simulated application machine: its sidecar and its endpoints.
type Side struct {
	proc
	Node        ident.Node
	District    ident.District
	Ends        []*Endpoint
	path        *path.Path
	gate        *gate.Gate
	wit         *witness.Witness
	queue       *priorityqueue.Queue[*job]
	lease       *holder.Holder
	budgetShare holder.BudgetShare
	entered     bool
	asking      bool
	leaseEpoch  ident.Epoch
	seq         uint64
	turn        int
	joiner      *joiner.Joiner
	joins       int        // attempts that were granted, which mark the next one
	follow      ident.Addr // the core that is polled
	mark        int        // gen of it that place belongs to
	place       uint64
	polling     bool
	polls       int
	stale       bool // as the polled core last said
	leaving     bool
	shown       ident.Epoch
	heard       monotime.Time // a core, last
	hand        int
	urgent      int // urgent calls in hand
	watch       monotime.Watch
	// The rest is for worlds with admission queues.
	admission  *admission.Queue
	waiters    map[uint64]*waiter // who waits in the admission queue
	lastWaiter uint64
	admitting  []ident.Server // whom the admission queue knows
	greeted    bool
}

// slow is the clock that counts only time that was watched.
func (s *Side) slow() monotime.Time {
	if s.w.Break == "clock" {
		return s.clock()
	}
	return s.watch.Look(s.clock())
}

// NewSide makes an application machine.
func (w *World) NewSide(addr ident.Addr, d ident.District) *Side {
	s := &Side{proc: proc{w: w, Addr: addr}, Node: ident.Node("node-" + string(addr)), District: d}
	w.Sides = append(w.Sides, s)
	return s
}

// Start starts the sidecar.
func (s *Side) Start() {
	s.start()
	s.watch = monotime.Watch{}
	s.path = path.New(s.clock(), s.District, s.w.Rng.Uint64(), allowance.Terms{})
	s.path.Reckless = s.w.Break == "retry"
	s.path.Tree.Free = s.w.Break == "allowance"
	s.joiner = joiner.New(s.Node, s.District)
	s.gate, s.lease, s.wit = gate.New(), holder.New(), witness.New(s.clock())
	if s.w.Platform {
		s.gate.Every(pace).Fenced = true
		s.admission, s.waiters, s.lastWaiter, s.admitting, s.greeted = admission.New(admission.DefaultSettings()), map[uint64]*waiter{}, 0, nil, false
	}
	s.queue = priorityqueue.New[*job](s.w.Senders, s.w.Senders)
	s.queue.IgnoreUrgency = s.w.Break == "urgent"
	s.wit.Deaf = s.w.Break == "witness"
	s.gate.Open = s.w.Break == "gate" || s.w.Break == "silence"
	s.entered, s.asking, s.leaseEpoch, s.seq, s.polling, s.leaving = false, false, 0, 0, false, false
	s.follow, s.mark, s.place = "", 0, 0
	s.hand, s.urgent, s.heard = 0, 0, s.clock()
	for _, e := range s.Ends { // this run has seen none of them yet
		e.beatAt = 0
	}
	s.ticker(s.gen, 0)
}

// Ready tells whether callers may come: it was let in and has a manifest in force.
func (s *Side) Ready() bool { return s.up && s.entered && s.path.Epoch() > 0 }

// Thawed tells whether the sidecar runs.
func (s *Side) Thawed() bool { return s.up && !s.frozen }

// Run counts the starts of the sidecar.
func (s *Side) Run() int { return s.gen }

// Kill ends the sidecar at once.
func (s *Side) Kill() { s.up = false }

// Stop is a planned stop: callers come no more, its endpoints are left alone, and it
// ends once nothing is in hand for a second, or after ten.
func (s *Side) Stop(after func()) {
	gen := s.gen
	s.leaving = true
	s.run(gen, func() {
		waits := len(s.waiters)
		s.changed(s.gate.Leave(s.clock()))
		if waits == 0 {
			return
		}
		s.w.After(ended, func() {
			s.run(gen, func() {
				s.w.Check.Look(check.BayStop)
				if n := len(s.waiters); n > 0 {
					s.w.Breach(check.BayStop, "%s stops and %d still wait in its admission queue", s.Node, n)
				}
			})
		})
	})
	s.drain(gen, 0, 0, after)
}

func (s *Side) drain(gen, quiet, n int, after func()) {
	if !s.up || s.gen != gen {
		return
	}
	if quiet++; s.hand > 0 {
		quiet = 0
	}
	if quiet < 20 && n < 200 && s.w.Break != "stop" {
		s.w.After(50*time.Millisecond, func() { s.drain(gen, quiet, n+1, after) })
		return
	}
	s.w.Check.Seen["dropped-in-stop"]++
	if s.hand > 0 {
		s.w.Breach("dropped-in-stop", "%s stopped with %d requests in hand", s.Node, s.hand)
	}
	s.Kill()
	after()
}

func (s *Side) ticker(gen, n int) {
	s.run(gen, func() {
		now := s.clock()
		s.slow()
		s.losses()
		s.path.Tree.Tick(now)
		s.changed(s.gate.Tick(now))
		if s.w.Platform {
			s.tellWaiters(s.admission.Tick(now))
			s.greet()
		}
		switch {
		case !s.entered && !s.asking:
			s.askToJoin(n)
		case s.entered:
			s.renew()
		}
		if s.entered {
			s.poll()
			s.shares()
		}
		if n%6 == 0 && s.wit.Lonely(now, s.heard, s.path.Epoch()) {
			s.neighbours()
		}
		s.show()
	})
	if s.up && s.gen == gen {
		s.w.After(40*time.Millisecond, func() { s.ticker(gen, n+1) })
	}
}

// ask asks a core: the request may be lost, and so may the return. serve runs in the
// core and says its return once; done runs here, with nil when none came in time.
func (s *Side) ask(c *proc, limit time.Duration, serve func(say func(any)), done func(any)) {
	s.askAt(c, c.cost, limit, serve, done)
}

// askAt is ask of a request that costs the core something else than others.
func (s *Side) askAt(c *proc, cost, limit time.Duration, serve func(say func(any)), done func(any)) {
	w, gen, over := s.w, s.gen, false
	end := func(v any) {
		if !over {
			over = true
			s.run(gen, func() { done(v) })
		}
	}
	w.After(limit, func() { end(nil) })
	if !c.up {
		w.After(time.Millisecond, func() { end(nil) })
		return
	}
	from, to, cg := s.Addr, c.Addr, c.gen
	if !w.Links.Open(from, to) || !w.Links.Open(to, from) {
		if w.Links.refuses(from, to) {
			w.After(time.Millisecond, func() { end(nil) })
		}
		return
	}
	w.After(w.delay(), func() {
		c.handle(cg, cost, func() {
			serve(func(v any) {
				if w.Links.Open(to, from) {
					w.After(w.delay(), func() { end(v) })
				}
			})
		})
	})
}

// renew renews the claim at the keeper, as the daemon does.
func (s *Side) renew() {
	now := s.clock()
	s.lease.ChooseRegistrar(now, s.Node, s.District, s.w.coreAddrs())
	rep := record.Report{Node: s.Node, Addr: s.Addr, District: s.District, LeaseEpoch: s.leaseEpoch, Seq: s.seq, Manifest: s.path.Epoch(), Leaving: s.leaving, Workloads: s.gate.Workloads()}
	news := s.lease.Changed(s.leaseEpoch, rep)
	if !s.lease.Due(now, news) {
		return
	}
	if news {
		s.seq++
		rep.Seq = s.seq
	}
	to := s.lease.Targets()
	ask := s.lease.Begin(now, rep, s.path.Ends())
	for _, at := range to {
		s.renewAt(at, ask)
	}
}

func (s *Side) renewAt(at ident.Addr, ask record.Renewal) {
	c := s.coreAt(at)
	if c == nil {
		s.lease.Failed(s.clock(), at)
		return
	}
	s.ask(&c.proc, holder.RenewTimeout, func(say func(any)) {
		got, fx, d := c.node.Renew(c.clock(), ask)
		c.out(fx)
		if d != nil {
			say(d)
			return
		}
		got.View, got.Cores = "all", c.node.Places(c.clock())
		got.Manifest = c.epoch()
		say(got)
	}, func(v any) {
		switch got := v.(type) {
		case *failure.Error:
			if ask.LeaseEpoch == s.leaseEpoch {
				s.entered = false
			}
			s.lease.Ended()
		case record.Renewed:
			got.Stale = got.Stale && s.w.Break != "stay"
			s.lease.Renewed(s.clock(), at, got)
			s.heard = s.clock()
			s.budgetShare.Members(s.slow(), got.Members)
			s.path.Tree.Grant(s.budgetShare.Usable())
			if m := s.lease.MajorityAsOf(); m != 0 {
				s.path.Tree.Renewed(m)
			}
			s.renew()
			switch {
			case got.Manifest <= s.path.Epoch():
			case at != s.lease.Followed():
				s.ask(&c.proc, time.Second, func(say func(any)) { say(c.held) }, func(v any) {
					if m, ok := v.(*manifest.Manifest); ok {
						s.enforce(m)
					}
				})
			default:
				s.polling = false // ask anew: this core knows a newer manifest
			}
			s.poll()
		default:
			s.lease.Failed(s.clock(), at)
			s.renew()
			s.poll()
		}
	})
}

func (w *World) coreAddrs() []ident.Addr {
	out := make([]ident.Addr, len(w.Cores))
	for i, c := range w.Cores {
		out[i] = c.Addr
	}
	return out
}

func (s *Side) coreAt(a ident.Addr) *Core {
	for _, c := range s.w.Cores {
		if c.Addr == a {
			return c
		}
	}
	return nil
}

// shares sends a promise or a wish about the share.
func (s *Side) shares() {
	a, due := s.budgetShare.Ask(s.slow(), s.Node, s.leaseEpoch)
	if !due {
		return
	}
	c := s.w.Cores[s.w.Rng.IntN(len(s.w.Cores))]
	s.ask(&c.proc, 3500*time.Millisecond, func(say func(any)) {
		c.Deed(proposer.Operation{Key: "share", Kind: "share/take", Args: operation.Encode(a)}, 3*time.Second, func(e node.End) {
			var t share.Told
			switch {
			case e.Failure != nil:
				say(e.Failure)
			case json.Unmarshal(e.Body, &t) == nil:
				say(t)
			}
		})
	}, func(v any) {
		if d, ok := v.(*failure.Error); ok && d.Kind == failure.Conflict && a.Claim == s.leaseEpoch {
			s.entered = false // superseded: it joins anew, as the daemon does
		}
		if t, ok := v.(share.Told); ok && a.Claim == s.leaseEpoch {
			s.budgetShare.Granted(s.slow(), t)
			s.path.Tree.Grant(s.budgetShare.Usable())
		}
	})
}

type told struct {
	gen   int
	place uint64
	sets  []record.Set
	m     *manifest.Manifest
	stale bool
}

// poll follows the registry and the manifest at the keeper; the daemon's long poll is a
// poll each tick here.
func (s *Side) poll() {
	if at := s.lease.Followed(); at != s.follow {
		s.follow, s.mark, s.polling, s.stale = at, 0, false, false
	}
	if s.polling || s.w.Break == "deaf" && s.w.Rng.IntN(100) > 0 {
		return
	}
	c := s.coreAt(s.follow)
	if c == nil {
		return
	}
	s.polling = true
	s.polls++
	after, poll := s.place, s.polls
	if s.mark != c.gen {
		after = 0
	}
	cost := c.cost
	if s.mark == c.gen && c.node.Leases.Change() <= after {
		cost = 0 // the daemon's long poll waits, and is no request of its own
	}
	s.askAt(&c.proc, cost, time.Second, func(say func(any)) {
		say(told{c.gen, c.node.Leases.Change(), c.node.Leases.Feed(after), c.held, c.node.Stale()})
	}, func(v any) {
		if poll != s.polls {
			return // broken off
		}
		s.polling = false
		got, ok := v.(told)
		if !ok {
			s.mark = 0
			s.lease.Suspect()
			return
		}
		s.mark, s.place = got.gen, got.place
		s.heard = s.clock()
		s.path.Index.Merge(got.sets)
		s.enforce(got.m)
		if was := s.stale; got.stale && !was {
			s.lease.Suspect()
			s.renew()
		}
		s.stale = got.stale
	})
}
