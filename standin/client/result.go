package client

import (
	"sync"
	"time"
)

// Outcome is the result of a request as the client can determine the result.
type Outcome string

// The outcomes of a request.
const (
	// Served is the outcome of a request that was answered by an endpoint of the right service,
	// whatever the status of the response.
	Served Outcome = "served"
	// NotExecuted is the outcome of a request whose response says that no endpoint executed the request.
	NotExecuted Outcome = "not-run"
	// Unknown is the outcome of a request whose response leaves open whether an endpoint executed the
	// request.
	Unknown Outcome = "unknown"
	// Dropped is the outcome of a request without a complete HTTP response.
	Dropped Outcome = "dropped"
	// Wrong is the outcome of a request whose response can't be decoded or belongs to another request.
	Wrong Outcome = "wrong"
	// Abandoned is the outcome of a request whose client closed the connection before a response
	// arrived.
	Abandoned Outcome = "left"
)

// Result is the result of a request at the client. Detail is the error, or the body of the response,
// and empty if the outcome is Served. Duration is the time from Start until the response was complete
// or the request failed.
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
