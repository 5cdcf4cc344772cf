package world

import (
	"encoding/json"
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/core/joinqueue"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/storage/ring"
)

const coreTickInterval = 20 * time.Millisecond

// handleMessage has the process take a message or a request: one after the other, each for its
// cost.
func (p *process) handleMessage(generation int, cost time.Duration, work func()) {
	if cost == 0 || !p.running || p.generation != generation {
		p.runInGeneration(generation, work)
		return
	}
	p.busyUntil = max(p.busyUntil, p.world.now).Add(cost)
	p.world.After(p.busyUntil.Since(p.world.now), func() { p.runInGeneration(generation, work) })
}

// Core is a simulated core machine.
type Core struct {
	process
	Zone           ident.Zone
	memDisk        *ring.MemoryFolder
	ring           *ring.Ring
	node           *node.Node
	pendingWrites  []node.Effects
	writing        bool
	DiskDelay      time.Duration
	diskFailed     bool
	onEnd          map[uint64]func(node.Result)
	lastTicket     uint64
	config         *validation.Config
	rawConfig      json.RawMessage
	readingConfig  bool
	writeStartedAt monotime.Time
	clockWatch     monotime.StepLimiter
	disconnects    []func() // of those who wait at this process
}

// watchedTime is the daemon's: it counts only time that was watched.
func (c *Core) watchedTime() monotime.Time {
	if c.world.Mutant == "clock" {
		return c.process.localTime()
	}
	return c.clockWatch.Observe(c.process.localTime())
}

// NewCore makes a core machine with an empty disk.
func (w *World) NewCore(addr ident.Addr, zone ident.Zone) *Core {
	c := &Core{process: process{world: w, Addr: addr, messageCost: w.CoreMessageCost}, Zone: zone, memDisk: ring.NewMemoryFolder()}
	w.Cores = append(w.Cores, c)
	return c
}

// Start starts the process from whatever its disk holds.
func (c *Core) Start() {
	w := c.world
	c.beginGeneration()
	c.clockWatch = monotime.StepLimiter{}
	c.pendingWrites, c.writing, c.onEnd, c.config, c.rawConfig, c.readingConfig, c.writeStartedAt = nil, false, map[uint64]func(node.Result){}, nil, nil, false, 0
	c.memDisk.BeforeWrite = nil
	var err error
	w.Checker.Observe("disk")
	if c.ring, err = ring.Open(c.diskFolder(), w.Ring); err != nil {
		// Nothing here damages a disk but its own process, so this is a breach. It is never
		// used: the machine comes back empty.
		w.Violate("disk", "core %s finds its own disk damaged: %v", c.Addr, err)
		c.memDisk = ring.NewMemoryFolder()
		c.ring, _ = ring.Open(c.memDisk, w.Ring)
	}
	instance := fmt.Sprintf("%s-%d", c.Addr, c.generation)
	var initial []ring.Record
	c.node, initial, err = node.New(c.watchedTime(), node.Config{Addr: c.Addr, Zone: c.Zone, Seeds: w.seedsFor(c), Founders: w.Founders, InstanceID: instance, StateMachine: w.stateMachine(), QuorumSize: w.quorumOverride(),
		NewDisk: func() ident.Disk { w.diskCount++; return ident.Disk(fmt.Sprintf("disk%d", w.diskCount)) }}, c.ring.Records())
	if err != nil {
		w.Violate("disk", "core %s can't read its own disk: %v", c.Addr, err)
		return
	}
	_ = c.ring.Append(initial)
	_ = c.ring.Sync()
	if c.diskFailed {
		c.memDisk.BeforeWrite = func(string) error { return fmt.Errorf("the disk failed") }
	}
	c.tick(c.generation, 0)
}

func (c *Core) tick(generation, count int) {
	c.runInGeneration(generation, func() {
		now := c.watchedTime()
		c.node.SetDiskFailed(c.diskFailed || c.writeStartedAt != 0 && now.Since(c.writeStartedAt) > 1500*time.Millisecond)
		c.applyEffects(c.node.Tick(now))
		if count%12 == 0 && c.node.ConfigRevision > c.configRevision() {
			c.followConfig()
		}
		if c.world.Mutant == "replica" && count%50 == 49 { // a replica that forgets, to see it caught
			c.node.ForgetRecords()
		}
	})
	if c.running && c.generation == generation {
		c.world.After(coreTickInterval, func() { c.tick(generation, count+1) })
	}
}

// seedsFor gives a starting core three addresses of others as they are now.
func (w *World) seedsFor(c *Core) []ident.Addr {
	if c.generation == 1 {
		return w.Seeds
	}
	var out []ident.Addr
	for _, other := range w.Cores {
		if other != c && len(out) < 3 {
			out = append(out, other.Addr)
		}
	}
	return out
}

