// Package metrics keeps the counters; they come before log lines.
package metrics

import (
	"sync"
	"sync/atomic"
)

// Registry is a set of named counters.
type Registry struct {
	mu       sync.RWMutex
	counters map[string]*atomic.Int64
	// BeforeRead, when set, brings the gauges up to date before they are read.
	BeforeRead func()
}

// New makes a board.
func New() *Registry { return &Registry{counters: map[string]*atomic.Int64{}} }

// Counter finds or makes a counter.
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

// Snapshot reads every counter.
func (r *Registry) Snapshot() map[string]int64 {
	if r.BeforeRead != nil {
		r.BeforeRead()
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	snapshot := make(map[string]int64, len(r.counters))
	for name, counter := range r.counters {
		snapshot[name] = counter.Load()
	}
	return snapshot
}
