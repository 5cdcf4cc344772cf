package world

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/mutant"
	"cottonarch.example/cottonarch/storage/ring"
)

// A write with its sync takes a time between these, and as much longer as the disk is slower.
const (
	shortestWrite = 500 * time.Microsecond
	writeSpread   = 1500 * time.Microsecond
)

// errDiskFailed is the error of every write to a failed disk.
var errDiskFailed = failure.New(failure.DiskFailed, "the disk failed")

// unsyncedFolder is a folder that is never synced.
type unsyncedFolder struct{ ring.Folder }

// Sync does nothing.
func (unsyncedFolder) Sync() error { return nil }

// openRing opens the ring on the disk. Nothing here damages a disk but its own process, so a
// damaged one is a violation; the machine then comes back empty.
func (c *Core) openRing() {
	w := c.world
	c.memDisk.BeforeOperation = nil
	w.Checker.Observe(invariant.DiskDamaged)
	var err error
	if c.ring, err = ring.Open(c.diskFolder(), w.Ring); err != nil {
		w.Violate(invariant.DiskDamaged, "core %s finds its own disk damaged: %v", c.Addr, err)
		c.memDisk = ring.NewMemoryFolder()
		c.ring, _ = ring.Open(c.memDisk, w.Ring)
	}
}

// diskFolder is the folder of the next generation, as the mutant has it.
func (c *Core) diskFolder() ring.Folder {
	switch c.world.Mutant {
	case MutantLazySync:
		return mutant.LazySyncFolder{Folder: c.memDisk}
	case MutantUnsyncedFolder:
		return unsyncedFolder{c.memDisk}
	}
	return c.memDisk
}

// FailDisk makes the disk fail every write and sync from now on.
func (c *Core) FailDisk() {
	c.memDisk.BeforeOperation = func(string) error { return errDiskFailed }
}

// PowerOff takes the power of a machine, whose process may be down: what no sync covered is
// lost or torn.
func (c *Core) PowerOff() {
	c.Kill(true)
	c.memDisk.Crash(func(n int) int { return c.world.Rng.IntN(n + 1) })
}

// ReplaceDisk gives the machine an empty disk; addr, if given, is where it comes back.
func (c *Core) ReplaceDisk(addr ident.Addr) {
	c.memDisk = ring.NewMemoryFolder()
	c.diskFailed = false
	if addr != "" {
		c.Addr = addr
	}
}

// writeBatch writes what waits for the disk, one batch at a time.
func (c *Core) writeBatch(generation int) {
	if c.writing || len(c.pendingWrites) == 0 || c.diskFailed {
		return
	}
	c.writing = true
	batch := c.pendingWrites
	c.pendingWrites = nil
	wrote, err := c.appendBatch(batch)
	duration := time.Duration(0)
	if wrote {
		duration = shortestWrite + c.world.randomUpTo(writeSpread) + c.DiskDelay
	}
	c.writeStartedAt = c.watchedTime()
	c.world.After(duration, func() {
		c.runInGeneration(generation, func() {
			if wrote && err == nil {
				err = c.ring.Sync()
			}
			c.finishBatch(generation, batch, err)
		})
	})
}

// appendBatch writes the records of a batch, up to the first error; wrote tells whether there
// were any.
func (c *Core) appendBatch(batch []node.Effects) (wrote bool, err error) {
	for _, effects := range batch {
		if len(effects.Records) > 0 && err == nil {
			wrote = true
			err = c.ring.Append(effects.Records)
		}
	}
	return wrote, err
}

// finishBatch delivers what a written batch allows and begins the next one. After an error the
// disk counts as failed.
func (c *Core) finishBatch(generation int, batch []node.Effects, err error) {
	c.writing, c.writeStartedAt = false, 0
	if err != nil {
		c.diskFailed = true
		return
	}
	for _, effects := range batch {
		c.deliverEffects(effects)
	}
	c.writeBatch(generation)
}
