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

// operationCounts counts the operations sent to one core by their result.
type operationCounts struct {
	highest                         atomic.Uint64 // highest number issued
	succeeded, failed, disconnected atomic.Int64
}

func (s *operationCounts) succeed(number uint64) {
	s.succeeded.Add(1)
	for old := s.highest.Load(); number > old; old = s.highest.Load() {
		if s.highest.CompareAndSwap(old, number) {
			return
		}
	}
}

// sendOperations sends operations to a core, one at a time, until stop is closed or a request gets no
// complete response.
func (c *coreCluster) sendOperations(i int, counts *operationCounts, stop <-chan struct{}) {
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
		case status == 0: // the connection was refused, or closed before the response was complete
			counts.disconnected.Add(1)
			return
		}
	}
}

// watchResult is the status and the kind of failure with which a watch ended.
type watchResult struct {
	status int
	kind   failure.Kind
}

// startWatches starts watches at a core that end only when their wait time elapses or the core stops.
func (c *coreCluster) startWatches(i, n int) <-chan watchResult {
	var first struct {
		Position string `json:"place"`
	}
	eventually(c.t, "a position to watch from", func() bool {
		status, _ := request(http.MethodGet, c.addrs[i], "", "/watch?prefix=&waitMs=2000", nil, &first)
		return status == http.StatusOK && first.Position != ""
	})
	results := make(chan watchResult, n)
	var started sync.WaitGroup
	for range n {
		started.Add(1)
		go func() {
			started.Done()
			var got struct {
				Kind failure.Kind `json:"defect"`
			}
			status, _ := request(http.MethodGet, c.addrs[i], "", "/watch?prefix=&waitMs=15000&place="+first.Position, nil, &got)
			results <- watchResult{status, got.Kind}
		}()
	}
	started.Wait()
	return results
}

// startPoll starts a long poll at a core like that of a sidecar whose configuration is up to date.
func (c *coreCluster) startPoll(i int) <-chan int {
	statuses := make(chan int, 1)
	go func() {
		var got json.RawMessage
		status, _ := request(http.MethodGet, c.addrs[i], "", mesh.WatchPath+"?manifest=99999", nil, &got)
		statuses <- status
	}()
	return statuses
}

// Guards against a planned stop of a core that drops requests. Watches, the long poll of a sidecar and
// operations in flight must all get a complete response, and acknowledged operations must be visible
// at the other cores.
func TestCoreStopWithWatchesAndOperationsInFlight(t *testing.T) {
	t.Parallel()
	const watchCount, senderCount = 4, 8
	c := startCores(t, 3)
	last := uint64(0)
	c.awaitNumber(&last, 0)
	eventually(t, "a key", func() bool {
		status, _ := request(http.MethodPut, c.addrs[0], "", "/keys/k", []byte(`1`), nil)
		return status == http.StatusOK
	})
	watches, poll := c.startWatches(0, watchCount), c.startPoll(0)
	var counts operationCounts
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
		result := <-watches
		stopped := result.status == http.StatusServiceUnavailable && result.kind == failure.Stopping
		must.True(t, stopped || result.status == http.StatusOK, must.Sprint(result))
	}
	must.Eq(t, http.StatusOK, <-poll)
	must.LessEq(t, senderCount, counts.disconnected.Load()) // each sender ends at its first disconnection
	last = counts.highest.Load()
	c.awaitNumber(&last, 1, 2)
}
