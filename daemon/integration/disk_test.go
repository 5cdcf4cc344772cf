package integration

import (
	"errors"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Every operation must succeed while the disk of one of three cores is slow.
func TestSlowDisk(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	c.disks[1].configure(func(d *faultyDisk) { d.delay = 120 * time.Millisecond })
	last := uint64(0)
	for i := range 12 {
		c.awaitNumber(&last, i%3)
	}
	c.awaitStatus(1, "votes", true)
	must.GreaterEq(t, 12, last)
}

// A core whose disk stalls during a batch must stop voting but continue to serve: operations must
// succeed at all three cores. The core must vote again after the stall.
func TestStalledDisk(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	last := uint64(0)
	c.awaitNumber(&last, 0)
	stalled := make(chan struct{})
	c.disks[2].configure(func(d *faultyDisk) { d.stalled = stalled })
	for range 3 {
		c.awaitNumber(&last, 0, 1)
	}
	c.awaitStatus(2, "votes", false)
	c.awaitNumber(&last, 2)
	c.disks[2].configure(func(d *faultyDisk) { d.stalled = nil })
	close(stalled)
	c.awaitStatus(2, "votes", true)
	c.awaitNumber(&last, 2)
}

// A core whose disk failed a sync must not vote while its process runs, even after the fault is gone,
// but must still forward operations. After a restart with an empty disk the core must become a voter
// again, and the cluster must then tolerate the loss of another disk.
func TestFailingDisk(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	last := uint64(0)
	c.awaitNumber(&last, 0)
	c.disks[0].configure(func(d *faultyDisk) { d.failure = errors.New("no sector") })
	c.awaitNumber(&last, 1, 2)
	c.awaitStatus(0, "votes", false)
	c.disks[0].configure(func(d *faultyDisk) { d.failure = nil })
	c.awaitNumber(&last, 0)
	c.awaitStatus(0, "votes", false)
	c.powerOff(0)
	c.disks[0] = newFaultyDisk()
	c.start(0)
	c.awaitStatus(0, "votes", true)
	c.powerOff(1)
	for range 3 {
		c.awaitNumber(&last, 0, 2)
	}
}
