// Package admission implements admission control at the destination: requests for the endpoints of
// a machine wait in the admission queue of its sidecar instead of the queues of the endpoints. The
// sidecar therefore knows the order of the requests, and knows that a rejected request was not
// executed.
//
// Each endpoint has a number of slots. A request is admitted to a free slot, waits for a slot, or is
// rejected. Waiting requests are ordered by rank, then nested requests before client requests, then
// by target, see Request. While there is still time to try another endpoint, a request is rejected
// as soon as the request is expected to miss its target.
package admission

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

// Queue is the admission queue for all endpoints of one machine. Queue reads no clock and does no
// I/O. Each method returns the verdicts that the call caused; every verdict is returned exactly
// once. The returned slice is valid until the next call.
type Queue struct {
	settings  Settings
	endpoints map[ident.Server]*endpointQueue
	verdicts  []Verdict
	// Counters.
	Admitted, Waited uint64
	Rejected         map[Reason]uint64
}

// New returns an empty queue.
func New(settings Settings) *Queue {
	return &Queue{settings: settings, endpoints: map[ident.Server]*endpointQueue{}, Rejected: map[Reason]uint64{}}
}

// endpoint returns the queue of an endpoint and creates the queue if it does not exist yet.
func (q *Queue) endpoint(server ident.Server) *endpointQueue {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		endpoint = newEndpointQueue(&q.settings)
		q.endpoints[server] = endpoint
	}
	return endpoint
}

// SetSlots applies the values of a heartbeat: slots is the number of requests that the endpoint
// processes concurrently, 0 if unknown, which admits all requests; slowStart is the remaining time
// of the slow start. With more slots, waiting requests may be admitted.
func (q *Queue) SetSlots(now monotime.Time, server ident.Server, slots int, slowStart time.Duration) []Verdict {
	endpoint := q.endpoint(server)
	endpoint.slots, endpoint.slowStartUntil = max(slots, 0), now.Add(max(slowStart, 0))
	return q.process(now, endpoint)
}

// Submit adds a request. Submit returns the verdict on the request, unless the request waits. If the
// request displaces a waiting request from a full queue, Submit also returns the verdict on the
// displaced request.
func (q *Queue) Submit(now monotime.Time, server ident.Server, request Request) []Verdict {
	q.verdicts = q.verdicts[:0]
	endpoint := q.endpoint(server)
	if reason, retryAfter := endpoint.checkNew(now, request); reason != "" {
		q.reject(request.ID, reason, retryAfter)
		return q.verdicts
	}
	endpoint.insert(request)
	q.admitToFreeSlots(now, endpoint)
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

// Done ends an admitted request. elapsed is the time that the request spent at the endpoint.
func (q *Queue) Done(now monotime.Time, server ident.Server, id uint64, outcome Outcome, elapsed time.Duration) []Verdict {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return nil
	}
	endpoint.complete(now, id, outcome, elapsed)
	return q.process(now, endpoint)
}

// Abandon removes a waiting request whose client has disconnected. The request gets no verdict.
func (q *Queue) Abandon(now monotime.Time, server ident.Server, id uint64) []Verdict {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return nil
	}
	endpoint.waiting = slices.DeleteFunc(endpoint.waiting, func(waiting Request) bool { return waiting.ID == id })
	return q.process(now, endpoint)
}

// Tick rejects waiting requests that are too late, see checkWaiting, and admits waiting requests to
// free slots.
func (q *Queue) Tick(now monotime.Time) []Verdict {
	q.verdicts = q.verdicts[:0]
	for _, server := range q.sortedServers() {
		endpoint := q.endpoints[server]
		q.rejectLate(now, endpoint)
		q.admitToFreeSlots(now, endpoint)
	}
	return q.verdicts
}

// NextTick returns when the next Tick is due. ok is false if no request waits.
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

// RejectAll rejects all requests that wait for an endpoint that is leaving or unhealthy. Requests
// in flight continue, and Done still updates the estimates.
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

// Remove deletes an endpoint and rejects all requests that wait for the endpoint. Done need not be
// called for requests in flight.
func (q *Queue) Remove(server ident.Server) []Verdict {
	verdicts := q.RejectAll(server)
	delete(q.endpoints, server)
	return verdicts
}

// LoadReport returns the load report to send with a response of an endpoint. ok is false if the
// endpoint is unknown.
func (q *Queue) LoadReport(now monotime.Time, server ident.Server) (report loadreport.Report, ok bool) {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return report, false
	}
	return endpoint.loadReport(now), true
}

// sortedServers returns the servers in a fixed order, so that simulations are reproducible.
func (q *Queue) sortedServers() []ident.Server { return slices.Sorted(maps.Keys(q.endpoints)) }

// process rejects waiting requests of an endpoint that are too late, and admits waiting requests to
// free slots.
func (q *Queue) process(now monotime.Time, endpoint *endpointQueue) []Verdict {
	q.verdicts = q.verdicts[:0]
	q.rejectLate(now, endpoint)
	q.admitToFreeSlots(now, endpoint)
	return q.verdicts
}

// admitToFreeSlots admits waiting requests to the free slots of an endpoint.
func (q *Queue) admitToFreeSlots(now monotime.Time, endpoint *endpointQueue) {
	for len(endpoint.waiting) > 0 && endpoint.hasFreeSlot() {
		request := endpoint.takeNext(now)
		q.Admitted++
		q.verdicts = append(q.verdicts, Verdict{ID: request.ID, Decision: Admit})
		endpoint.admit(now, request)
	}
}

// rejectLate rejects the waiting requests of an endpoint that are too late, see checkWaiting.
func (q *Queue) rejectLate(now monotime.Time, endpoint *endpointQueue) {
	ahead, keep := time.Duration(0), endpoint.waiting[:0]
	for i, request := range endpoint.waiting {
		// The first freeSlots requests are kept unchecked, because each of these requests is
		// admitted to a free slot immediately afterwards.
		if i >= endpoint.freeSlots() {
			if reason := endpoint.checkWaiting(now, &request, ahead); reason != "" {
				q.reject(request.ID, reason, endpoint.retryAfter(now, request))
				continue
			}
			ahead += endpoint.expectedRunTime(now, request.ServiceTime)
		}
		keep = append(keep, request)
	}
	endpoint.waiting = keep
}

func (q *Queue) reject(id uint64, reason Reason, retryAfter time.Duration) {
	q.Rejected[reason]++
	q.verdicts = append(q.verdicts, Verdict{ID: id, Decision: Reject, Reason: reason, RetryAfter: retryAfter})
}
