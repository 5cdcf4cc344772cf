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

	"cottonarch.example/cottonarch/fleet/machine"
	"cottonarch.example/cottonarch/kernel/ident"
)

// clients are the small applications that use the cores.
type clients struct {
	f     *Fleet
	mu    sync.Mutex
	rng   *rand.Rand
	holds map[string]*hold
	nums  map[string]map[uint64]bool
	floor map[string]uint64
	revs  map[string]ident.Revision
	vals  map[string]string
}

type hold struct {
	who   string
	fence uint64
	until time.Time
}

func newClients(f *Fleet) *clients {
	return &clients{f: f, rng: rand.New(rand.NewPCG(f.Seed, 77)), holds: map[string]*hold{}, nums: map[string]map[uint64]bool{}, floor: map[string]uint64{},
		revs: map[string]ident.Revision{}, vals: map[string]string{}}
}

func (c *clients) n(n int) int { c.mu.Lock(); defer c.mu.Unlock(); return c.rng.IntN(n) }

// core picks a core that runs.
func (c *clients) core() *machine.Machine {
	for range 20 {
		n := c.n(len(c.f.Cores))
		c.mu.Lock()
		m := c.f.Cores[n]
		c.mu.Unlock()
		if m.Up() {
			return m
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.f.Cores[0]
}

func (c *clients) ask(method, path string, in, out any) (code int, err error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return 0, err
		}
		body = bytes.NewReader(raw)
	}
	code, err = c.core().Ask(6*time.Second, method, path, body, out)
	switch {
	case err != nil:
		c.f.count("coordination no return")
	case code == 200:
		c.f.count("coordination ok")
	case code == 504 || code == 502:
		c.f.count("coordination unknown")
	default:
		c.f.count("coordination no")
	}
	return
}

func (c *clients) start(ctx context.Context, out *sync.WaitGroup) {
	gap := time.Duration(float64(time.Second) * 12 / (c.f.Deployment.Coord * c.f.Scale))
	for i := range 4 {
		c.loop(ctx, out, gap, func() { c.lock(ctx, fmt.Sprintf("app%d", i)) })
		c.loop(ctx, out, gap, c.number)
		c.loop(ctx, out, gap, c.key)
	}
	out.Add(1)
	go func() { defer out.Done(); c.watch(ctx) }()
}

func (c *clients) loop(ctx context.Context, out *sync.WaitGroup, gap time.Duration, do func()) {
	out.Add(1)
	go func() {
		defer out.Done()
		t := time.NewTicker(gap)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				do()
			}
		}
	}()
}

func (c *clients) breach(rule, form string, args ...any) {
	c.f.mu.Lock()
	defer c.f.mu.Unlock()
	c.f.Check.Break(c.f.now(), rule, form, args...)
}

func (c *clients) saw(rule string) { c.f.mu.Lock(); c.f.Check.Seen[rule]++; c.f.mu.Unlock() }

