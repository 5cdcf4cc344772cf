package endpoint

import (
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Execution is one request that an endpoint executed. ReceivedAt is when the request reached the
// endpoint and WorkTime how long the execution was meant to take. EndedAt is when the execution ended,
// zero while the execution goes on; the close of the client's connection ends an execution early.
type Execution struct {
	ID         string
	Server     ident.Server
	Service    ident.Service
	ReceivedAt time.Time
	WorkTime   time.Duration
	EndedAt    time.Time
}

// ExecutionLog collects the executions of all endpoints.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

// Add appends an execution and returns the index of the execution, which End takes.
func (l *ExecutionLog) Add(execution Execution) (index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
	return len(l.executions) - 1
}

// End records when an execution ended.
func (l *ExecutionLog) End(index int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions[index].EndedAt = at
}

// All returns a copy of the executions.
func (l *ExecutionLog) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}
