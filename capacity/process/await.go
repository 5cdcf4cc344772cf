package process

import (
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/control/registry/record"
)

const (
	pollInterval     = 5 * time.Millisecond
	maxAwaitDuration = 2 * time.Minute // limit of the duration of an Await command
)

// progress holds, for one node, the index of the first endpoint in Condition.Healthy and in
// Condition.Unhealthy that is not yet in the required state. Endpoints before that index were in
// the required state in an earlier poll and are not checked again.
type progress struct{ healthy, unhealthy int }

// await polls the nodes of this process until each node meets the condition, until the duration of
// the command or maxAwaitDuration has passed, or until the worker closes.
func (w *worker) await(command Command) (Response, error) {
	waiting := w.waitingNodes()
	response := Response{}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastPoll := meter.Now()
	for deadline := lastPoll + int64(min(command.Duration, maxAwaitDuration)); len(waiting) > 0 && meter.Now() < deadline; {
		now := meter.Now()
		response.MaxStall, lastPoll = max(response.MaxStall, time.Duration(now-lastPoll)-pollInterval), now
		for n, p := range waiting {
			if n.satisfies(command.Condition, p) {
				response.MetAt = append(response.MetAt, meter.Now())
				delete(waiting, n)
			}
		}
		select {
		case <-ticker.C:
		case <-w.closed:
			return response, nil
		}
	}
	response.TimedOut = len(waiting)
	return response, nil
}

// waitingNodes returns all running nodes, each with no endpoint checked yet.
func (w *worker) waitingNodes() map[*node]*progress {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := map[*node]*progress{}
	for _, n := range w.nodes {
		waiting[n] = &progress{}
	}
	return waiting
}

// satisfies reports whether the node meets every part of the condition, and advances p past the
// endpoints that are in the required state.
func (n *node) satisfies(condition Condition, p *progress) bool {
	if condition.Ready && !n.sidecar.Ready() || n.sidecar.ConfigRevision() < condition.Revision {
		return false
	}
	for ; p.healthy < len(condition.Healthy); p.healthy++ {
		if !n.registryHasHealthy(condition.Healthy[p.healthy]) {
			return false
		}
	}
	for ; p.unhealthy < len(condition.Unhealthy); p.unhealthy++ {
		if n.registryHasHealthy(condition.Unhealthy[p.unhealthy]) {
			return false
		}
	}
	return true
}

// registryHasHealthy reports whether the node's registry lists the endpoint as healthy.
func (n *node) registryHasHealthy(e Endpoint) bool {
	entry, ok := n.sidecar.Lookup(e.Service, e.ID)
	return ok && !entry.Lapsed && entry.Status == record.Healthy
}
