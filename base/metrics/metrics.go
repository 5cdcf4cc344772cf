// Package metrics keeps named counters and gauges. What happens often is counted here, not
// logged.
package metrics

import (
	"sync"
	"sync/atomic"
)

// Registry is a set of named counters and gauges; any goroutine may use it.
type Registry struct {
	mu       sync.RWMutex
	counters map[string]*atomic.Int64
	// BeforeSnapshot, when set, is called by Snapshot so that gauges are up to date. It is set
	// before the registry is shared.
	BeforeSnapshot func()
}

// New makes an empty registry.
func New() *Registry { return &Registry{counters: map[string]*atomic.Int64{}} }

// Counter returns the counter of a name, and makes it when it is new.
func (r *Registry) Counter(name string) *atomic.Int64 {
	r.mu.RLock()
	counter := r.counters[name]
	r.mu.RUnlock()
	if counter != nil {
		return counter
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if counter = r.counters[name]; counter == nil {
		counter = &atomic.Int64{}
		r.counters[name] = counter
	}
	return counter
}

// Add adds to a counter.
func (r *Registry) Add(name string, delta int64) { r.Counter(name).Add(delta) }

// Set sets a gauge.
func (r *Registry) Set(name string, value int64) { r.Counter(name).Store(value) }

// Snapshot reads all counters and gauges, by their names.
func (r *Registry) Snapshot() map[string]int64 {
	if r.BeforeSnapshot != nil {
		r.BeforeSnapshot()
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	snapshot := make(map[string]int64, len(r.counters))
	for name, counter := range r.counters {
		snapshot[name] = counter.Load()
	}
	return snapshot
}
