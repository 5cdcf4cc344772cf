package sidecar

import (
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// want is what a request's origin says of it to the admission queue beside its endpoint, as spans that
// remain. Invariant: as text it is seven whole numbers: rank, work, early and aim in
// microseconds, failing peers in thousandths, must, and the bytes of the answer; a release
// that knows six reads those.
type want struct {
	rank             int
	work, early, aim time.Duration
	peers            float64
	must             bool
	bytes            int
}

// wanted tells what a call wants at its chosen endpoint.
func wanted(now, began monotime.Time, call *path.Call, c path.Choice) want {
	aim := call.Way.Aim
	if aim <= 0 {
		aim = call.Until.Since(began)
	}
	rank := call.Way.Rank
	return want{rank: rank, work: c.Work, early: began.Add(aim / 4).Since(now), aim: began.Add(aim).Since(now), peers: c.Peers, must: c.Must, bytes: c.Bytes}
}

func (w want) text() string {
	b := make([]byte, 0, 48)
	must := int64(0)
	if w.must {
		must = 1
	}
	for i, n := range []int64{int64(w.rank), w.work.Microseconds(), w.early.Microseconds(), w.aim.Microseconds(), int64(w.peers * 1000), must, int64(w.bytes)} {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, n, 10)
	}
	return string(b)
}

// wantOf reads the text; what can't be read wants nothing special.
func wantOf(text string) (w want) {
	var n [7]int64
	for i := range n {
		part, rest, _ := strings.Cut(text, ",")
		n[i], _ = strconv.ParseInt(part, 10, 64)
		text = rest
	}
	micro := func(x int64) time.Duration { return time.Duration(min(max(x, -1<<40), 1<<40)) * time.Microsecond }
	return want{rank: int(min(max(n[0], 0), 1000)), work: max(0, micro(n[1])), early: micro(n[2]), aim: micro(n[3]), peers: float64(min(max(n[4], 0), 1000)) / 1000, must: n[5] == 1, bytes: int(min(max(n[6], 0), 1<<30))}
}

// ask makes the admission queue's question of it; a span of nought is never.
func (w want) ask(now monotime.Time, id uint64, until monotime.Time) admission.Request {
	return admission.Request{ID: id, Rank: w.rank, Work: w.work, Early: now.Add(w.early), Aim: now.Add(w.aim), Until: until, PeerFailureRate: w.peers, LastResort: w.must}
}

// tellWaiters tells those who wait what becomes of them; mu is held.
func (s *Sidecar) tellWaiters(list []admission.Verdict) {
	for _, a := range list {
		if ch := s.waiters[a.ID]; ch != nil && a.Decision != admission.Wait {
			delete(s.waiters, a.ID)
			ch <- a
		}
	}
}

// waitForSlot waits until the endpoint has room for the request, or the admission queue rejects
// it. The caller must call releaseSlot when it was admitted.
func (s *Sidecar) waitForSlot(until time.Time, server ident.Server, w want) (id uint64, d *failure.Error) {
	ch := make(chan admission.Verdict, 1)
	s.mu.Lock()
	now := s.clock()
	s.lastWaiter++
	id = s.lastWaiter
	s.waiters[id] = ch
	s.tellWaiters(s.admission.Offer(now, server, w.ask(now, id, now.Add(time.Until(until)))))
	s.mu.Unlock()
	a, ok := s.awaitVerdict(ch, until)
	if !ok {
		s.mu.Lock()
		if delete(s.waiters, id); len(ch) == 0 {
			s.tellWaiters(s.admission.Abandon(s.clock(), server, id))
			s.mu.Unlock()
			return 0, failure.New(failure.Late, "no room in time")
		}
		s.mu.Unlock()
		a = <-ch
	}
	if a.Decision == admission.Admit {
		return id, nil
	}
	s.Board.Add("bay_turned_away_"+string(a.Reason), 1)
	return 0, failure.New(failure.Busy, "server %q: %s", server, a.Reason).Later(max(0.01, a.RetryAfter.Seconds()))
}

// awaitVerdict waits for the admission queue's word until the request's time is over.
func (s *Sidecar) awaitVerdict(ch chan admission.Verdict, until time.Time) (a admission.Verdict, ok bool) {
	select {
	case a = <-ch:
		return a, true
	default:
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case a = <-ch:
		return a, true
	case <-t.C:
		return a, false
	}
}

// releaseSlot says that a request that was admitted is over.
func (s *Sidecar) releaseSlot(server ident.Server, id uint64, end admission.Outcome, took time.Duration) {
	s.mu.Lock()
	s.tellWaiters(s.admission.Done(s.clock(), server, id, end, took))
	s.mu.Unlock()
}

// syncAdmission keeps the admission queue to what the gate knows; mu is held.
func (s *Sidecar) syncAdmission() {
	here := map[ident.Server]bool{}
	for _, w := range s.gate.Workloads() {
		here[w.UID] = true
		if w.Status != record.Healthy {
			s.tellWaiters(s.admission.RejectAll(w.UID))
		}
	}
	for id := range s.admitting {
		if !here[id] {
			s.tellWaiters(s.admission.Remove(id))
			delete(s.admitting, id)
		}
	}
}

// endpointBeat takes what a heartbeat says of an endpoint's room; mu is held.
func (s *Sidecar) endpointBeat(now monotime.Time, b gate.Beat) {
	if b.State == gate.Alive && b.Slots > 0 {
		s.admitting[b.Server] = true
		s.tellWaiters(s.admission.SetSlots(now, b.Server, b.Slots, time.Duration(b.Cold*float64(time.Millisecond))))
	}
}

// loadReport is what a gate tells of its endpoint with a response.
func (s *Sidecar) loadReport(server ident.Server) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.admission.LoadReport(s.clock(), server)
	if !ok {
		return ""
	}
	return b.Text()
}

// heard reads it.
func heard(text string) *loadreport.Report {
	if text == "" {
		return nil
	}
	b, d := loadreport.Parse(text)
	if d != nil {
		return nil
	}
	return &b
}
