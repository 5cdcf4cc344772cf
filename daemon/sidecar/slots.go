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

// minSlotRetryAfter is the shortest time after which a rejected request is asked to come back,
// in seconds.
const minSlotRetryAfter = 0.01

// slotQueue is the admission queue of this machine's endpoints, and the goroutines that wait
// for its verdicts. Sidecar.mu guards it.
type slotQueue struct {
	queue   *admission.Queue
	waiters map[uint64]chan admission.Verdict // by request
	lastID  uint64
	known   map[ident.Server]bool // endpoints whose slots the queue knows
}

func newSlotQueue() slotQueue {
	return slotQueue{
		queue:   admission.New(admission.DefaultSettings()),
		waiters: map[uint64]chan admission.Verdict{},
		known:   map[ident.Server]bool{},
	}
}

// deliver hands verdicts to the goroutines that wait for them.
func (q *slotQueue) deliver(verdicts []admission.Verdict) {
	for _, verdict := range verdicts {
		if waiter := q.waiters[verdict.ID]; waiter != nil && verdict.Decision != admission.Wait {
			delete(q.waiters, verdict.ID)
			waiter <- verdict
		}
	}
}

// enqueue puts a request into an endpoint's queue; its verdict comes on the channel.
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

// sync removes endpoints that are gone from the queue, and rejects what waits for those that are
// not healthy.
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

// update takes the number of slots of an endpoint's heartbeat.
func (q *slotQueue) update(now monotime.Time, heartbeat endpoint.Heartbeat) {
	if heartbeat.State != endpoint.Alive || heartbeat.Slots <= 0 {
		return
	}
	q.known[heartbeat.Server] = true
	slowStart := time.Duration(heartbeat.SlowStartMillis * float64(time.Millisecond))
	q.deliver(q.queue.SetSlots(now, heartbeat.Server, heartbeat.Slots, slowStart))
}

// waitForSlot waits until the endpoint has a free slot for the request, or the admission queue
// rejects it, or ctx ends as its client leaves. A request that was admitted must be ended with
// releaseSlot.
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
			return 0, clientLeft()
		}
		if !ok {
			return 0, failure.New(failure.DeadlineExceeded, "the deadline passed in the admission queue")
		}
	}
	if verdict.Decision == admission.Admit {
		return id, nil
	}
	s.count(counterAdmissionRejectedPrefix + string(verdict.Reason))
	retryAfter := max(minSlotRetryAfter, verdict.RetryAfter.Seconds())
	return 0, failure.New(failure.Busy, "server %q: %s", request.server, verdict.Reason).WithRetryAfter(retryAfter)
}

// awaitVerdict waits for the verdict of the admission queue until the request's deadline, or until
// ctx ends.
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

// abandonSlot takes a request whose time is over, or whose client has left, out of the queue. If its verdict came
// meanwhile, that is given instead.
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

// releaseSlot gives back the slot of a request that was admitted.
func (s *Sidecar) releaseSlot(server ident.Server, id uint64, outcome admission.Outcome, duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.deliver(s.slots.queue.Done(s.clock(), server, id, outcome, duration))
}

// loadReport is the load of an endpoint of this machine as text, "" if its queue is not known.
func (s *Sidecar) loadReport(server ident.Server) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	report, ok := s.slots.queue.LoadReport(s.clock(), server)
	if !ok {
		return ""
	}
	return report.Text()
}

// parseLoadReport reads a load report; it is nil if there is none that can be read.
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
