package integration

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A slow disk on one of three cores: every operation still gets its yes.
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

// A disk that stalls in the middle of a batch loses its vote, not its core: operations get
// their yes at all three, also at the stalled one, and it votes again when it goes on.
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

// A disk that fails a sync votes no more for as long as that process runs, while its core
// still forwards. Emptied and started anew it is a new disk that comes to vote; then
// another disk may be lost.
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

// Every core loses power in the middle of operations, again and again: no number comes twice,
// and none below one that was told.
func TestPowerLossOfAll(t *testing.T) {
	t.Parallel()
	c := startCores(t, 3)
	var mu sync.Mutex
	seen, highest, violations := map[uint64]bool{}, uint64(0), []string{}
	for range 4 {
		var senders sync.WaitGroup
		stop := make(chan struct{})
		for i := range 3 {
			senders.Add(1)
			go func() {
				defer senders.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					mu.Lock()
					highestBefore := highest
					mu.Unlock()
					var got struct {
						N uint64 `json:"number"`
					}
					if code, _ := request("POST", c.addrs[i], "", "/numbers/n/next", nil, &got); code != 200 {
						continue
					}
					mu.Lock()
					if seen[got.N] || got.N <= highestBefore {
						violations = append(violations, fmt.Sprintf("%d came after %d was told, twice %v", got.N, highestBefore, seen[got.N]))
					}
					seen[got.N], highest = true, max(highest, got.N)
					mu.Unlock()
				}
			}()
		}
		startCount := 0
		eventually(t, "forty numbers", func() bool {
			mu.Lock()
			defer mu.Unlock()
			if startCount == 0 {
				startCount = len(seen) + 1
			}
			return len(seen) > startCount+40
		})
		for i := range 3 {
			c.powerOff(i)
		}
		close(stop)
		senders.Wait()
		must.SliceEmpty(t, violations)
		for i := range 3 {
			c.start(i)
		}
	}
	c.takeNumber(&highest, 0, 1, 2)
	must.Greater(t, 160, len(seen))
}
