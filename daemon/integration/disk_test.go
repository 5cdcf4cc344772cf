package integration

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A slow disk on one of three cores: every operation still succeeds.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	c.disks[1].configure(func(d *faultyDisk) { d.delay = 120 * time.Millisecond })
	last := uint64(0)
	for i := range 12 {
		c.takeNumber(&last, i%3)
	}
	c.awaitStatus(1, "votes", true)
	must.GreaterEq(t, 12, last)
}

// A disk that stalls in the middle of a batch takes its core's vote, not the core: operations
// succeed at all three, also at that one, and it votes again once the disk goes on.
func TestStalledDisk(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	last := uint64(0)
	c.takeNumber(&last, 0)
	stalled := make(chan struct{})
	c.disks[2].configure(func(d *faultyDisk) { d.stalled = stalled })
	for range 3 {
		c.takeNumber(&last, 0, 1)
	}
	c.awaitStatus(2, "votes", false)
	c.takeNumber(&last, 2)
	c.disks[2].configure(func(d *faultyDisk) { d.stalled = nil })
	close(stalled)
	c.awaitStatus(2, "votes", true)
	c.takeNumber(&last, 2)
}

// A core whose disk failed a sync does not vote as long as its process runs, but still forwards.
// Started anew with an empty disk it comes to vote again; then another disk may be lost.
func TestFailingDisk(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	last := uint64(0)
	c.takeNumber(&last, 0)
	c.disks[0].configure(func(d *faultyDisk) { d.failure = errors.New("no sector") })
	c.takeNumber(&last, 1, 2)
	c.awaitStatus(0, "votes", false)
	c.disks[0].configure(func(d *faultyDisk) { d.failure = nil })
	c.takeNumber(&last, 0)
	c.awaitStatus(0, "votes", false)
	c.powerOff(0)
	c.disks[0] = newFaultyDisk()
	c.start(0)
	c.awaitStatus(0, "votes", true)
	c.powerOff(1)
	for range 3 {
		c.takeNumber(&last, 0, 2)
	}
}
