package sidecar

import (
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/path"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/reply"
)

const (
	// TargetHeader names the endpoint that is meant.
	TargetHeader = "X-Target-Server"
	// ServiceHeader names the service it is meant as.
	ServiceHeader = "X-Cottonarch-Service"
	// LimitHeader carries what is left of the request's time.
	LimitHeader = "X-Cottonarch-Limit-Ms"
	// GateHeader says what a gate's return is: an endpoint's, or the gate's own.
	GateHeader = "X-Cottonarch-Gate"
	// RepeatHeader tells a gate how far a request repeats one that ran, from 0 to 1.
	RepeatHeader = "X-Cottonarch-Repeat"
	// WantHeader tells an admission queue what a request wants; LoadReportHeader and TookHeader tell its
	// origin what the endpoint has in hand, and how many microseconds this one took.
	WantHeader       = "X-Cottonarch-Want"
	LoadReportHeader = "X-Cottonarch-Burden"
	TookHeader       = "X-Cottonarch-Took"
	// CallerHeader names the caller in the tree of allowances.
	CallerHeader = "X-Caller"
	// SessionHeader names the session, which stays on one side of a split way.
	SessionHeader = "X-Session"
	// UrgentHeader marks a request of an urgent way between sidecars.
	UrgentHeader = "X-Cottonarch-Urgent"

	gateReturn = "return"
	gateTurned = "turned-away"
	gateUnsure = "unsure"
	// gateNoRoom is a gate's word that its endpoint has no room in time.
	gateNoRoom = "bay"
	// gateShed is a gate's word that the endpoint itself turned the request away.
	gateShed = "shed"

	// soon is when a caller that was turned away for want of room may come back, in
	// seconds.
	soon = 0.1
	// endMargin is how many milliseconds sooner than the gate gives up an endpoint is told
	// to end, so that its own word is heard.
	endMargin = 10
	// sure is for how long a connection to an endpoint counts as alive without a look at
	// what happened to it meanwhile: an endpoint may forget one that is idle.
	sure = 2 * time.Second
)

// own lists the headers that the mesh itself sets; none is taken from outside.
var own = []string{TargetHeader, ServiceHeader, LimitHeader, GateHeader, UrgentHeader, RepeatHeader, WantHeader, LoadReportHeader, TookHeader, reply.FateHeader}

// strip takes the mesh's own headers out; the exchange leaves out those that belong to one
// connection.
func strip(h http.Header) http.Header {
	for _, name := range own {
		delete(h, name)
	}
	return h
}

// whole takes a request whole within the manifest's limits and the room for bodies; free
// must be called when it is over.
func (s *Sidecar) whole(r *http.Request) (body []byte, free func(), d *failure.Error) {
	most := check.Usual
	if l := s.limits.Load(); l != nil {
		most = *l
	}
	head := int64(len(r.RequestURI))
	for name, list := range r.Header {
		for _, v := range list {
			head += int64(len(name) + len(v) + 4)
		}
	}
	if head > most.HeadBytes+ownHeads {
		return nil, nil, failure.New(failure.Oversize, "a head is at most %d bytes", most.HeadBytes)
	}
	// What comes in pieces may be as large as the limit; it is counted as it is read.
	size := max(0, r.ContentLength)
	if size > most.BodyBytes {
		return nil, nil, failure.New(failure.Oversize, "a body is at most %d bytes", most.BodyBytes)
	}
	if s.bulk.Add(size) > s.Boot.Bulk && s.Boot.Bulk > 0 && size > 0 {
		s.bulk.Add(-size)
		s.Board.Add("bodies_turned_away", 1)
		return nil, nil, failure.New(failure.Busy, "too many bytes are in hand").Later(soon)
	}
	limit := most.BodyBytes
	if s.Boot.Bulk > 0 {
		limit = min(limit, max(size, s.Boot.Bulk-s.bulk.Load()+size))
	}
	if body, d = reply.Read(r, limit); d != nil {
		s.bulk.Add(-size)
		if d.Kind == failure.Oversize && limit < most.BodyBytes {
			d = failure.New(failure.Busy, "too many bytes are in hand").Later(soon)
		}
		return nil, nil, d
	}
	more := int64(len(body)) - size
	s.bulk.Add(more)
	return body, func() { s.bulk.Add(-size - more) }, nil
}

// ownHeads is what the mesh's own headers may add to a head between sidecars, in bytes.
const ownHeads = 2 << 10

