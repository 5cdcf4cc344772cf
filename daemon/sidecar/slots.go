package sidecar

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

// minSlotRetryAfter is the minimum Retry-After, in seconds, of a request that the admission queue
// rejects.
const minSlotRetryAfter = 0.01

// slotQueue holds the admission queue of this machine's endpoints and the goroutines that wait for
// its verdicts. Sidecar.mu guards it.
type slotQueue struct {
	queue   *admission.Queue
	waiters map[uint64]chan admission.Verdict // by request id
	lastID  uint64
	known   map[ident.Server]bool // endpoints whose number of slots the queue has
}

func newSlotQueue() slotQueue {
	return slotQueue{
		queue:   admission.New(admission.DefaultSettings()),
		waiters: map[uint64]chan admission.Verdict{},
		known:   map[ident.Server]bool{},
	}
}

// deliver passes verdicts to the goroutines that wait for them.
func (q *slotQueue) deliver(verdicts []admission.Verdict) {
	for _, verdict := range verdicts {
		if waiter := q.waiters[verdict.ID]; waiter != nil && verdict.Decision != admission.Wait {
			delete(q.waiters, verdict.ID)
			waiter <- verdict
		}
	}
}

// enqueue adds a request to an endpoint's queue; the verdict is sent on the returned channel.
func (q *slotQueue) enqueue(
	now monotime.Time, server ident.Server, hints admissionHints, deadline monotime.Time,
) (id uint64, verdicts chan admission.Verdict) {
	verdicts = make(chan admission.Verdict, 1)
	q.lastID++
	id = q.lastID
	q.waiters[id] = verdicts
	q.deliver(q.queue.Submit(now, server, hints.request(now, id, deadline)))
	return id, verdicts
}

// sync removes endpoints that no longer exist from the queue, and rejects the requests that wait
// for unhealthy endpoints.
func (q *slotQueue) sync(workloads []record.Workload) {
	present := map[ident.Server]bool{}
	for _, workload := range workloads {
		present[workload.UID] = true
		if workload.Status != record.Healthy {
			q.deliver(q.queue.RejectAll(workload.UID))
		}
	}
	for server := range q.known {
		if !present[server] {
			q.deliver(q.queue.Remove(server))
			delete(q.known, server)
		}
	}
}

// update applies the number of slots in an endpoint's heartbeat.
func (q *slotQueue) update(now monotime.Time, heartbeat endpoint.Heartbeat) {
	if heartbeat.State != endpoint.Alive || heartbeat.Slots <= 0 {
		return
	}
	q.known[heartbeat.Server] = true
	slowStart := time.Duration(heartbeat.SlowStartMillis * float64(time.Millisecond))
	q.deliver(q.queue.SetSlots(now, heartbeat.Server, heartbeat.Slots, slowStart))
}

// waitForSlot waits until the endpoint has a free slot for the request, the admission queue rejects
// the request, or ctx is done because its client disconnected. An admitted request must be ended
// with releaseSlot.
func (s *Sidecar) waitForSlot(ctx context.Context, request endpointRequest) (id uint64, fail *failure.Error) {
	s.mu.Lock()
	now := s.clock()
	deadline := now.Add(time.Until(request.deadline))
	id, verdicts := s.slots.enqueue(now, request.server, request.hints, deadline)
	s.mu.Unlock()
	verdict, ok := awaitVerdict(ctx, verdicts, request.deadline)
	if !ok {
		verdict, ok = s.cancelSlotWait(request.server, id, verdicts)
		if !ok && ctx.Err() != nil {
			return 0, clientDisconnected()
		}
		if !ok {
			return 0, failure.New(failure.DeadlineExceeded, "the deadline passed while the request was in the admission queue")
		}
	}
	if verdict.Decision == admission.Admit {
		return id, nil
	}
	s.count(counterAdmissionRejectedPrefix + string(verdict.Reason))
	retryAfter := max(minSlotRetryAfter, verdict.RetryAfter.Seconds())
	return 0, failure.New(failure.Busy, "the admission queue of server %q rejected the request: %s", request.server, verdict.Reason).WithRetryAfter(retryAfter)
}

// awaitVerdict waits for the verdict of the admission queue until the request's deadline, or until
// ctx is done.
func awaitVerdict(ctx context.Context, verdicts chan admission.Verdict, deadline time.Time) (verdict admission.Verdict, ok bool) {
	select {
	case verdict = <-verdicts:
		return verdict, true
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case verdict = <-verdicts:
		return verdict, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return verdict, false
}

// cancelSlotWait removes a request from the queue after its deadline or after its client
// disconnected. If the verdict has arrived in the meantime, the verdict is returned instead.
func (s *Sidecar) cancelSlotWait(server ident.Server, id uint64, verdicts chan admission.Verdict) (verdict admission.Verdict, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.slots.waiters, id)
	if len(verdicts) > 0 {
		return <-verdicts, true
	}
	s.slots.deliver(s.slots.queue.Abandon(s.clock(), server, id))
	return verdict, false
}

// releaseSlot releases the slot of an admitted request.
func (s *Sidecar) releaseSlot(server ident.Server, id uint64, outcome admission.Outcome, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.deliver(s.slots.queue.Done(s.clock(), server, id, outcome, duration))
}

// loadReport returns the encoded load report of an endpoint of this machine, or "" if the queue
// does not have the endpoint.
func (s *Sidecar) loadReport(server ident.Server) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	report, ok := s.slots.queue.LoadReport(s.clock(), server)
	if !ok {
		return ""
	}
	return report.Text()
}

// parseLoadReport decodes a load report; it returns nil if the report is missing or malformed.
func parseLoadReport(text string) *loadreport.Report {
	if text == "" {
		return nil
	}
	report, fail := loadreport.Parse(text)
	if fail != nil {
		return nil
	}
	return &report
}
