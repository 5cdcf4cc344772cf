// Package count keeps the counters; they come before log lines.
package count

import (
	"sync"
	"sync/atomic"
)

// Board is a set of named counters.
type Board struct {
	mu  sync.RWMutex
	all map[string]*atomic.Int64
	// Fresh, when set, brings the gauges up to date before they are read.
	Fresh func()
}

// New makes a board.
func New() *Board { return &Board{all: map[string]*atomic.Int64{}} }

// At finds or makes a counter.
func (b *Board) At(name string) *atomic.Int64 {
	b.mu.RLock()
	c := b.all[name]
	b.mu.RUnlock()
	if c != nil {
		return c
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c = b.all[name]; c == nil {
		c = &atomic.Int64{}
		b.all[name] = c
	}
	return c
}

// Add adds to a counter.
func (b *Board) Add(name string, by int64) { b.At(name).Add(by) }

// Set sets a gauge.
func (b *Board) Set(name string, to int64) { b.At(name).Store(to) }

// All reads every counter.
func (b *Board) All() map[string]int64 {
	if b.Fresh != nil {
		b.Fresh()
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	out := make(map[string]int64, len(b.all))
	for name, c := range b.all {
		out[name] = c.Load()
	}
	return out
}
