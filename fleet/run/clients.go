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
	// clientsOfEachKind is how many clients use locks, numbers and keys each.
	clientsOfEachKind = 4
	kindsOfClients    = 3
)

// coordinationClients are small applications that use the cores' locks, numbers, keys and
// watches, and judge what they see against what was confirmed before.
type coordinationClients struct {
	fleet *Fleet

	mu              sync.Mutex // guards all below
	rng             *rand.Rand
	locks           map[string]*lockLease      // newest lease of each lock
	numbers         map[string]map[uint64]bool // that each sequence gave
	newestNumber    map[string]uint64          // of each sequence
	newestRevision  map[string]ident.Revision  // of each key
	valueOfRevision map[keyRevision]string
}

type keyRevision struct {
	key      string
	revision ident.Revision
}

// lockLease is a lock that a client was given.
type lockLease struct {
	holder  string
	fence   uint64
	expires time.Time
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

// randomInt draws from [0, n).
func (c *coordinationClients) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// anyCore draws a core that runs, or gives the first one when none is found.
func (c *coordinationClients) anyCore() *process.Process {
	cores := c.fleet.currentCores()
	for range 20 {
		if core := cores[c.randomInt(len(cores))]; core.Running() {
			return core
		}
	}
	return cores[0]
}

// request sends a request to any core and counts its outcome. in and out may be nil.
func (c *coordinationClients) request(method, path string, in, out any) (code int, err error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(raw)
	}
	code, err = c.anyCore().Request(coordinationTimeout, method, path, body, out)
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

// start starts all clients, which run until ctx ends.
func (c *coordinationClients) start(ctx context.Context, running *sync.WaitGroup) {
	rate := c.fleet.Deployment.CoordinationRate * c.fleet.Scale / (clientsOfEachKind * kindsOfClients)
	interval := time.Duration(float64(time.Second) / rate)
	for i := range clientsOfEachKind {
		running.Go(func() { every(ctx, interval, func() { c.useLock(ctx, fmt.Sprintf("app%d", i)) }) })
		running.Go(func() { every(ctx, interval, c.takeNumber) })
		running.Go(func() { every(ctx, interval, c.useKey) })
	}
	running.Go(func() { c.followKeys(ctx) })
}

// every acts at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, action func()) {
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
