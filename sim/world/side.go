package world

import (
	"encoding/json"
	"time"

	"cottonarch.example/cottonarch/control/coordination/book"
	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/control/core/node"
	manifest "cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/register/owner"
	"cottonarch.example/cottonarch/kernel/defect"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/moment"
	"cottonarch.example/cottonarch/mesh/allowance"
	"cottonarch.example/cottonarch/mesh/claim/holder"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/line"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/mesh/registry/record"
	"cottonarch.example/cottonarch/mesh/witness"
)

// Side is a simulated application machine: its sidecar and its endpoints.
type Side struct {
	proc
	Node     ident.Node
	District ident.District
	Ends     []*Endpoint
	path     *path.Path
	gate     *gate.Gate
	wit      *witness.Witness
	line     *line.Line[*job]
	held     *holder.Holder
	portion  holder.Portion
	entered  bool
	asking   bool
	claim    ident.Epoch
	seq      uint64
	news     bool
	turn     int
	mark     int // gen of the core that place belongs to
	place    uint64
	polling  bool
	leaving  bool
	shown    ident.Epoch
	heard    moment.Moment // a core, last
	hand     int
	urgent   int // urgent calls in hand
	watch    moment.Watch
}

// slow is the clock that counts only time that was watched.
func (s *Side) slow() moment.Moment {
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
	s.watch = moment.Watch{}
	s.path = path.New(s.clock(), s.District, s.w.Rng.Uint64(), allowance.Terms{})
	s.path.Reckless = s.w.Break == "retry"
	s.path.Tree.Free = s.w.Break == "allowance"
	s.gate, s.held, s.wit = gate.New(), holder.New(), witness.New(s.clock())
	s.line = line.New[*job](s.w.Senders, s.w.Senders)
	s.line.Level = s.w.Break == "urgent"
	s.wit.Deaf = s.w.Break == "witness"
	s.gate.Open = s.w.Break == "gate" || s.w.Break == "silence"
	s.entered, s.asking, s.claim, s.seq, s.news, s.polling, s.leaving = false, false, 0, 0, false, false, false
	s.mark, s.place = 0, 0
	s.hand, s.urgent, s.heard = 0, 0, s.clock()
	for _, e := range s.Ends { // this run has seen none of them yet
		e.beatAt = 0
	}
	s.ticker(s.gen, 0)
}

// Kill ends the sidecar at once.
func (s *Side) Kill() { s.up = false }

// Stop is a planned stop: callers come no more, its endpoints are left alone, and it
// ends once nothing is in hand for a second, or after ten.
func (s *Side) Stop(after func()) {
	gen := s.gen
	s.leaving = true
	s.run(gen, func() { s.gate.Leave(s.clock()); s.news = true })
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
		if c := s.gate.Tick(now); c.News {
			s.news = true
		}
		switch {
		case !s.entered && !s.asking && n%6 == 0:
			s.grantEntry()
		case s.entered && (n%6 == 0 || s.news):
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
		return
	}
	w.After(w.delay(), func() {
		c.run(cg, func() {
			serve(func(v any) {
				if w.Links.Open(to, from) {
					w.After(w.delay(), func() { end(v) })
				}
			})
		})
	})
}

func (s *Side) core() *Core { return s.w.Cores[s.turn%len(s.w.Cores)] }

type entered struct {
	claim ident.Epoch
	share share.Told
	epoch ident.Epoch
}

// grantEntry claims membership as the daemon does: claim epoch, share, newest manifest.
func (s *Side) grantEntry() {
	s.asking = true
	s.turn++
	c := s.core()
	s.ask(&c.proc, 1500*time.Millisecond, func(say func(any)) { // as the daemon
		c.Deed(owner.Deed{Key: ident.Key("claim/" + string(s.Node)), Kind: "number/next"}, 3*time.Second, func(e node.End) {
			var num number.Number
			if e.Defect != nil || json.Unmarshal(e.Body, &num) != nil {
				say(nil)
				return
			}
			args := book.JSON(share.Args{Node: s.Node, Claim: ident.Epoch(num.N)})
			c.Deed(owner.Deed{Key: "share", Kind: "share/take", Args: args}, 3*time.Second, func(e node.End) {
				var g share.Told
				if e.Defect != nil || json.Unmarshal(e.Body, &g) != nil {
					say(nil)
					return
				}
				c.Newest(func(ok bool) {
					if !ok {
						say(nil)
						return
					}
					say(entered{ident.Epoch(num.N), g, c.epoch()})
				})
			})
		})
	}, func(v any) {
		s.asking = false
		got, ok := v.(entered)
		if !ok {
			return
		}
		s.entered, s.claim, s.seq = true, got.claim, 1
		s.path.Floor = max(s.path.Floor, got.epoch)
		s.wit.Entered()
		s.turn = s.w.Rng.IntN(len(s.w.Cores)) // the daemon follows another core than it entered by
		s.heard = s.clock()
		s.portion.Begin(s.slow(), got.share)
		s.path.Tree.Grant(s.portion.Use())
	})
}

