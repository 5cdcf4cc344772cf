package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
)

const (
	coordinationTimeout = 6 * time.Second
	// clientsPerKind is the number of clients that use locks; as many use sequences and keys.
	clientsPerKind = 4
	clientKinds    = 3
)

// coordinationClients simulates applications that use the cores' locks, sequences, keys and
// watches, and checks each response against what the cores confirmed before.
type coordinationClients struct {
	fleet *Fleet

	mu              sync.Mutex // guards all fields below
	rng             *rand.Rand
	locks           map[string]*lockLease      // latest lease by lock
	numbers         map[string]map[uint64]bool // numbers returned by each sequence
	newestNumber    map[string]uint64          // highest number by sequence
	newestRevision  map[string]ident.Revision  // by key
	valueOfRevision map[keyRevision]string
}

type keyRevision struct {
	key      string
	revision ident.Revision
}

// lockLease is a lock that was granted to a client.
type lockLease struct {
	holder       string
	fencingToken uint64
	expiresAt    time.Time
}

func newCoordinationClients(f *Fleet) *coordinationClients {
	return &coordinationClients{
		fleet:           f,
		rng:             rand.New(rand.NewPCG(f.Seed, 77)),
		locks:           map[string]*lockLease{},
		numbers:         map[string]map[uint64]bool{},
		newestNumber:    map[string]uint64{},
		newestRevision:  map[string]ident.Revision{},
		valueOfRevision: map[keyRevision]string{},
	}
}

// randomInt returns a random number in [0, n).
func (c *coordinationClients) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// randomRunningCore picks a random core whose process runs. After 20 picks without a running core,
// randomRunningCore returns the first core.
func (c *coordinationClients) randomRunningCore() *process.Process {
	cores := c.fleet.currentCores()
	for range 20 {
		if core := cores[c.randomInt(len(cores))]; core.Running() {
			return core
		}
	}
	return cores[0]
}

// request sends a request to a random running core and counts the request's outcome. requestBody
// and responseBody may be nil.
func (c *coordinationClients) request(method, path string, requestBody, responseBody any) (code int, err error) {
	var body io.Reader
	if requestBody != nil {
		raw, err := json.Marshal(requestBody)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(raw)
	}
	code, err = c.randomRunningCore().Request(coordinationTimeout, method, path, body, responseBody)
	switch {
	case err != nil:
		c.fleet.increment("coordination no return")
	case code == http.StatusOK:
		c.fleet.increment("coordination ok")
	case code == http.StatusGatewayTimeout || code == http.StatusBadGateway:
		c.fleet.increment("coordination unknown")
	default:
		c.fleet.increment("coordination no")
	}
	return code, err
}

// start starts all coordination clients, which run until ctx ends.
func (c *coordinationClients) start(ctx context.Context, running *sync.WaitGroup) {
	rate := c.fleet.Deployment.CoordinationRate * c.fleet.Scale / (clientsPerKind * clientKinds)
	interval := time.Duration(float64(time.Second) / rate)
	for i := range clientsPerKind {
		running.Go(func() { runPeriodically(ctx, interval, func() { c.acquireLock(ctx, fmt.Sprintf("app%d", i)) }) })
		running.Go(func() { runPeriodically(ctx, interval, c.nextNumber) })
		running.Go(func() { runPeriodically(ctx, interval, c.readOrWriteKey) })
	}
	running.Go(func() { c.watchKeys(ctx) })
}

// runPeriodically calls action at an interval until ctx ends.
func runPeriodically(ctx context.Context, interval time.Duration, action func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			action()
		}
	}
}
