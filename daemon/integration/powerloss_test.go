package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

// givenNumbers is the numbers that cores gave to several senders.
type givenNumbers struct {
	mu         sync.Mutex
	seen       map[uint64]bool
	highest    uint64
	violations []string
}

func (g *givenNumbers) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.seen)
}

func (g *givenNumbers) highestSoFar() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.highest
}

// take notes a number that was asked for when highestBefore was the highest.
func (g *givenNumbers) take(number, highestBefore uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen[number] || number <= highestBefore {
		g.violations = append(g.violations, fmt.Sprintf("%d was given after %d, twice %v", number, highestBefore, g.seen[number]))
	}
	g.seen[number], g.highest = true, max(g.highest, number)
}

// collect asks a core for numbers until it is told to stop.
func (g *givenNumbers) collect(c *coreCluster, i int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		highestBefore := g.highestSoFar()
		if status, got := c.nextNumber(i); status == http.StatusOK {
			g.take(got.Number, highestBefore)
		}
	}
}

// Every core loses power in the middle of operations, again and again: no number is given twice,
// and none below one that was acknowledged.
func TestPowerLossOfAll(t *testing.T) {
	t.Parallel()
	const coreCount, rounds, numbersPerRound = 3, 4, 40
	c := startCores(t, coreCount)
	given := &givenNumbers{seen: map[uint64]bool{}}
	for range rounds {
		var senders sync.WaitGroup
		stop := make(chan struct{})
		for i := range coreCount {
			senders.Go(func() { given.collect(c, i, stop) })
		}
		before := given.count() + 1
		eventually(t, "forty numbers", func() bool { return given.count() > before+numbersPerRound })
		for i := range coreCount {
			c.powerOff(i)
		}
		close(stop)
		senders.Wait()
		must.SliceEmpty(t, given.violations)
		for i := range coreCount {
			c.start(i)
		}
	}
	c.takeNumber(&given.highest, 0, 1, 2)
	must.Greater(t, rounds*numbersPerRound, len(given.seen))
}
