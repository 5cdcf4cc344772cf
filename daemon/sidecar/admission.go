package sidecar

import (
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/attempt"
	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/mesh/loadreport"
)

// admissionHints is what a request's origin says of it to the admission queue beside its endpoint, as spans that
// remain. Invariant: as text it is seven whole numbers: rank, work, early and aim in
// microseconds, failing peers in thousandths, must, and the bytes of the answer; a release
// that knows six reads those.
type admissionHints struct {
	priority                                 int
	expectedTime, earlyTarget, latencyTarget time.Duration
	peerFailureRate                          float64
	lastResort                               bool
	responseBytes                            int
}

// hintsFor tells what a call wants at its chosen endpoint.
func hintsFor(now, receivedAt monotime.Time, call *attempt.Call, choice attempt.Decision) admissionHints {
	target := call.Route.TargetLatency
	if target <= 0 {
		target = call.Deadline.Since(receivedAt)
	}
	priority := call.Route.Priority
	return admissionHints{priority: priority, expectedTime: choice.MeanWork, earlyTarget: receivedAt.Add(target / 4).Since(now), latencyTarget: receivedAt.Add(target).Since(now), peerFailureRate: choice.PeerFailureRate, lastResort: choice.LastResort, responseBytes: choice.MeanResponseBytes}
}

func (hints admissionHints) encode() string {
	buf := make([]byte, 0, 48)
	lastResort := int64(0)
	if hints.lastResort {
		lastResort = 1
	}
	for i, value := range []int64{int64(hints.priority), hints.expectedTime.Microseconds(), hints.earlyTarget.Microseconds(), hints.latencyTarget.Microseconds(), int64(hints.peerFailureRate * 1000), lastResort, int64(hints.responseBytes)} {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = strconv.AppendInt(buf, value, 10)
	}
	return string(buf)
}

// parseHints reads the text; what can't be read wants nothing special.
func parseHints(text string) (hints admissionHints) {
	var fields [7]int64
	for i := range fields {
		part, rest, _ := strings.Cut(text, ",")
		fields[i], _ = strconv.ParseInt(part, 10, 64)
		text = rest
	}
	microseconds := func(value int64) time.Duration {
		return time.Duration(min(max(value, -1<<40), 1<<40)) * time.Microsecond
	}
	return admissionHints{priority: int(min(max(fields[0], 0), 1000)), expectedTime: max(0, microseconds(fields[1])), earlyTarget: microseconds(fields[2]), latencyTarget: microseconds(fields[3]), peerFailureRate: float64(min(max(fields[4], 0), 1000)) / 1000, lastResort: fields[5] == 1, responseBytes: int(min(max(fields[6], 0), 1<<30))}
}

// request makes the admission queue's question of it; a span of nought is never.
func (hints admissionHints) request(now monotime.Time, id uint64, deadline monotime.Time) admission.Request {
	return admission.Request{ID: id, Rank: hints.priority, Work: hints.expectedTime, FreeRejectUntil: now.Add(hints.earlyTarget), Target: now.Add(hints.latencyTarget), Deadline: deadline, PeerFailureRate: hints.peerFailureRate, LastResort: hints.lastResort}
}

// deliverVerdicts tells those who wait what becomes of them; mu is held.
func (s *Sidecar) deliverVerdicts(verdicts []admission.Verdict) {
	for _, verdict := range verdicts {
		if waiter := s.waiters[verdict.ID]; waiter != nil && verdict.Decision != admission.Wait {
			delete(s.waiters, verdict.ID)
			waiter <- verdict
		}
	}
}

// waitForSlot waits until the endpoint has room for the request, or the admission queue rejects
// it. The caller must call releaseSlot when it was admitted.
func (s *Sidecar) waitForSlot(deadline time.Time, server ident.Server, hints admissionHints) (id uint64, fail *failure.Error) {
	verdicts := make(chan admission.Verdict, 1)
	s.mu.Lock()
	now := s.clock()
	s.lastWaiter++
	id = s.lastWaiter
	s.waiters[id] = verdicts
	s.deliverVerdicts(s.admission.Submit(now, server, hints.request(now, id, now.Add(time.Until(deadline)))))
	s.mu.Unlock()
	verdict, ok := s.awaitVerdict(verdicts, deadline)
	if !ok {
		s.mu.Lock()
		if delete(s.waiters, id); len(verdicts) == 0 {
			s.deliverVerdicts(s.admission.Abandon(s.clock(), server, id))
			s.mu.Unlock()
			return 0, failure.New(failure.DeadlineExceeded, "no room in time")
		}
		s.mu.Unlock()
		verdict = <-verdicts
	}
	if verdict.Decision == admission.Admit {
		return id, nil
	}
	s.Metrics.Add("bay_turned_away_"+string(verdict.Reason), 1)
	return 0, failure.New(failure.Busy, "server %q: %s", server, verdict.Reason).WithRetryAfter(max(0.01, verdict.RetryAfter.Seconds()))
}

// awaitVerdict waits for the admission queue's word until the request's time is over.
func (s *Sidecar) awaitVerdict(verdicts chan admission.Verdict, deadline time.Time) (verdict admission.Verdict, ok bool) {
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
		return verdict, false
	}
}

// releaseSlot says that a request that was admitted is over.
func (s *Sidecar) releaseSlot(server ident.Server, slot uint64, outcome admission.Outcome, duration time.Duration) {
	s.mu.Lock()
	s.deliverVerdicts(s.admission.Done(s.clock(), server, slot, outcome, duration))
	s.mu.Unlock()
}

// syncAdmission keeps the admission queue to what the gate knows; mu is held.
func (s *Sidecar) syncAdmission() {
	present := map[ident.Server]bool{}
	for _, workload := range s.endpoints.Workloads() {
		present[workload.UID] = true
		if workload.Status != record.Healthy {
			s.deliverVerdicts(s.admission.RejectAll(workload.UID))
		}
	}
	for id := range s.admitting {
		if !present[id] {
			s.deliverVerdicts(s.admission.Remove(id))
			delete(s.admitting, id)
		}
	}
}

// updateSlots takes what a heartbeat says of an endpoint's room; mu is held.
func (s *Sidecar) updateSlots(now monotime.Time, heartbeat endpoint.Heartbeat) {
	if heartbeat.State == endpoint.Alive && heartbeat.Slots > 0 {
		s.admitting[heartbeat.Server] = true
		s.deliverVerdicts(s.admission.SetSlots(now, heartbeat.Server, heartbeat.Slots, time.Duration(heartbeat.SlowStartMillis*float64(time.Millisecond))))
	}
}

// loadReport is what a gate tells of its endpoint with a response.
func (s *Sidecar) loadReport(server ident.Server) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	report, ok := s.admission.LoadReport(s.clock(), server)
	if !ok {
		return ""
	}
	return report.Text()
}

// parseLoadReport reads it.
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
