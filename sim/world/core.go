package world

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/control/core/admission"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

const coreTick = 20 * time.Millisecond

// handle has the process take a message or a request: one after the other, each for its
// cost.
func (p *proc) handle(gen int, cost time.Duration, do func()) {
	if cost == 0 || !p.up || p.gen != gen {
		p.run(gen, do)
		return
	}
	p.free = max(p.free, p.w.now).Add(cost)
	p.w.After(p.free.Since(p.w.now), func() { p.run(gen, do) })
}

// Core is a simulated core machine.
type Core struct {
	proc
	District ident.District
	mem      *ring.Mem
	ring     *ring.Ring
	node     *node.Node
	jobs     []node.Effects
	writing  bool
	Slow     time.Duration
	broken   bool
	ends     map[uint64]func(node.End)
	ticket   uint64
	held     *check.Manifest
	raw      json.RawMessage
	reading  bool
	busy     monotime.Time
	watch    monotime.Watch
	resets   []func() // of those who wait at this process
}

// clock is the daemon's: it counts only time that was watched.
func (c *Core) clock() monotime.Time {
	if c.w.Break == "clock" {
		return c.proc.clock()
	}
	return c.watch.Look(c.proc.clock())
}

// NewCore makes a core machine with an empty disk.
func (w *World) NewCore(addr ident.Addr, d ident.District) *Core {
	c := &Core{proc: proc{w: w, Addr: addr, cost: w.Cost}, District: d, mem: ring.NewMem()}
	w.Cores = append(w.Cores, c)
	return c
}

// Start starts the process from whatever its disk holds.
func (c *Core) Start() {
	w := c.w
	c.start()
	c.watch = monotime.Watch{}
	c.jobs, c.writing, c.ends, c.held, c.raw, c.reading, c.busy = nil, false, map[uint64]func(node.End){}, nil, nil, false, 0
	c.mem.Fail = nil
	var err error
	w.Check.Look("disk")
	if c.ring, err = ring.Open(c.disk(), w.Ring); err != nil {
		// Nothing here damages a disk but its own process, so this is a breach. It is never
		// used: the machine comes back empty.
		w.Breach("disk", "core %s finds its own disk damaged: %v", c.Addr, err)
		c.mem = ring.NewMem()
		c.ring, _ = ring.Open(c.mem, w.Ring)
	}
	mark := fmt.Sprintf("%s-%d", c.Addr, c.gen)
	var first []ring.Record
	c.node, first, err = node.New(c.clock(), node.Boot{Addr: c.Addr, District: c.District, Seeds: w.seeds(c), Founders: w.Founders, Mark: mark, Machine: w.machine(), Need: w.need(),
		NewDisk: func() ident.Disk { w.disks++; return ident.Disk(fmt.Sprintf("disk%d", w.disks)) }}, c.ring.Records())
	if err != nil {
		w.Breach("disk", "core %s can't read its own disk: %v", c.Addr, err)
		return
	}
	_ = c.ring.Append(first)
	_ = c.ring.Sync()
	if c.broken {
		c.mem.Fail = func(string) error { return fmt.Errorf("the disk failed") }
	}
	c.ticker(c.gen, 0)
}

func (c *Core) ticker(gen, n int) {
	c.run(gen, func() {
		now := c.clock()
		c.node.Break(c.broken || c.busy != 0 && now.Since(c.busy) > 1500*time.Millisecond)
		c.out(c.node.Tick(now))
		if n%12 == 0 && c.node.Epoch > c.epoch() {
			c.follow()
		}
		if c.w.Break == "replica" && n%50 == 49 { // a replica that forgets, to see it caught
			c.node.Amnesia()
		}
	})
	if c.up && c.gen == gen {
		c.w.After(coreTick, func() { c.ticker(gen, n+1) })
	}
}

// seeds gives a starting core three addresses of others as they are now.
func (w *World) seeds(c *Core) []ident.Addr {
	if c.gen == 1 {
		return w.Seeds
	}
	var out []ident.Addr
	for _, o := range w.Cores {
		if o != c && len(out) < 3 {
			out = append(out, o.Addr)
		}
	}
	return out
}