// Intake is the first stage: it takes a caller's request whole, finds its way and
// queues it, or turns it away at once.
func (s *Sidecar) Intake(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.hand++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.hand--
		s.mu.Unlock()
	}()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	began := s.clock()
	body, free, d := s.whole(r)
	if d != nil {
		s.say(w, d)
		return
	}
	defer free()
	heads := s.Boot.Headers
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	who := r.Header.Get(CallerHeader)
	if who == "" {
		who = from
	}
	call := &path.Call{Host: r.Host, Path: r.URL.Path, Method: r.Method, Caller: who, Session: r.Header.Get(SessionHeader)}
	j := &job{call: call, began: began, turn: make(chan struct{})}
	j.req = exchange.Call{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: strip(r.Header), Body: body}
	if !strings.HasPrefix(j.req.Target, "/") {
		j.req.Target = r.URL.RequestURI()
	}
	if heads.Calling == "" {
		j.req.Header.Add("X-Forwarded-For", from)
	} else {
		j.req.Set = []exchange.Field{{Name: heads.Calling, Value: string(s.Boot.Own)}}
	}
	asked, _ := strconv.Atoi(r.Header.Get(heads.Limit))
	s.mu.Lock()
	d = s.path.Way(began, call, time.Duration(asked)*time.Millisecond)
	s.mu.Unlock()
	if d != nil {
		s.say(w, d)
		return
	}
	s.mu.Lock()
	taken := s.queue.Offer(s.clock(), j, call.Way.Urgent, call.Until)
	s.turns()
	s.mu.Unlock()
	if !taken {
		s.Board.Add("turned_away", 1)
		s.say(w, failure.New(failure.Busy, "too many requests are in hand").Later(soon))
		return
	}
	if !s.comesUp(j) {
		s.Board.Add("late_in_line", 1)
		s.say(w, failure.New(failure.Late, "its time was over before its turn").Later(soon))
		return
	}
	sent := s.clock()
	end := s.walk(j)
	s.mu.Lock()
	s.queue.Done(j.urgent, s.clock().Since(sent))
	s.turns() // what waited only for this one's end
	s.mu.Unlock()
	if end.ret == nil {
		s.Board.Add("ended_"+string(end.d.Kind), 1)
		s.say(w, end.d)
		return
	}
	s.Board.Add("returns", 1)
	give(w, end.ret)
}

// say tells a caller of a failure, as this surface speaks.
func (s *Sidecar) say(w http.ResponseWriter, d *failure.Error) {
	if s.Boot.Headers.Fractions {
		reply.Fine(w, d)
		return
	}
	reply.Defect(w, d)
}

// give writes a return that is already whole.
func give(w http.ResponseWriter, ret *exchange.Return) {
	h := w.Header()
	length := ret.Header.Get("Content-Length")
	maps.Copy(h, strip(ret.Header))
	if ret.Status != http.StatusNoContent && ret.Status != http.StatusNotModified {
		if len(ret.Body) > 0 || length == "" {
			length = strconv.Itoa(len(ret.Body))
		}
		h.Set("Content-Length", length)
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	w.WriteHeader(ret.Status)
	if len(ret.Body) > 0 {
		_, _ = w.Write(ret.Body)
	}
}

// comesUp waits for a job's turn, and tells whether it came within the job's time. A job
// that is late has left the queue: its turn never comes.
func (s *Sidecar) comesUp(j *job) bool {
	select {
	case <-j.turn:
		return true
	default:
	}
	late := time.NewTimer(j.call.Until.Since(s.clock()))
	defer late.Stop()
	select {
	case <-j.turn:
		return true
	case <-late.C:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.queue.Remove(func(waiting *job) bool { return waiting == j })
}

// bodiless is the failure behind a gate's word that came without one.
func bodiless(word string) *failure.Error {
	if verdicts[word].Verdict == path.NotRun {
		return failure.New(failure.Busy, "a gate turned it away").Later(soon)
	}
	return failure.Unsure(failure.LostResponse, "a gate can't tell what became of it")
}

// toEndpoint makes of a request the call of one endpoint: it names that one and the time
// that is left, and says by what the answer is known as this call's own.
func toEndpoint(heads boot.Headers, req exchange.Call, server ident.Server, until time.Time) exchange.Call {
	req.Until = until
	req.Set = append(make([]exchange.Field, 0, 4), req.Set...)
	req.Set = append(req.Set, exchange.Field{Name: TargetHeader, Value: string(server)})
	if heads.Id != "" {
		req.Set = append(req.Set, exchange.Field{Name: heads.Limit, Value: strconv.FormatInt(max(1, time.Until(until).Milliseconds()-endMargin), 10)})
		req.Seal, req.Plain = heads.Seal, true
	}
	if id := first(req.Header, heads.Id); id == "" {
		// Without an id nothing tells an unasked return on a kept connection from the one
		// that is due: each request has a connection of its own.
		req.Fresh = true
	} else {
		req.IdHeader, req.Id, req.Sure = heads.Id, id, sure
	}
	return req
}