type acked struct {
	disk   ident.Disk
	votes  bool
	voters int
	epoch  ident.Epoch
	live   int
	defect *defect.Defect
}

func (s *Side) renew() {
	if s.news {
		s.news = false
		s.seq++
	}
	rep := record.Report{Node: s.Node, Addr: s.Addr, District: s.District, Claim: s.claim, Seq: s.seq, Manifest: s.path.Epoch(), Workloads: s.gate.Workloads(), Ends: s.path.Ends()}
	sent := s.clock()
	for i, c := range s.w.Cores {
		s.ask(&c.proc, 800*time.Millisecond, func(say func(any)) {
			_, d := c.node.Ledger.Renew(c.clock(), rep)
			e := ident.Epoch(0)
			if c.held != nil {
				e = c.held.Epoch
			}
			say(acked{c.node.Disk, c.node.Votes(), len(c.node.Roster().Voters), e, c.node.Ledger.Live(), d})
		}, func(v any) {
			got, ok := v.(acked)
			if !ok {
				return
			}
			if got.defect != nil {
				s.entered = false
				return
			}
			s.heard = s.clock()
			s.portion.Members(s.slow(), got.live)
			s.path.Tree.Grant(s.portion.Use())
			s.held.Renewed(sent, got.disk, got.votes, got.voters)
			if at := s.held.Majority(); at != 0 {
				s.path.Tree.Renewed(at)
			}
			if got.epoch > s.path.Epoch() {
				// This core knows a newer manifest: follow it from now on.
				s.turn, s.mark, s.polling = i, 0, false
				s.poll()
			}
		})
	}
}

// shares sends a promise or a wish about the share.
func (s *Side) shares() {
	a, due := s.portion.Ask(s.slow(), s.Node, s.claim)
	if !due {
		return
	}
	c := s.w.Cores[s.w.Rng.IntN(len(s.w.Cores))]
	s.ask(&c.proc, 3500*time.Millisecond, func(say func(any)) {
		c.Deed(owner.Deed{Key: "share", Kind: "share/take", Args: book.JSON(a)}, 3*time.Second, func(e node.End) {
			var t share.Told
			if e.Defect == nil && json.Unmarshal(e.Body, &t) == nil {
				say(t)
			}
		})
	}, func(v any) {
		if t, ok := v.(share.Told); ok && a.Claim == s.claim {
			s.portion.Told(s.slow(), t)
			s.path.Tree.Grant(s.portion.Use())
		}
	})
}

type told struct {
	gen   int
	place uint64
	sets  []record.Set
	m     *manifest.Manifest
}

// poll follows the registry and the manifest at one core; the daemon's long poll is
// a poll each tick here.
func (s *Side) poll() {
	if s.polling || s.w.Break == "deaf" && s.w.Rng.IntN(100) > 0 {
		return
	}
	s.polling = true
	c := s.core()
	after := s.place
	if s.mark != c.gen*100+s.turn%len(s.w.Cores) {
		after = 0
	}
	s.ask(&c.proc, time.Second, func(say func(any)) {
		say(told{c.gen, c.node.Ledger.Change(), c.node.Ledger.Feed(after), c.held})
	}, func(v any) {
		s.polling = false
		got, ok := v.(told)
		if !ok {
			s.turn++
			s.mark = 0
			return
		}
		s.mark, s.place = got.gen*100+s.turn%len(s.w.Cores), got.place
		s.heard = s.clock()
		s.path.Index.Merge(got.sets)
		s.enforce(got.m)
		// A core that is behind the others is left for the next one.
		if s.w.Rng.IntN(50) == 0 {
			s.turn++
			s.mark = 0
		}
	})
}
