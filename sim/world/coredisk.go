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

// A write with its sync takes minWriteTime, a random part of writeTimeSpread, and the
// Core.DiskDelay.
const (
	minWriteTime    = 500 * time.Microsecond
	writeTimeSpread = 1500 * time.Microsecond
)

// errDiskFailed is the error of every write and sync on a failed disk.
var errDiskFailed = failure.New(failure.DiskFailed, "the disk failed")

// unsyncedFolder is a folder whose Sync has no effect.
type unsyncedFolder struct{ ring.Folder }

// Sync implements ring.Folder without syncing anything.
func (unsyncedFolder) Sync() error { return nil }

// openRing opens the ring on the disk. Only the process itself can damage its disk in the
// simulation, so a damaged disk is a violation; the core then continues with an empty disk.
func (c *Core) openRing() {
	w := c.world
	c.memDisk.BeforeOperation = nil
	w.Checker.Observe(invariant.DiskDamaged)
	var err error
	if c.ring, err = ring.Open(c.diskFolder(), w.Ring); err != nil {
		w.Violate(invariant.DiskDamaged, "core %s found its own disk damaged: %v", c.Addr, err)
		c.memDisk = ring.NewMemoryFolder()
		c.ring, _ = ring.Open(c.memDisk, w.Ring)
	}
}

// diskFolder returns the folder for the next generation, with the fault of the mutant.
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

// PowerOff cuts the power of the machine, whose process may already be down: unsynced writes are
// lost or torn.
func (c *Core) PowerOff() {
	c.Kill(true)
	c.memDisk.Crash(func(n int) int { return c.world.Rng.IntN(n + 1) })
}

// ReplaceDisk gives the machine an empty disk and, if addr is not empty, a new address.
func (c *Core) ReplaceDisk(addr ident.Addr) {
	c.memDisk = ring.NewMemoryFolder()
	c.diskFailed = false
	if addr != "" {
		c.Addr = addr
	}
}

// writeBatch writes the pending writes to the disk, one batch at a time.
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
		duration = minWriteTime + c.world.randomUpTo(writeTimeSpread) + c.DiskDelay
	}
	c.writeStartedAt = c.limitedTime()
	c.world.After(duration, func() {
		c.runInGeneration(generation, func() {
			if wrote && err == nil {
				err = c.ring.Sync()
			}
			c.finishBatch(generation, batch, err)
		})
	})
}

// appendBatch appends the records of a batch up to the first error. wrote reports whether the
// batch had records.
func (c *Core) appendBatch(batch []node.Effects) (wrote bool, err error) {
	for _, effects := range batch {
		if len(effects.Records) > 0 && err == nil {
			wrote = true
			err = c.ring.Append(effects.Records)
		}
	}
	return wrote, err
}

// finishBatch delivers the effects that waited for a written batch and begins the next batch.
// After an error the disk counts as failed.
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
