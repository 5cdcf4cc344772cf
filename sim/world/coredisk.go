package world

import (
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/broken"
	"cottonarch.example/cottonarch/storage/ring"
)

// disk is the folder of the next run. With the break it syncs only what that run itself
// wrote, as if opening synced nothing.
func (c *Core) disk() ring.Folder {
	switch c.w.Break {
	case "soft":
		return broken.Lazy{Folder: c.mem}
	case "folder":
		return nameless{c.mem}
	}
	return c.mem
}

// PowerOff loses power of a machine whose process may be down: what no sync covered is
// lost or torn.
func (c *Core) PowerOff() {
	c.Kill(true)
	c.mem.Crash(func(n int) int { return c.w.Rng.IntN(n + 1) })
}

// Empty takes the disk away; addr, when given, is where the machine comes back.
func (c *Core) Empty(addr ident.Addr) {
	c.mem = ring.NewMem()
	c.broken = false
	if addr != "" {
		c.Addr = addr
	}
}

// write is the disk's duty: one batch at a time.
func (c *Core) write(gen int) {
	if c.writing || len(c.jobs) == 0 || c.broken {
		return
	}
	c.writing = true
	batch := c.jobs
	c.jobs = nil
	wrote := false
	var err error
	for _, fx := range batch {
		if len(fx.Records) > 0 && err == nil {
			wrote = true
			err = c.ring.Append(fx.Records)
		}
	}
	took := time.Duration(0)
	if wrote {
		took = 500*time.Microsecond + time.Duration(c.w.Rng.Int64N(int64(1500*time.Microsecond))) + c.Slow
	}
	c.busy = c.clock()
	c.w.After(took, func() {
		c.run(gen, func() {
			if wrote && err == nil {
				err = c.ring.Sync()
			}
			c.writing, c.busy = false, 0
			if err != nil {
				c.broken = true
				return
			}
			for _, fx := range batch {
				c.letOut(fx)
			}
			c.write(gen)
		})
	})
}
