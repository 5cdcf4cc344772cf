package endpoint

import (
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Execution is one request that an endpoint executed; ReceivedAt is when it reached the endpoint.
type Execution struct {
	ID         string
	Server     ident.Server
	Service    ident.Service
	ReceivedAt time.Time
}

// ExecutionLog keeps the executions of all endpoints.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

// Add appends an execution.
func (l *ExecutionLog) Add(execution Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, execution)
}

// All returns a copy of the executions.
func (l *ExecutionLog) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}
