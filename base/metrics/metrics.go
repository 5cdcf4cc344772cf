// Package metrics provides named counters and gauges. Frequent events are counted in metrics instead
// of being logged.
package metrics

import (
	"sync"
	"sync/atomic"
)

// Registry is a set of named counters and gauges. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	counters map[string]*atomic.Int64
	// BeforeSnapshot, if set, is called by Snapshot to update gauges. BeforeSnapshot must be set
	// before the registry is shared between goroutines.
	BeforeSnapshot func()
}

// New returns an empty registry.
func New() *Registry { return &Registry{counters: map[string]*atomic.Int64{}} }

// Counter returns the counter or gauge with the given name, and creates it if it does not exist.
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

// Add adds delta to a counter.
func (r *Registry) Add(name string, delta int64) { r.Counter(name).Add(delta) }

// Set sets a gauge to value.
func (r *Registry) Set(name string, value int64) { r.Counter(name).Store(value) }

// Snapshot returns the values of all counters and gauges by name.
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