// Kill ends the process at once; power says whether unsynced writes may be lost too.
func (c *Core) Kill(power bool) {
	if !c.up {
		return
	}
	c.up = false
	for _, reset := range c.resets {
		c.w.After(time.Millisecond, reset)
	}
	c.resets = nil
	if c.w.Platform && !power {
		c.mem.Fail = nil // what was not synced stays in the page cache
		return
	}
	c.mem.Crash(func(n int) int {
		if !power {
			return n
		}
		return c.w.Rng.IntN(n + 1)
	})
}

// nameless is a folder that is never synced.
type nameless struct{ ring.Folder }

// Sync does nothing.
func (nameless) Sync() error { return nil }

// stopLook is how often a planned stop looks whether all is handed over, and stopTries how
// many times it does before the process ends all the same.
const (
	stopLook  = 30 * time.Millisecond
	stopTries = 200
)

// Stop is a planned stop.
func (c *Core) Stop(after func()) {
	gen := c.gen
	c.run(gen, func() { c.out(c.node.Leave(c.clock(), stopTries*stopLook)) })
	c.left(gen, stopTries, after)
}

func (c *Core) left(gen, tries int, after func()) {
	if !c.up || c.gen != gen {
		return
	}
	done := false
	c.run(gen, func() {
		var fx node.Effects
		done, fx = c.node.Left(c.clock())
		c.out(fx)
	})
	// As the daemon does, it goes on until whoever waits here has a return.
	if (!done || len(c.ends) > 0) && tries > 0 && c.w.Break != "stop" {
		c.w.After(stopLook, func() { c.left(gen, tries-1, after) })
		return
	}
	c.w.Check.Look("dropped-in-stop")
	if n := len(c.ends); n > 0 {
		c.w.Breach("dropped-in-stop", "core %s stopped with %d deeds and watches in hand", c.Addr, n)
	}
	c.Kill(false)
	after()
}

// out carries out effects as the daemon does.
func (c *Core) out(fx node.Effects) {
	gated := fx.Gate()
	c.letOut(fx)
	if len(gated.Records)+len(gated.Sends) > 0 {
		c.jobs = append(c.jobs, gated)
		c.write(c.gen)
	}
}

func (c *Core) letOut(fx node.Effects) {
	for _, s := range fx.Sends {
		s.Msg.From = c.Addr
		c.post(s.To, s.Msg)
	}
	for _, e := range fx.Ends {
		if end := c.ends[e.Ticket]; end != nil {
			delete(c.ends, e.Ticket)
			end(e)
		}
	}
	if fx.Confirmed != nil {
		c.install(fx.Confirmed)
	}
	for _, l := range fx.Learned {
		if l.Key == offer.Key {
			c.follow()
		}
	}
}

func (c *Core) post(to ident.Addr, m message.Message) {
	if c.w.Break == "mend" && m.Request != nil && m.Request.Round == 0 {
		return // no mending
	}
	if to == c.Addr {
		gen := c.gen
		c.w.After(20*time.Microsecond, func() { c.run(gen, func() { c.out(c.node.Step(c.clock(), m)) }) })
		return
	}
	gen := c.gen
	if c.w.Links.refuses(c.Addr, to) {
		c.w.After(c.w.delay(), func() { c.run(gen, func() { c.out(c.node.Down(c.clock(), to)) }) })
		return
	}
	c.w.carry(c.Addr, to, func() {
		for _, d := range c.w.Cores {
			if d.Addr == to && !d.up {
				// Nobody takes the connection, and the sender hears so.
				c.w.carry(to, c.Addr, func() { c.run(gen, func() { c.out(c.node.Down(c.clock(), to)) }) })
			}
			if d.Addr == to {
				d.handle(d.gen, d.cost, func() { d.out(d.node.Step(d.clock(), m)) })
			}
		}
	})
}

// Deed runs an operation at this core.
func (c *Core) Deed(d proposer.Operation, budget time.Duration, end func(node.End)) {
	c.ticket++
	c.ends[c.ticket] = end
	c.out(c.node.Submit(c.clock(), c.ticket, d, budget))
}

// Join lets a sidecar join at this core.
func (c *Core) Join(r admission.Request, end func(node.End)) {
	c.ticket++
	c.ends[c.ticket] = end
	c.out(c.node.Join(c.clock(), c.ticket, r, node.JoinBudget))
}
