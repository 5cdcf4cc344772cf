package proof

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
	c := upCores(t, 3)
	c.disks[1].set(func(d *disk) { d.slow = 120 * time.Millisecond })
	top := uint64(0)
	for i := range 12 {
		c.next(&top, i%3)
	}
	c.await(1, "votes", true)
	must.GreaterEq(t, 12, top)
}

// A disk that stalls in the middle of a batch loses its vote, not its core: operations get
// their yes at all three, also at the stalled one, and it votes again when it goes on.
func TestStalledDisk(t *testing.T) {
	t.Parallel()
	c := upCores(t, 3)
	top := uint64(0)
	c.next(&top, 0)
	hold := make(chan struct{})
	c.disks[2].set(func(d *disk) { d.hold = hold })
	for range 3 {
		c.next(&top, 0, 1)
	}
	c.await(2, "votes", false)
	c.next(&top, 2)
	c.disks[2].set(func(d *disk) { d.hold = nil })
	close(hold)
	c.await(2, "votes", true)
	c.next(&top, 2)
}

// A disk that fails a sync votes no more for as long as that process runs, while its core
// still forwards. Emptied and started anew it is a new disk that comes to vote; then
// another disk may be lost.
func TestFailingDisk(t *testing.T) {
	t.Parallel()
	c := upCores(t, 3)
	top := uint64(0)
	c.next(&top, 0)
	c.disks[0].set(func(d *disk) { d.fail = errors.New("no sector") })
	c.next(&top, 1, 2)
	c.await(0, "votes", false)
	c.disks[0].set(func(d *disk) { d.fail = nil })
	c.next(&top, 0)
	c.await(0, "votes", false)
	c.lose(0)
	c.disks[0] = newDisk()
	c.start(0)
	c.await(0, "votes", true)
	c.lose(1)
	for range 3 {
		c.next(&top, 0, 2)
	}
}

// Every core loses power in the middle of operations, again and again: no number comes twice,
// and none below one that was told.
func TestPowerLossOfAll(t *testing.T) {
	t.Parallel()
	c := upCores(t, 3)
	var mu sync.Mutex
	seen, top, bad := map[uint64]bool{}, uint64(0), []string{}
	for range 4 {
		var out sync.WaitGroup
		stop := make(chan struct{})
		for i := range 3 {
			out.Add(1)
			go func() {
				defer out.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					mu.Lock()
					low := top
					mu.Unlock()
					var got struct {
						N uint64 `json:"number"`
					}
					if code, _ := ask("POST", c.addrs[i], "", "/numbers/n/next", nil, &got); code != 200 {
						continue
					}
					mu.Lock()
					if seen[got.N] || got.N <= low {
						bad = append(bad, fmt.Sprintf("%d came after %d was told, twice %v", got.N, low, seen[got.N]))
					}
					seen[got.N], top = true, max(top, got.N)
					mu.Unlock()
				}
			}()
		}
		from := 0
		eventually(t, "forty numbers", func() bool {
			mu.Lock()
			defer mu.Unlock()
			if from == 0 {
				from = len(seen) + 1
			}
			return len(seen) > from+40
		})
		for i := range 3 {
			c.lose(i)
		}
		close(stop)
		out.Wait()
		must.SliceEmpty(t, bad)
		for i := range 3 {
			c.start(i)
		}
	}
	c.next(&top, 0, 1, 2)
	must.Greater(t, 160, len(seen))
}
