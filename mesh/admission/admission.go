// Package admission is the admission queue at the destination: the requests for the endpoints
// of one machine wait here, beside the gate, and not in the endpoints' own queues, so that
// their order stays ours and a rejected request is known not to have been executed.
package admission

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

// Settings say how requests are let in.
type Settings struct {
	// Extra is how many requests beyond its slots an endpoint may hold, so that a slot
	// does not stand idle for as long as a word takes to reach it.
	Extra int
	// QueuePerSlot is how many may wait for each slot.
	QueuePerSlot int
	// YieldPerSlot is how many may wait for each slot while higher ranks let lower ones go first
	// that have less time to spare; 0 is never.
	YieldPerSlot int
	// Margin is how many times its expected work a request must have left for its aim
	// when its turn is expected, or it is rejected.
	Margin float64
	// SlowStartFactor is how many times as long an endpoint takes that has just started.
	SlowStartFactor float64
	// MaxFailureRate is the part of runs that may fail, beyond one and a half times what fails
	// at its peers, before an endpoint gets no more than one trial in every TrialInterval.
	MaxFailureRate float64
	TrialInterval  time.Duration
	// UnknownWork is what a request is expected to take when nothing is known of it.
	UnknownWork time.Duration
	// MinRetryAfter and MaxRetryAfter bound when a request that was rejected may come back.
	MinRetryAfter, MaxRetryAfter time.Duration
}

// DefaultSettings gives the settings that the model of model_test.go was run with.
func DefaultSettings() Settings {
	return Settings{Extra: 1, QueuePerSlot: 8, YieldPerSlot: 1, Margin: 1.25, SlowStartFactor: 2, MaxFailureRate: 0.25, TrialInterval: 200 * time.Millisecond,
		UnknownWork: 50 * time.Millisecond, MinRetryAfter: 10 * time.Millisecond, MaxRetryAfter: time.Second}
}

// Request is one request for an endpoint.
type Request struct {
	// ID names the request here; no two that are in hand share one.
	ID uint64
	// Rank 0 goes first.
	Rank int
	// Work is what its way takes at the service's mean endpoint, as its origin learnt it;
	// 0 is unknown.
	Work time.Duration
	// FreeRejectUntil is until when it may be rejected at no price, Aim until when its return is
	// worth most, and Until when nobody waits for it any more. 0 is never, but Until must
	// be given.
	FreeRejectUntil, Target, Deadline monotime.Time
	// PeerFailureRate is the part of runs that fails at the service's other endpoints, as the origin
	// has heard it.
	PeerFailureRate float64
	// LastResort says that no better endpoint is left: it is not rejected because the
	// endpoint fails or is slow, only because too many wait.
	LastResort bool
}

// Decision is what becomes of a request.
type Decision uint8

// The words. Invariant: a request gets one Admit or one Reject, never both, so what was
// rejected has never been at the endpoint.
const (
	Wait Decision = iota
	Admit
	Reject
)

// Reason says for what reason a request was rejected.
type Reason string

// The reasons.
const (
	Busy    Reason = "busy" // the wait would be too long, or too many wait
	Late    Reason = "late" // its time would be over
	Failing Reason = "ill"  // the endpoint fails
	Slow    Reason = "slow" // the endpoint alone takes longer than the request may
	Gone    Reason = "left" // the endpoint is no more
)

// Verdict is what is to be done with a request now.
type Verdict struct {
	ID       uint64
	Decision Decision
	Reason   Reason
	// RetryAfter is when to come back, for one that was rejected.
	RetryAfter time.Duration
}

// Outcome is how a request's time at the endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// Served: a whole return of the endpoint's own that is no failure.
	Served Outcome = iota
	// Failed: the endpoint ran it or took it, and failed: a 5xx of its own but for what
	// says that it did not run, a return cut off or garbled.
	Failed
	// GivenUp: given up, out of time, or not run. It tells nothing but that it would have taken
	// longer than it had; took is 0 for what never was at work.
	GivenUp
)

// Queue holds the endpoints of one machine. It reads no clock; a Verdict is told once.
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

func (q *Queue) endpoint(server ident.Server) *endpointQueue {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		endpoint = newEndpointQueue(&q.settings)
		q.endpoints[server] = endpoint
	}
	return endpoint
}

