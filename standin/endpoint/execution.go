package endpoint

import (
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Execution is one execution of a request by an endpoint. ReceivedAt is when the request reached the
// endpoint; WorkTime is the planned duration of the execution. EndedAt is when the execution ended, or
// zero while the execution is in progress. If the client closes the connection, the execution ends
// early.
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
