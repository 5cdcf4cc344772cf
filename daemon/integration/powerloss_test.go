package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// issuedNumbers records the numbers of a sequence that the cores issued to several senders.
type issuedNumbers struct {
	mu         sync.Mutex
	seen       map[uint64]bool
	highest    uint64
	violations []string
}

func (g *issuedNumbers) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.seen)
}

func (g *issuedNumbers) highestNumber() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}

// record records a number. highestBefore was the highest recorded number when the request for the
// number was sent.
func (g *issuedNumbers) record(number, highestBefore uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen[number] || number <= highestBefore {
		g.violations = append(g.violations, fmt.Sprintf("number %d was issued after number %d, issued twice: %v", number, highestBefore, g.seen[number]))
	}
	g.seen[number], g.highest = true, max(g.highest, number)
}

// collect requests and records numbers from a core until stop is closed.
func (g *issuedNumbers) collect(c *coreCluster, i int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		highestBefore := g.highestNumber()
		if status, got := c.nextNumber(i); status == http.StatusOK {
			g.record(got.Number, highestBefore)
		}
	}
}

// Guards against acknowledged writes that are lost in a power failure. All cores repeatedly lose power
// at the same time during operations. No number may be issued twice, and no number may be less than a
// number that was acknowledged before the request.
func TestPowerLossOfAllCores(t *testing.T) {
	t.Parallel()
	const coreCount, rounds, numbersPerRound = 3, 4, 40
	c := startCores(t, coreCount)
	issued := &issuedNumbers{seen: map[uint64]bool{}}
	for range rounds {
		var senders sync.WaitGroup
		stop := make(chan struct{})
		for i := range coreCount {
			senders.Go(func() { issued.collect(c, i, stop) })
		}
		before := issued.count() + 1
		eventually(t, "forty numbers", func() bool { return issued.count() > before+numbersPerRound })
		for i := range coreCount {
			c.powerOff(i)
		}
		close(stop)
		senders.Wait()
		must.SliceEmpty(t, issued.violations)
		for i := range coreCount {
			c.start(i)
		}
	}
	c.awaitNumber(&issued.highest, 0, 1, 2)
	must.Greater(t, rounds*numbersPerRound, len(issued.seen))
}
