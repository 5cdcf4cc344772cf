package integration

import (
	"encoding/json"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/daemon/api/mesh"
)

// sendCounts counts how operations ended that were sent to one core until it was gone.
type sendCounts struct {
	highest                         atomic.Uint64 // number that was given
	succeeded, failed, disconnected atomic.Int64
}

func (s *sendCounts) succeed(number uint64) {
	s.succeeded.Add(1)
	for old := s.highest.Load(); number > old; old = s.highest.Load() {
		if s.highest.CompareAndSwap(old, number) {
			return
		}
	}
}

// sendOperations sends operations to a core, one after the other, until it is told to stop or the
// core gives no whole response.
func (c *coreCluster) sendOperations(i int, counts *sendCounts, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		status, got := c.nextNumber(i)
		switch {
		case status == http.StatusOK:
			counts.succeed(got.Number)
		case status > 0 && got.Outcome != "":
			counts.failed.Add(1)
		case status == 0: // nobody took it, or it was dropped
			counts.disconnected.Add(1)
			return
		}
	}
}

// watchEnd is how a watch ended.
type watchEnd struct {
	status int
	kind   failure.Kind
}

// openWatches opens watches at a core that nothing ends but their time or the core's stop.
func (c *coreCluster) openWatches(i, n int) <-chan watchEnd {
	var first struct {
		Position string `json:"place"`
	}
	eventually(c.t, "a position to watch from", func() bool {
		status, _ := request(http.MethodGet, c.addrs[i], "", "/watch?prefix=&waitMs=2000", nil, &first)
		return status == http.StatusOK && first.Position != ""
	})
	ends := make(chan watchEnd, n)
	var started sync.WaitGroup
	for range n {
		started.Add(1)
		go func() {
			started.Done()
			var got struct {
				Kind failure.Kind `json:"defect"`
			}
			status, _ := request(http.MethodGet, c.addrs[i], "", "/watch?prefix=&waitMs=15000&place="+first.Position, nil, &got)
			ends <- watchEnd{status, got.Kind}
		}()
	}
	started.Wait()
	return ends
}

// openPoll polls a core as a sidecar does that has everything.
func (c *coreCluster) openPoll(i int) <-chan int {
	statuses := make(chan int, 1)
	go func() {
		var got json.RawMessage
		status, _ := request(http.MethodGet, c.addrs[i], "", mesh.WatchPath+"?manifest=99999", nil, &got)
		statuses <- status
	}()
	return statuses
}

// A core's planned stop: watches, a sidecar's long poll and operations in flight all get a whole
// response, and what was acknowledged holds at the other cores.
func TestCoreStopWithWatchesAndOperationsInFlight(t *testing.T) {
	t.Parallel()
	const watchCount, senderCount = 4, 8
	c := startCores(t, 3)
	last := uint64(0)
	c.takeNumber(&last, 0)
	eventually(t, "a key", func() bool {
		status, _ := request(http.MethodPut, c.addrs[0], "", "/keys/k", []byte(`1`), nil)
		return status == http.StatusOK
	})
	watches, poll := c.openWatches(0, watchCount), c.openPoll(0)
	var counts sendCounts
	var senders sync.WaitGroup
	stopSending := make(chan struct{})
	for range senderCount {
		senders.Go(func() { c.sendOperations(0, &counts, stopSending) })
	}
	eventually(t, "operations", func() bool { return counts.succeeded.Load() > 20 })
	c.processes[0].stop()
	c.processes[0] = nil
	close(stopSending)
	senders.Wait()
	for range watchCount {
		end := <-watches
		stopped := end.status == http.StatusServiceUnavailable && end.kind == failure.Stopping
		must.True(t, stopped || end.status == http.StatusOK, must.Sprint(end))
	}
	must.Eq(t, http.StatusOK, <-poll)
	must.LessEq(t, senderCount, counts.disconnected.Load()) // each sender finds only once that nobody listens
	last = counts.highest.Load()
	c.takeNumber(&last, 1, 2)
}
