package world

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	// coreTickInterval is the interval between two ticks of a core's node.
	coreTickInterval = 20 * time.Millisecond
	// configCheckTicks is the number of ticks between two checks for a newer configuration.
	configCheckTicks = 12
	// forgetTicks is the number of ticks between two losses of all records under
	// MutantForgetAccepted.
	forgetTicks = 50
	// stalledWriteLimit is the duration of a write after which the disk counts as failed.
	stalledWriteLimit = 1500 * time.Millisecond
	// resetLatency is the time after the end of a process at which its clients see a connection
	// reset.
	resetLatency = time.Millisecond
	// maxSeeds bounds the number of addresses of other cores that a restarting core is given.
	maxSeeds = 3
)

// Core is a simulated core machine.
type Core struct {
	process
	Zone      ident.Zone
	DiskDelay time.Duration // added to the duration of each write

	memDisk        *ring.MemoryFolder
	ring           *ring.Ring
	diskFailed     bool
	pendingWrites  []node.Effects
	writing        bool
	writeStartedAt monotime.Time

	node          *node.Node
	stepLimiter   monotime.StepLimiter
	callbacks     map[uint64]func(node.Result) // by ticket
	lastTicket    uint64
	disconnects   []func() // callbacks of the clients that wait for this process
	config        *validation.Config
	readingConfig bool
}

// NewCore adds a core machine with an empty disk to the world. The core is not started.
func (w *World) NewCore(addr ident.Addr, zone ident.Zone) *Core {
	c := &Core{process: process{world: w, Addr: addr, messageCost: w.CoreMessageCost}, Zone: zone, memDisk: ring.NewMemoryFolder()}
	w.Cores = append(w.Cores, c)
	return c
}

// limitedTime returns the time that the daemon uses: the core's local clock, followed in bounded
// steps.
func (c *Core) limitedTime() monotime.Time {
	if c.world.Mutant == MutantUnlimitedClockSteps {
		return c.localTime()
	}
	return c.stepLimiter.Observe(c.localTime())
}

// Healthy reports whether the core runs, is not frozen, has a working disk and is a voter.
func (c *Core) Healthy() bool {
	return c.running && !c.frozen && !c.diskFailed && c.node != nil && c.node.IsVoter()
}

// Start starts the process with the state that its disk holds.
func (c *Core) Start() {
	c.beginGeneration()
	c.stepLimiter = monotime.StepLimiter{}
	c.pendingWrites, c.writing, c.writeStartedAt = nil, false, 0
	c.callbacks = map[uint64]func(node.Result){}
	c.config, c.readingConfig = nil, false
	c.openRing()
	if !c.startNode() {
		return
	}
	if c.diskFailed {
		c.FailDisk()
	}
	c.tick(c.generation, 0)
}

// startNode creates the node of this generation and reports whether the disk could be read.
func (c *Core) startNode() bool {
	w := c.world
	n, initial, err := node.New(c.limitedTime(), node.Config{
		Addr: c.Addr, Zone: c.Zone, Seeds: w.seedsFor(c), Founders: w.Founders,
		InstanceID:   fmt.Sprintf("%s-%d", c.Addr, c.generation),
		StateMachine: w.stateMachine(), QuorumSize: w.quorumOverride(), NewDiskID: w.newDiskID,
	}, c.ring.Records())
	c.node = n
	if err != nil {
		w.Violate(invariant.DiskDamaged, "core %s can't read its own disk: %v", c.Addr, err)
		return false
	}
	_ = c.ring.Append(initial)
	_ = c.ring.Sync()
	return true
}

// newDiskID returns an identifier that no other disk of the world has.
func (w *World) newDiskID() ident.Disk {
	w.diskCount++
	return ident.Disk(fmt.Sprintf("disk%d", w.diskCount))
}

// seedsFor returns the addresses that a starting core is given: the configured seeds at its first
// start, and the current addresses of some other cores at later starts.
func (w *World) seedsFor(c *Core) []ident.Addr {
	if c.generation == 1 {
		return w.Seeds
	}
	var seeds []ident.Addr
	for _, other := range w.Cores {
		if other != c && len(seeds) < maxSeeds {
			seeds = append(seeds, other.Addr)
		}
	}
	return seeds
}

// tick advances the node to the current time and schedules the next tick.
func (c *Core) tick(generation, count int) {
	c.runInGeneration(generation, func() {
		now := c.limitedTime()
		stalled := c.writeStartedAt != 0 && now.Since(c.writeStartedAt) > stalledWriteLimit
		c.node.SetDiskFailed(c.diskFailed || stalled)
		c.applyEffects(c.node.Tick(now))
		if count%configCheckTicks == 0 && c.node.ConfigRevision > c.configRevision() {
			c.followConfig()
		}
		if c.world.Mutant == MutantForgetAccepted && count%forgetTicks == forgetTicks-1 {
			c.node.ForgetRecords()
		}
	})
	if c.running && c.generation == generation {
		c.world.After(coreTickInterval, func() { c.tick(generation, count+1) })
	}
}

// Kill ends the process immediately. With powerLost, unsynced writes may be lost too.
func (c *Core) Kill(powerLost bool) {
	if !c.running {
		return
	}
	c.running = false
	for _, disconnect := range c.disconnects {
		c.world.After(resetLatency, disconnect)
	}
	c.disconnects = nil
	if c.world.Platform && !powerLost {
		c.memDisk.BeforeOperation = nil // unsynced writes stay in the page cache
		return
	}
	c.memDisk.Crash(func(n int) int {
		if !powerLost {
			return n
		}
		return c.world.Rng.IntN(n + 1)
	})
}

// A planned stop polls whether the node has handed over its duties. The process ends after
// leavePollLimit polls in any case.
const (
	leavePollInterval = 30 * time.Millisecond
	leavePollLimit    = 200
)

// Stop performs a planned stop of the process and then calls then.
func (c *Core) Stop(then func()) {
	generation := c.generation
	c.runInGeneration(generation, func() { c.applyEffects(c.node.Leave(c.limitedTime(), leavePollLimit*leavePollInterval)) })
	c.awaitLeave(generation, leavePollLimit, then)
}

// awaitLeave ends the process once the node has handed over its duties and, as in the daemon,
// every waiting client has a response.
func (c *Core) awaitLeave(generation, remaining int, then func()) {
	if !c.running || c.generation != generation {
		return
	}
	done := false
	c.runInGeneration(generation, func() {
		var effects node.Effects
		done, effects = c.node.ContinueLeave(c.limitedTime())
		c.applyEffects(effects)
	})
	if (!done || len(c.callbacks) > 0) && remaining > 0 && c.world.Mutant != MutantAbruptStop {
		c.world.After(leavePollInterval, func() { c.awaitLeave(generation, remaining-1, then) })
		return
	}
	c.world.Checker.Observe(invariant.DroppedInStop)
	if n := len(c.callbacks); n > 0 {
		c.world.Violate(invariant.DroppedInStop, "core %s stopped with %d operations and watches in flight", c.Addr, n)
	}
	c.Kill(false)
	then()
}
