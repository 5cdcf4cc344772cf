// Package admission holds the admission queue of the destination: requests for the endpoints of one
// machine wait in its sidecar and not in the endpoints' own queues, so that their order is known and
// a rejected request is known not to have been executed.
//
// Each endpoint has a number of slots. A request is admitted to a free slot, waits for one in the
// order of rank and target, or is rejected as soon as it is expected to be late, while there is time
// to try another endpoint.
package admission

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

// Queue is the admission queue of one machine's endpoints. It reads no clock and does no I/O. Each
// method returns the verdicts that it caused, each of them once; the slice is good until the next
// call.
type Queue struct {
	settings  Settings
	endpoints map[ident.Server]*endpointQueue
	verdicts  []Verdict
	// Counters.
	Admitted, Waited uint64
	Rejected         map[Reason]uint64
}

// New makes an empty queue.
func New(settings Settings) *Queue {
	return &Queue{settings: settings, endpoints: map[ident.Server]*endpointQueue{}, Rejected: map[Reason]uint64{}}
}

// endpoint returns the queue of an endpoint, a new one if it is not known yet.
func (q *Queue) endpoint(server ident.Server) *endpointQueue {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		endpoint = newEndpointQueue(&q.settings)
		q.endpoints[server] = endpoint
	}
	return endpoint
}

// SetSlots takes what a heartbeat says: how many requests the endpoint works on at once, 0 for
// unknown, which admits all; and for how much longer it is slow from its start. More slots may admit
// waiting requests.
func (q *Queue) SetSlots(now monotime.Time, server ident.Server, slots int, slowStart time.Duration) []Verdict {
	endpoint := q.endpoint(server)
	endpoint.slots, endpoint.slowUntil = max(slots, 0), now.Add(max(slowStart, 0))
	return q.advance(now, endpoint)
}

// Submit brings a request. Its own verdict is returned unless it waits, and that of a request that it
// displaced.
func (q *Queue) Submit(now monotime.Time, server ident.Server, request Request) []Verdict {
	q.verdicts = q.verdicts[:0]
	endpoint := q.endpoint(server)
	if reason, retryAfter := endpoint.rejection(now, request); reason != "" {
		q.reject(request.ID, reason, retryAfter)
		return q.verdicts
	}
	endpoint.insert(request)
	q.admitOpen(now, endpoint)
	if len(endpoint.waiting) > endpoint.capacity() {
		last := endpoint.waiting[len(endpoint.waiting)-1]
		endpoint.waiting = endpoint.waiting[:len(endpoint.waiting)-1]
		q.reject(last.ID, Busy, endpoint.retryAfter(now, last))
	}
	if slices.ContainsFunc(endpoint.waiting, func(waiting Request) bool { return waiting.ID == request.ID }) {
		q.Waited++
	}
	return q.verdicts
}

// Done ends an admitted request; elapsed is how long the endpoint had it.
func (q *Queue) Done(now monotime.Time, server ident.Server, id uint64, outcome Outcome, elapsed time.Duration) []Verdict {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return nil
	}
	endpoint.done(now, id, outcome, elapsed)
	return q.advance(now, endpoint)
}

// Abandon removes a waiting request whose client is gone. It gets no verdict.
func (q *Queue) Abandon(now monotime.Time, server ident.Server, id uint64) []Verdict {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return nil
	}
	endpoint.waiting = slices.DeleteFunc(endpoint.waiting, func(waiting Request) bool { return waiting.ID == id })
	return q.advance(now, endpoint)
}

// Tick rejects waiting requests that can't be in time any more.
func (q *Queue) Tick(now monotime.Time) []Verdict {
	q.verdicts = q.verdicts[:0]
	for _, server := range q.sortedServers() {
		endpoint := q.endpoints[server]
		q.rejectHopeless(now, endpoint)
		q.admitOpen(now, endpoint)
	}
	return q.verdicts
}

// NextTick is when Tick is next of use; ok is false if nothing waits.
func (q *Queue) NextTick(now monotime.Time) (at monotime.Time, ok bool) {
	for _, endpoint := range q.endpoints {
		for i := range endpoint.waiting {
			if recheck := endpoint.recheckAt(now, &endpoint.waiting[i]); !ok || at.After(recheck) {
				at, ok = recheck, true
			}
		}
	}
	return at, ok
}

// RejectAll rejects all requests that wait for an endpoint, which leaves or is unhealthy. Those at the
// endpoint go on, and its estimates learn from them.
func (q *Queue) RejectAll(server ident.Server) []Verdict {
	q.verdicts = q.verdicts[:0]
	if endpoint := q.endpoints[server]; endpoint != nil {
		for _, request := range endpoint.waiting {
			q.reject(request.ID, Unavailable, q.settings.MinRetryAfter)
		}
		endpoint.waiting = endpoint.waiting[:0]
	}
	return q.verdicts
}

// Remove forgets an endpoint and rejects all requests that wait for it. Those at the endpoint need no
// Done any more.
func (q *Queue) Remove(server ident.Server) []Verdict {
	verdicts := q.RejectAll(server)
	delete(q.endpoints, server)
	return verdicts
}

// LoadReport is the report to send with a response of an endpoint; ok is false if it is not known.
func (q *Queue) LoadReport(now monotime.Time, server ident.Server) (report loadreport.Report, ok bool) {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return report, false
	}
	return endpoint.loadReport(now), true
}

// sortedServers lists the servers in a fixed order, so that runs can be repeated.
func (q *Queue) sortedServers() []ident.Server { return slices.Sorted(maps.Keys(q.endpoints)) }

// advance rejects what can't be in time in an endpoint's queue, and admits to its free slots.
func (q *Queue) advance(now monotime.Time, endpoint *endpointQueue) []Verdict {
	q.verdicts = q.verdicts[:0]
	q.rejectHopeless(now, endpoint)
	q.admitOpen(now, endpoint)
	return q.verdicts
}

// admitOpen admits waiting requests to the free slots.
func (q *Queue) admitOpen(now monotime.Time, endpoint *endpointQueue) {
	for len(endpoint.waiting) > 0 && endpoint.hasOpenSlot() {
		request := endpoint.takeNext(now)
		q.Admitted++
		q.verdicts = append(q.verdicts, Verdict{ID: request.ID, Decision: Admit})
		endpoint.admit(now, request)
	}
}

// rejectHopeless rejects the waiting requests that can't be in time.
func (q *Queue) rejectHopeless(now monotime.Time, endpoint *endpointQueue) {
	ahead, keep := time.Duration(0), endpoint.waiting[:0]
	for i, request := range endpoint.waiting {
		// The first ones are admitted at once: a slot is free for each of them.
		if i >= endpoint.freeSlots() {
			if reason := endpoint.rejectWaiting(now, &request, ahead); reason != "" {
				q.reject(request.ID, reason, endpoint.retryAfter(now, request))
				continue
			}
			ahead += endpoint.expectedRun(now, request.ServiceTime)
		}
		keep = append(keep, request)
	}
	endpoint.waiting = keep
}

func (q *Queue) reject(id uint64, reason Reason, retryAfter time.Duration) {
	q.Rejected[reason]++
	q.verdicts = append(q.verdicts, Verdict{ID: id, Decision: Reject, Reason: reason, RetryAfter: retryAfter})
}
