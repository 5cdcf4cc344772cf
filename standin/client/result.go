package client

import (
	"sync"
	"time"
)

// Outcome is what a client learned about the result of a request.
type Outcome string

// The outcomes of a request.
const (
	Served      Outcome = "served"
	NotExecuted Outcome = "not-run"
	Unknown     Outcome = "unknown"
	// Dropped is the outcome of a request without a complete HTTP response.
	Dropped Outcome = "dropped"
	// Wrong is the outcome of a request whose response belongs to another request.
	Wrong Outcome = "wrong"
	// Abandoned is the outcome of a request whose client closed the connection before a response
	// arrived.
	Abandoned Outcome = "left"
)

// Result is what a client knows about a request. Detail is the error, or the body of the response if
// the outcome is not Served.
type Result struct {
	ID          string
	RequestKind *RequestKind
	Outcome     Outcome
	Status      int
	Detail      string
	Start       time.Time
	Duration    time.Duration
}

// ResultLog collects the results of all clients.
type ResultLog struct {
	mu      sync.Mutex
	results []Result
}

// Add appends a result.
func (l *ResultLog) Add(result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, result)
}

// All returns a copy of the results.
func (l *ResultLog) All() []Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Result(nil), l.results...)
}
