package world

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/mutant"
	"cottonarch.example/cottonarch/storage/ring"
)

// diskFolder is the folder of the next run. With the break it syncs only what that run itself
// wrote, as if opening synced nothing.
func (c *Core) diskFolder() ring.Folder {
	switch c.world.Mutant {
	case "soft":
		return mutant.LazySyncFolder{Folder: c.memDisk}
	case "folder":
		return unsyncedFolder{c.memDisk}
	}
	return c.memDisk
}

// PowerOff loses power of a machine whose process may be down: what no sync covered is
// lost or torn.
func (c *Core) PowerOff() {
	c.Kill(true)
	c.memDisk.Crash(func(n int) int { return c.world.Rng.IntN(n + 1) })
}

// ReplaceDisk takes the disk away; addr, when given, is where the machine comes back.
func (c *Core) ReplaceDisk(addr ident.Addr) {
	c.memDisk = ring.NewMemoryFolder()
	c.diskFailed = false
	if addr != "" {
		c.Addr = addr
	}
}

// writeBatch is the disk's duty: one batch at a time.
func (c *Core) writeBatch(generation int) {
	if c.writing || len(c.pendingWrites) == 0 || c.diskFailed {
		return
	}
	c.writing = true
	batch := c.pendingWrites
	c.pendingWrites = nil
	wrote := false
	var err error
	for _, effects := range batch {
		if len(effects.Records) > 0 && err == nil {
			wrote = true
			err = c.ring.Append(effects.Records)
		}
	}
	duration := time.Duration(0)
	if wrote {
		duration = 500*time.Microsecond + time.Duration(c.world.Rng.Int64N(int64(1500*time.Microsecond))) + c.DiskDelay
	}
	c.writeStartedAt = c.watchedTime()
	c.world.After(duration, func() {
		c.runInGeneration(generation, func() {
			if wrote && err == nil {
				err = c.ring.Sync()
			}
			c.writing, c.writeStartedAt = false, 0
			if err != nil {
				c.diskFailed = true
				return
			}
			for _, effects := range batch {
				c.deliverEffects(effects)
			}
			c.writeBatch(generation)
		})
	})
}