// Kill ends the process at once; power says whether unsynced writes may be lost too.
func (c *Core) Kill(powerLost bool) {
	if !c.running {
		return
	}
	c.running = false
	for _, reset := range c.disconnects {
		c.world.After(time.Millisecond, reset)
	}
	c.disconnects = nil
	if c.world.Platform && !powerLost {
		c.memDisk.BeforeWrite = nil // what was not synced stays in the page cache
		return
	}
	c.memDisk.Crash(func(n int) int {
		if !powerLost {
			return n
		}
		return c.world.Rng.IntN(n + 1)
	})
}

// unsyncedFolder is a folder that is never synced.
type unsyncedFolder struct{ ring.Folder }

// Sync does nothing.
func (unsyncedFolder) Sync() error { return nil }

// stopLook is how often a planned stop looks whether all is handed over, and stopTries how
// many times it does before the process ends all the same.
const (
	leavePollInterval = 30 * time.Millisecond
	leavePollLimit    = 200
)

// Stop is a planned stop.
func (c *Core) Stop(then func()) {
	generation := c.generation
	c.runInGeneration(generation, func() { c.applyEffects(c.node.Leave(c.watchedTime(), leavePollLimit*leavePollInterval)) })
	c.awaitLeave(generation, leavePollLimit, then)
}

func (c *Core) awaitLeave(generation, remaining int, then func()) {
	if !c.running || c.generation != generation {
		return
	}
	done := false
	c.runInGeneration(generation, func() {
		var effects node.Effects
		done, effects = c.node.ContinueLeave(c.watchedTime())
		c.applyEffects(effects)
	})
	// As the daemon does, it goes on until whoever waits here has a return.
	if (!done || len(c.onEnd) > 0) && remaining > 0 && c.world.Mutant != "stop" {
		c.world.After(leavePollInterval, func() { c.awaitLeave(generation, remaining-1, then) })
		return
	}
	c.world.Checker.Observe("dropped-in-stop")
	if n := len(c.onEnd); n > 0 {
		c.world.Violate("dropped-in-stop", "core %s stopped with %d deeds and watches in hand", c.Addr, n)
	}
	c.Kill(false)
	then()
}

// applyEffects carries out effects as the daemon does.
func (c *Core) applyEffects(effects node.Effects) {
	afterSync := effects.SplitDurable()
	c.deliverEffects(effects)
	if len(afterSync.Records)+len(afterSync.Sends) > 0 {
		c.pendingWrites = append(c.pendingWrites, afterSync)
		c.writeBatch(c.generation)
	}
}

func (c *Core) deliverEffects(effects node.Effects) {
	for _, s := range effects.Sends {
		s.Msg.From = c.Addr
		c.send(s.To, s.Msg)
	}
	for _, e := range effects.Results {
		if end := c.onEnd[e.Ticket]; end != nil {
			delete(c.onEnd, e.Ticket)
			end(e)
		}
	}
	if effects.ConfirmedConfig != nil {
		c.installConfig(effects.ConfirmedConfig)
	}
	for _, learned := range effects.Learned {
		if learned.Key == proposal.Key {
			c.followConfig()
		}
	}
}

func (c *Core) send(to ident.Addr, msg message.Message) {
	if c.world.Mutant == "mend" && msg.Request != nil && msg.Request.Round == 0 {
		return // no mending
	}
	if to == c.Addr {
		generation := c.generation
		c.world.After(20*time.Microsecond, func() { c.runInGeneration(generation, func() { c.applyEffects(c.node.Step(c.watchedTime(), msg)) }) })
		return
	}
	generation := c.generation
	if c.world.Links.refusesAtOnce(c.Addr, to) {
		c.world.After(c.world.linkDelay(), func() {
			c.runInGeneration(generation, func() { c.applyEffects(c.node.MarkUnreachable(c.watchedTime(), to)) })
		})
		return
	}
	c.world.transmit(c.Addr, to, func() {
		for _, peer := range c.world.Cores {
			if peer.Addr == to && !peer.running {
				// Nobody takes the connection, and the sender hears so.
				c.world.transmit(to, c.Addr, func() {
					c.runInGeneration(generation, func() { c.applyEffects(c.node.MarkUnreachable(c.watchedTime(), to)) })
				})
			}
			if peer.Addr == to {
				peer.handleMessage(peer.generation, peer.messageCost, func() { peer.applyEffects(peer.node.Step(peer.watchedTime(), msg)) })
			}
		}
	})
}

// Submit runs an operation at this core.
func (c *Core) Submit(op proposer.Operation, budget time.Duration, end func(node.Result)) {
	c.lastTicket++
	c.onEnd[c.lastTicket] = end
	c.applyEffects(c.node.Submit(c.watchedTime(), c.lastTicket, op, budget))
}

// Join lets a sidecar join at this core.
func (c *Core) Join(request joinqueue.Request, end func(node.Result)) {
	c.lastTicket++
	c.onEnd[c.lastTicket] = end
	c.applyEffects(c.node.Join(c.watchedTime(), c.lastTicket, request, node.JoinBudget))
}
