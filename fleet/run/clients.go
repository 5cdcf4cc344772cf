package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/fleet/process"
)

// coordinationClients are the small applications that use the cores.
type coordinationClients struct {
	fleet          *Fleet
	mu             sync.Mutex
	rng            *rand.Rand
	locks          map[string]*lockLease
	numbers        map[string]map[uint64]bool
	newestNumber   map[string]uint64
	newestRevision map[string]ident.Revision
	values         map[string]string
}

type lockLease struct {
	holder  string
	fence   uint64
	expires time.Time
}

func newCoordinationClients(f *Fleet) *coordinationClients {
	return &coordinationClients{fleet: f, rng: rand.New(rand.NewPCG(f.Seed, 77)), locks: map[string]*lockLease{}, numbers: map[string]map[uint64]bool{}, newestNumber: map[string]uint64{},
		newestRevision: map[string]ident.Revision{}, values: map[string]string{}}
}

func (c *coordinationClients) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// anyCore picks a core that runs.
func (c *coordinationClients) anyCore() *process.Process {
	for range 20 {
		n := c.randomInt(len(c.fleet.Cores))
		c.mu.Lock()
		core := c.fleet.Cores[n]
		c.mu.Unlock()
		if core.Running() {
			return core
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fleet.Cores[0]
}

func (c *coordinationClients) request(method, path string, in, out any) (code int, err error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(raw)
	}
	code, err = c.anyCore().Request(6*time.Second, method, path, body, out)
	switch {
	case err != nil:
		c.fleet.increment("coordination no return")
	case code == 200:
		c.fleet.increment("coordination ok")
	case code == 504 || code == 502:
		c.fleet.increment("coordination unknown")
	default:
		c.fleet.increment("coordination no")
	}
	return
}

func (c *coordinationClients) start(ctx context.Context, running *sync.WaitGroup) {
	interval := time.Duration(float64(time.Second) * 12 / (c.fleet.Deployment.CoordinationRate * c.fleet.Scale))
	for i := range 4 {
		c.every(ctx, running, interval, func() { c.useLock(ctx, fmt.Sprintf("app%d", i)) })
		c.every(ctx, running, interval, c.takeNumber)
		c.every(ctx, running, interval, c.useKey)
	}
	running.Add(1)
	go func() { defer running.Done(); c.followKeys(ctx) }()
}

func (c *coordinationClients) every(ctx context.Context, running *sync.WaitGroup, interval time.Duration, action func()) {
	running.Add(1)
	go func() {
		defer running.Done()
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
	}()
}

func (c *coordinationClients) recordBreach(rule, format string, args ...any) {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.Checker.Violate(c.fleet.now(), rule, format, args...)
}

func (c *coordinationClients) countCheck(rule string) {
	c.fleet.mu.Lock()
	c.fleet.Checker.Observed[rule]++
	c.fleet.mu.Unlock()
}

func (c *coordinationClients) useLock(ctx context.Context, holder string) {
	name := fmt.Sprintf("l%d", c.randomInt(min(c.fleet.Deployment.Locks, 12)))
	ttl := 1500 * time.Millisecond
	var granted struct {
		Fence uint64 `json:"fence"`
	}
	sent := time.Now()
	code, err := c.request("POST", "/locks/"+name+"/claim", map[string]any{"holder": holder, "ttlMs": ttl.Milliseconds()}, &granted)
	if err != nil || code != 200 {
		return
	}
	current := &lockLease{holder, granted.Fence, sent.Add(ttl)}
	now := time.Now()
	c.countCheck("lock-shared")
	c.mu.Lock()
	previous := c.locks[name]
	c.locks[name] = current
	c.mu.Unlock()
	if previous != nil && previous.holder != holder && previous.expires.After(now) && current.expires.After(now) {
		c.recordBreach("lock-shared", "%s held by %s (fence %d) and %s (fence %d)", name, previous.holder, previous.fence, holder, granted.Fence)
	}
	if previous != nil && granted.Fence < previous.fence {
		c.recordBreach("lock-shared", "%s: fence %d after %d", name, granted.Fence, previous.fence)
	}
	timer := time.NewTimer(time.Duration(50+c.randomInt(300)) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if c.randomInt(4) == 0 {
		return // forgotten: it runs out by itself
	}
	c.mu.Lock()
	current.expires = time.Now()
	c.mu.Unlock()
	_, _ = c.request("POST", "/locks/"+name+"/release", map[string]any{"holder": holder, "fence": granted.Fence}, nil)
}

func (c *coordinationClients) takeNumber() {
	name := fmt.Sprintf("n%d", c.randomInt(4))
	c.mu.Lock()
	confirmed := c.newestNumber[name]
	c.mu.Unlock()
	var answer struct {
		N uint64 `json:"number"`
	}
	code, err := c.request("POST", "/numbers/"+name+"/next", nil, &answer)
	if err != nil || code != 200 {
		return
	}
	c.countCheck("number-repeated")
	c.mu.Lock()
	if c.numbers[name] == nil {
		c.numbers[name] = map[uint64]bool{}
	}
	repeated := c.numbers[name][answer.N]
	c.numbers[name][answer.N] = true
	c.newestNumber[name] = max(c.newestNumber[name], answer.N)
	c.mu.Unlock()
	if repeated || answer.N <= confirmed {
		c.recordBreach("number-repeated", "%s gave %d (given before: %v), %d was confirmed", name, answer.N, repeated, confirmed)
	}
}

func (c *coordinationClients) useKey() {
	name := fmt.Sprintf("k%d", c.randomInt(c.fleet.Deployment.Keys))
	c.mu.Lock()
	confirmed := c.newestRevision[name]
	c.mu.Unlock()
	var answer struct {
		Revision ident.Revision  `json:"revision"`
		Value    json.RawMessage `json:"value"`
	}
	var code int
	var err error
	write := c.randomInt(2) == 0
	value := fmt.Sprintf("v%d", time.Now().UnixNano())
	if write {
		query := ""
		if c.randomInt(2) == 0 {
			query = fmt.Sprintf("?ifRevision=%d", confirmed)
		}
		code, err = c.request("PUT", "/keys/"+name+query, value, &answer)
	} else {
		code, err = c.request("GET", "/keys/"+name, nil, &answer)
		if err == nil && code == 404 {
			c.countCheck("stale-read")
			if confirmed > 0 {
				c.recordBreach("stale-read", "%s is missing, revision %d was confirmed", name, confirmed)
			}
			return
		}
	}
	if err != nil || code != 200 {
		return
	}
	c.countCheck("stale-read")
	valueID := fmt.Sprintf("%s/%d", name, answer.Revision)
	c.mu.Lock()
	previous, known := c.values[valueID]
	current := string(answer.Value)
	c.values[valueID] = current
	c.newestRevision[name] = max(c.newestRevision[name], answer.Revision)
	c.mu.Unlock()
	if answer.Revision < confirmed || write && answer.Revision <= confirmed {
		c.recordBreach("stale-read", "%s shows revision %d, %d was confirmed", name, answer.Revision, confirmed)
	}
	if known && previous != current {
		c.recordBreach("number-repeated", "revision %s was %s and is %s", valueID, previous, current)
	}
}

// followKeys follows all keys from core to core.
func (c *coordinationClients) followKeys(ctx context.Context) {
	position, lastAnswer := "", time.Now()
	seen := map[string]ident.Revision{}
	for ctx.Err() == nil {
		var answer struct {
			Place  string `json:"place"`
			Events []struct {
				Key      string         `json:"key"`
				Revision ident.Revision `json:"revision"`
			} `json:"events"`
			Defect string `json:"defect"`
		}
		code, err := c.anyCore().Request(8*time.Second, "GET", "/watch?waitMs=1500&prefix=&place="+url.QueryEscape(position), nil, &answer)
		if err != nil || code != 200 {
			if code == 410 && time.Since(lastAnswer) < 20*time.Second {
				c.recordBreach("watch-forgotten", "a place %v old is forgotten", time.Since(lastAnswer))
				position = ""
			}
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		lastAnswer, position = time.Now(), answer.Place
		for _, e := range answer.Events {
			c.countCheck("watch-forgotten")
			if old, ok := seen[e.Key]; ok && e.Revision != old+1 {
				c.recordBreach("watch-forgotten", "%s: told revision %d after %d", e.Key, e.Revision, old)
			}
			seen[e.Key] = e.Revision
		}
	}
}