// SetSlots takes what a beat says: how many requests the endpoint works on at once, 0 for
// unknown, which is as many as come; and for how long it will still be slow from its
// start. More slots may let waiting requests go.
func (q *Queue) SetSlots(now monotime.Time, server ident.Server, slots int, slowStart time.Duration) []Verdict {
	endpoint := q.endpoint(server)
	endpoint.slots, endpoint.slowUntil = max(slots, 0), now.Add(max(slowStart, 0))
	return q.advance(now, endpoint)
}

// Submit brings a request. Its own word is among the acts unless it waits; others that it
// displaced may be among them too. The acts are good until the next call.
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

// Done says that a request that went is over, and how long the endpoint had it.
func (q *Queue) Done(now monotime.Time, server ident.Server, id uint64, outcome Outcome, elapsed time.Duration) []Verdict {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return nil
	}
	endpoint.done(now, id, outcome, elapsed)
	return q.advance(now, endpoint)
}

// Abandon says that nobody waits for a request any more that waits here.
func (q *Queue) Abandon(now monotime.Time, server ident.Server, id uint64) []Verdict {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return nil
	}
	endpoint.waiting = slices.DeleteFunc(endpoint.waiting, func(waiting Request) bool { return waiting.ID == id })
	return q.advance(now, endpoint)
}

// Tick rejects what can't be in time any more.
func (q *Queue) Tick(now monotime.Time) []Verdict {
	q.verdicts = q.verdicts[:0]
	for _, server := range q.sortedServers() {
		endpoint := q.endpoints[server]
		q.rejectHopeless(now, endpoint)
		q.admitOpen(now, endpoint)
	}
	return q.verdicts
}

// NextTick is when Tick next has something to do, and whether there is such a time.
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

// RejectAll rejects whoever waits for an endpoint, which leaves or is not well; what is at
// it goes on, and what it took is still learnt.
func (q *Queue) RejectAll(server ident.Server) []Verdict {
	q.verdicts = q.verdicts[:0]
	if endpoint := q.endpoints[server]; endpoint != nil {
		for _, request := range endpoint.waiting {
			q.reject(request.ID, Gone, q.settings.MinRetryAfter)
		}
		endpoint.waiting = endpoint.waiting[:0]
	}
	return q.verdicts
}

// Remove forgets an endpoint; whatever waits for it is rejected. Those that are at it
// need no Done any more.
func (q *Queue) Remove(server ident.Server) []Verdict {
	verdicts := q.RejectAll(server)
	delete(q.endpoints, server)
	return verdicts
}

// LoadReport is what to tell with a return of this endpoint; ok is false when nothing is
// known.
func (q *Queue) LoadReport(now monotime.Time, server ident.Server) (report loadreport.Report, ok bool) {
	endpoint := q.endpoints[server]
	if endpoint == nil {
		return report, false
	}
	return endpoint.loadReport(now), true
}

func (q *Queue) sortedServers() []ident.Server {
	servers := make([]ident.Server, 0, len(q.endpoints))
	for server := range q.endpoints {
		servers = append(servers, server)
	}
	slices.Sort(servers)
	return servers
}

// advance weeds a line and lets go who may go.
func (q *Queue) advance(now monotime.Time, endpoint *endpointQueue) []Verdict {
	q.verdicts = q.verdicts[:0]
	q.rejectHopeless(now, endpoint)
	q.admitOpen(now, endpoint)
	return q.verdicts
}

func (q *Queue) admitOpen(now monotime.Time, endpoint *endpointQueue) {
	for len(endpoint.waiting) > 0 && endpoint.hasOpenSlot() {
		request := endpoint.takeNext(now)
		q.Admitted++
		q.verdicts = append(q.verdicts, Verdict{ID: request.ID, Decision: Admit})
		endpoint.admit(now, request)
	}
}

func (q *Queue) rejectHopeless(now monotime.Time, endpoint *endpointQueue) {
	ahead, keep := time.Duration(0), endpoint.waiting[:0]
	for i, request := range endpoint.waiting {
		// Who goes at once is not weeded: a slot is open, so its wait is over.
		if i >= endpoint.freeSlots() {
			if reason := endpoint.rejectWaiting(now, &request, ahead); reason != "" {
				q.reject(request.ID, reason, endpoint.retryAfter(now, request))
				continue
			}
			ahead += endpoint.expectedRun(now, request.Work)
		}
		keep = append(keep, request)
	}
	endpoint.waiting = keep
}

func (q *Queue) reject(id uint64, reason Reason, retryAfter time.Duration) {
	q.Rejected[reason]++
	q.verdicts = append(q.verdicts, Verdict{ID: id, Decision: Reject, Reason: reason, RetryAfter: retryAfter})
}
