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
	// coreTickInterval is how often a core's node is told that time has passed.
	coreTickInterval = 20 * time.Millisecond
	// configCheckTicks is how many ticks lie between two checks for a newer configuration.
	configCheckTicks = 12
	// amnesiaTicks is how many ticks lie between two losses of memory, with that mutant.
	amnesiaTicks = 50
	// stalledWriteLimit is how long a write may take before the disk counts as failed.
	stalledWriteLimit = 1500 * time.Millisecond
	// resetLatency is how long after a process ended its clients see their connection reset.
	resetLatency = time.Millisecond
	// maxSeeds is how many addresses of others a core is given when it starts again.
	maxSeeds = 3
)

// Core is a simulated core machine.
type Core struct {
	process
	Zone      ident.Zone
	DiskDelay time.Duration // by which the disk is slower

	memDisk        *ring.MemoryFolder
	ring           *ring.Ring
	diskFailed     bool
	pendingWrites  []node.Effects
	writing        bool
	writeStartedAt monotime.Time

	node          *node.Node
	clockWatch    monotime.StepLimiter
	onEnd         map[uint64]func(node.Result) // by ticket
	lastTicket    uint64
	disconnects   []func() // of the clients that wait at this process
	config        *validation.Config
	readingConfig bool
}

// NewCore makes a core machine with an empty disk.
func (w *World) NewCore(addr ident.Addr, zone ident.Zone) *Core {
	c := &Core{process: process{world: w, Addr: addr, messageCost: w.CoreMessageCost}, Zone: zone, memDisk: ring.NewMemoryFolder()}
	w.Cores = append(w.Cores, c)
	return c
}

// watchedTime is the clock of the daemon, which counts only time that passed while it watched.
func (c *Core) watchedTime() monotime.Time {
	if c.world.Mutant == MutantUnlimitedClockSteps {
		return c.localTime()
	}
	return c.clockWatch.Observe(c.localTime())
}

// Healthy tells whether the core runs, its disk works, and it votes.
func (c *Core) Healthy() bool {
	return c.running && !c.frozen && !c.diskFailed && c.node != nil && c.node.IsVoter()
}

// Start starts the process from whatever its disk holds.
func (c *Core) Start() {
	c.beginGeneration()
	c.clockWatch = monotime.StepLimiter{}
	c.pendingWrites, c.writing, c.writeStartedAt = nil, false, 0
	c.onEnd = map[uint64]func(node.Result){}
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

// startNode makes the node of this generation; it tells whether the disk could be read.
func (c *Core) startNode() bool {
	w := c.world
	n, initial, err := node.New(c.watchedTime(), node.Config{
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

func (w *World) newDiskID() ident.Disk {
	w.diskCount++
	return ident.Disk(fmt.Sprintf("disk%d", w.diskCount))
}

// seedsFor lists the addresses that a starting core knows: the configured ones the first time,
// later some of the other cores as they are now.
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

func (c *Core) tick(generation, count int) {
	c.runInGeneration(generation, func() {
		now := c.watchedTime()
		stalled := c.writeStartedAt != 0 && now.Since(c.writeStartedAt) > stalledWriteLimit
		c.node.SetDiskFailed(c.diskFailed || stalled)
		c.applyEffects(c.node.Tick(now))
		if count%configCheckTicks == 0 && c.node.ConfigRevision > c.configRevision() {
			c.followConfig()
		}
		if c.world.Mutant == MutantForgetAccepted && count%amnesiaTicks == amnesiaTicks-1 {
			c.node.ForgetRecords()
		}
	})
	if c.running && c.generation == generation {
		c.world.After(coreTickInterval, func() { c.tick(generation, count+1) })
	}
}

// Kill ends the process at once; powerLost says whether unsynced writes may be lost too.
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
		c.memDisk.BeforeOperation = nil // what was not synced stays in the page cache
		return
	}
	c.memDisk.Crash(func(n int) int {
		if !powerLost {
			return n
		}
		return c.world.Rng.IntN(n + 1)
	})
}

// A planned stop checks at an interval whether all is handed over; the process ends all the
// same after a number of checks.
const (
	leavePollInterval = 30 * time.Millisecond
	leavePollLimit    = 200
)

// Stop stops the process as planned, and then calls then.
func (c *Core) Stop(then func()) {
	generation := c.generation
	c.runInGeneration(generation, func() { c.applyEffects(c.node.Leave(c.watchedTime(), leavePollLimit*leavePollInterval)) })
	c.awaitLeave(generation, leavePollLimit, then)
}

// awaitLeave ends the process once all is handed over and, as in the daemon, everybody who
// waits at it has a response.
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
	if (!done || len(c.onEnd) > 0) && remaining > 0 && c.world.Mutant != MutantAbruptStop {
		c.world.After(leavePollInterval, func() { c.awaitLeave(generation, remaining-1, then) })
		return
	}
	c.world.Checker.Observe(invariant.DroppedInStop)
	if n := len(c.onEnd); n > 0 {
		c.world.Violate(invariant.DroppedInStop, "core %s stopped with %d operations and watches in flight", c.Addr, n)
	}
	c.Kill(false)
	then()
}