func (c *clients) lock(ctx context.Context, who string) {
	name := fmt.Sprintf("l%d", c.n(min(c.f.Deployment.Locks, 12)))
	ttl := 1500 * time.Millisecond
	var g struct {
		Fence uint64 `json:"fence"`
	}
	sent := time.Now()
	code, err := c.ask("POST", "/locks/"+name+"/claim", map[string]any{"holder": who, "ttlMs": ttl.Milliseconds()}, &g)
	if err != nil || code != 200 {
		return
	}
	h := &hold{who, g.Fence, sent.Add(ttl)}
	now := time.Now()
	c.saw("lock-shared")
	c.mu.Lock()
	old := c.holds[name]
	c.holds[name] = h
	c.mu.Unlock()
	if old != nil && old.who != who && old.until.After(now) && h.until.After(now) {
		c.breach("lock-shared", "%s held by %s (fence %d) and %s (fence %d)", name, old.who, old.fence, who, g.Fence)
	}
	if old != nil && g.Fence < old.fence {
		c.breach("lock-shared", "%s: fence %d after %d", name, g.Fence, old.fence)
	}
	t := time.NewTimer(time.Duration(50+c.n(300)) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	if c.n(4) == 0 {
		return // forgotten: it runs out by itself
	}
	c.mu.Lock()
	h.until = time.Now()
	c.mu.Unlock()
	_, _ = c.ask("POST", "/locks/"+name+"/release", map[string]any{"holder": who, "fence": g.Fence}, nil)
}

func (c *clients) number() {
	name := fmt.Sprintf("n%d", c.n(4))
	c.mu.Lock()
	low := c.floor[name]
	c.mu.Unlock()
	var got struct {
		N uint64 `json:"number"`
	}
	code, err := c.ask("POST", "/numbers/"+name+"/next", nil, &got)
	if err != nil || code != 200 {
		return
	}
	c.saw("number-repeated")
	c.mu.Lock()
	if c.nums[name] == nil {
		c.nums[name] = map[uint64]bool{}
	}
	again := c.nums[name][got.N]
	c.nums[name][got.N] = true
	c.floor[name] = max(c.floor[name], got.N)
	c.mu.Unlock()
	if again || got.N <= low {
		c.breach("number-repeated", "%s gave %d (given before: %v), %d was confirmed", name, got.N, again, low)
	}
}

func (c *clients) key() {
	name := fmt.Sprintf("k%d", c.n(c.f.Deployment.Keys))
	c.mu.Lock()
	low := c.revs[name]
	c.mu.Unlock()
	var got struct {
		Revision ident.Revision  `json:"revision"`
		Value    json.RawMessage `json:"value"`
	}
	var code int
	var err error
	write := c.n(2) == 0
	val := fmt.Sprintf("v%d", time.Now().UnixNano())
	if write {
		q := ""
		if c.n(2) == 0 {
			q = fmt.Sprintf("?ifRevision=%d", low)
		}
		code, err = c.ask("PUT", "/keys/"+name+q, val, &got)
	} else {
		code, err = c.ask("GET", "/keys/"+name, nil, &got)
		if err == nil && code == 404 {
			c.saw("stale-read")
			if low > 0 {
				c.breach("stale-read", "%s is missing, revision %d was confirmed", name, low)
			}
			return
		}
	}
	if err != nil || code != 200 {
		return
	}
	c.saw("stale-read")
	id := fmt.Sprintf("%s/%d", name, got.Revision)
	c.mu.Lock()
	old, known := c.vals[id]
	now := string(got.Value)
	c.vals[id] = now
	c.revs[name] = max(c.revs[name], got.Revision)
	c.mu.Unlock()
	if got.Revision < low || write && got.Revision <= low {
		c.breach("stale-read", "%s shows revision %d, %d was confirmed", name, got.Revision, low)
	}
	if known && old != now {
		c.breach("number-repeated", "revision %s was %s and is %s", id, old, now)
	}
}

// watch follows all keys from core to core.
func (c *clients) watch(ctx context.Context) {
	place, last := "", time.Now()
	seen := map[string]ident.Revision{}
	for ctx.Err() == nil {
		var got struct {
			Place  string `json:"place"`
			Events []struct {
				Key      string         `json:"key"`
				Revision ident.Revision `json:"revision"`
			} `json:"events"`
			Defect string `json:"defect"`
		}
		code, err := c.core().Ask(8*time.Second, "GET", "/watch?waitMs=1500&prefix=&place="+url.QueryEscape(place), nil, &got)
		if err != nil || code != 200 {
			if code == 410 && time.Since(last) < 20*time.Second {
				c.breach("watch-forgotten", "a place %v old is forgotten", time.Since(last))
				place = ""
			}
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		last, place = time.Now(), got.Place
		for _, e := range got.Events {
			c.saw("watch-forgotten")
			if old, ok := seen[e.Key]; ok && e.Revision != old+1 {
				c.breach("watch-forgotten", "%s: told revision %d after %d", e.Key, e.Revision, old)
			}
			seen[e.Key] = e.Revision
		}
	}
}
