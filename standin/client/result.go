package client

import (
	"sync"
	"time"
)

// Outcome is what a client learned of one request.
type Outcome string

// The outcomes of a request.
const (
	Served      Outcome = "served"
	NotExecuted Outcome = "not-run"
	Unknown     Outcome = "unknown"
	// Dropped is a request without a complete HTTP response.
	Dropped Outcome = "dropped"
	// Wrong is a request whose response belongs to another one.
	Wrong Outcome = "wrong"
	// Left is a request whose client closed its connection before a response came.
	Left Outcome = "left"
)

// Result is what a client knows of one request.
type Result struct {
	ID       string
	Kind     *Kind
	Outcome  Outcome
	Status   int
	Note     string
	Start    time.Time
	Duration time.Duration
}

// Log keeps the results of all clients.
type Log struct {
	mu      sync.Mutex
	results []Result
}

// Add appends a result.
func (l *Log) Add(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// All returns a copy of the results.
func (l *Log) All() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...)
}
