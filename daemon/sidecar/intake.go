package sidecar

import (
	"context"
	"encoding/json"
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
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/mesh/bay"
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
	// WantHeader tells a bay what a request wants; BurdenHeader and TookHeader tell its
	// origin what the endpoint has in hand, and how many microseconds this one took.
	WantHeader   = "X-Cottonarch-Want"
	BurdenHeader = "X-Cottonarch-Burden"
	TookHeader   = "X-Cottonarch-Took"
	// CallerHeader names the caller in the tree of allowances.
	CallerHeader = "X-Caller"
	// SessionHeader names the session, which stays on one side of a split way.
	SessionHeader = "X-Session"
	// UrgentHeader marks a request of an urgent way between sidecars.
	UrgentHeader = "X-Cottonarch-Urgent"

	gateReturn = "return"
	gateTurned = "turned-away"
	gateUnsure = "unsure"
	// gateBay is a gate's word that its endpoint has no room in time.
	gateBay = "bay"
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
var own = []string{TargetHeader, ServiceHeader, LimitHeader, GateHeader, UrgentHeader, RepeatHeader, WantHeader, BurdenHeader, TookHeader, reply.FateHeader}

// job is one request between the stages. Invariant: turn is closed once, when the
// request may be sent; who waits for it then walks with it.
type job struct {
	call   *path.Call
	began  monotime.Time
	req    exchange.Call
	urgent bool
	turn   chan struct{}
}

// ending is how a walk ended. Invariant: without ret there is d.
type ending struct {
	ret *exchange.Return
	d   *failure.Error
}

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
// puts it in line, or turns it away at once.
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
	taken := s.line.Offer(s.clock(), j, call.Way.Urgent, call.Until)
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
	s.line.Done(j.urgent, s.clock().Since(sent))
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

// turns is the sending stage: whoever comes next in line is sent while there is room. mu
// is held. What is in line when the duties end is sent as well: a planned stop waits for
// it.
func (s *Sidecar) turns() {
	for {
		j, urgent, ok := s.line.Next()
		if !ok {
			return
		}
		j.urgent = urgent
		close(j.turn)
	}
}

// comesUp waits for a job's turn, and tells whether it came within the job's time. A job
// that is late has left the line: its turn never comes.
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
	return !s.line.Quit(func(waiting *job) bool { return waiting == j })
}

// walk tries until there is a return, or nothing more may be tried.
func (s *Sidecar) walk(j *job) ending {
	var last *exchange.Return // an endpoint's own word that it failed, while others are tried
	for {
		s.mu.Lock()
		choice := s.path.Next(s.clock(), j.call)
		s.mu.Unlock()
		if choice.Failure != nil {
			return ending{ret: last, d: choice.Failure}
		}
		ret, end := s.try(j, choice)
		s.mu.Lock()
		again := s.path.Ended(s.clock(), j.call, end)
		if end.Verdict != path.Ran && !again {
			d := s.path.Final(j.call)
			s.mu.Unlock()
			return ending{ret: last, d: d}
		}
		s.mu.Unlock()
		if end.Verdict == path.Ran {
			if last = ret; !again {
				return ending{ret: ret}
			}
		}
	}
}

// try sends once: to the gate here, or to that of the endpoint's machine.
func (s *Sidecar) try(j *job, c path.Choice) (*exchange.Return, path.End) {
	until := time.Now().Add(c.Limit)
	w := wanted(s.clock(), j.began, j.call, c)
	if c.Entry.Gate == s.Boot.Addr {
		got := s.pass(until, c.Entry.UID, c.Entry.Service, j.req, c.Repeat, w)
		end := verdict(got.d, got.word)
		end.Told, end.Took = heard(got.told), got.took
		return sized(j, got.ret, end)
	}
	req := j.req
	req.Until = until
	// The gate gives up a little before this side does, so that its word is heard.
	limit := strconv.FormatInt((c.Limit - min(c.Limit/10, 20*time.Millisecond)).Milliseconds(), 10)
	req.Set = append(make([]exchange.Field, 0, 8), j.req.Set...)
	req.Set = append(req.Set, exchange.Field{Name: TargetHeader, Value: string(c.Entry.UID)}, exchange.Field{Name: ServiceHeader, Value: string(c.Entry.Service)},
		exchange.Field{Name: LimitHeader, Value: limit}, exchange.Field{Name: WantHeader, Value: w.text()})
	if j.call.Way.Urgent {
		req.Set = append(req.Set, exchange.Field{Name: UrgentHeader, Value: "1"})
	}
	if c.Repeat > 0 {
		req.Set = append(req.Set, exchange.Field{Name: RepeatHeader, Value: strconv.FormatFloat(c.Repeat, 'f', 3, 64)})
	}
	ret, sent, d := s.peers.Do(context.Background(), c.Entry.Gate, req)
	if d != nil {
		if !sent {
			return nil, path.End{Verdict: path.NotRun, Failure: d, Lost: true}
		}
		return nil, path.End{Verdict: path.Unsure, Failure: d, Lost: d.Kind == failure.LostResponse}
	}
	return read(j, ret)
}

// headBytes is about what the heads of a request and its return take between sidecars.
const headBytes = 800

// sized adds what a return itself tells of its end.
func sized(j *job, ret *exchange.Return, end path.End) (*exchange.Return, path.End) {
	if ret != nil {
		end.Bad, end.Size = ret.Status >= 500, int64(len(j.req.Body)+len(ret.Body)+headBytes)
	}
	return ret, end
}

// read tells a gate's own word from an endpoint's return that it passes on.
func read(j *job, ret *exchange.Return) (*exchange.Return, path.End) {
	word := ret.Header.Get(GateHeader)
	told := heard(ret.Header.Get(BurdenHeader))
	if word == gateReturn {
		micro, _ := strconv.ParseInt(ret.Header.Get(TookHeader), 10, 64)
		return sized(j, ret, path.End{Verdict: path.Ran, Told: told, Took: time.Duration(max(0, micro)) * time.Microsecond})
	}
	d := &failure.Error{}
	if _, known := verdicts[word]; known && j.req.Method == http.MethodHead {
		d = bodiless(word)
	} else if err := json.Unmarshal(ret.Body, d); err != nil || d.Kind == "" || word == "" {
		return nil, path.End{Verdict: path.Unsure, Failure: failure.Unsure(failure.BadResponse, "the gate's return can't be read")}
	}
	end := verdict(d, word)
	end.Told = told
	return nil, end
}

// bodiless is the failure behind a gate's word that came without one.
func bodiless(word string) *failure.Error {
	if verdicts[word].Verdict == path.NotRun {
		return failure.New(failure.Busy, "a gate turned it away").Later(soon)
	}
	return failure.Unsure(failure.LostResponse, "a gate can't tell what became of it")
}

// verdicts says what each word of a gate means.
var verdicts = map[string]path.End{
	gateReturn: {Verdict: path.Ran},
	gateTurned: {Verdict: path.NotRun, Turned: true},
	gateBay:    {Verdict: path.NotRun, Turned: true, Shed: true},
	gateShed:   {Verdict: path.NotRun, Arrived: true},
	gateUnsure: {Verdict: path.Unsure},
}

func verdict(d *failure.Error, word string) path.End {
	end, ok := verdicts[word]
	if !ok {
		end = verdicts[gateUnsure]
	}
	end.Failure = d
	return end
}

// Gated serves another sidecar's request for an endpoint of this machine; it answers
// false when the request is none.
func (s *Sidecar) Gated(w http.ResponseWriter, r *http.Request) bool {
	server, service := r.Header.Get(TargetHeader), r.Header.Get(ServiceHeader)
	if server == "" || service == "" {
		return false
	}
	turn := func(word string, d *failure.Error) {
		w.Header().Set(GateHeader, word)
		reply.Defect(w, d)
	}
	s.mu.Lock()
	most := s.Boot.Hand
	if r.Header.Get(UrgentHeader) == "" {
		most -= most / 4 // a quarter is kept for urgent ways
	}
	full := s.hand >= most
	if !full {
		s.hand++
	}
	s.mu.Unlock()
	if full {
		turn(gateTurned, failure.New(failure.Busy, "too many requests are in hand at %s", s.Boot.Node))
		return true
	}
	defer func() {
		s.mu.Lock()
		s.hand--
		s.mu.Unlock()
	}()
	body, free, d := s.whole(r)
	if d != nil {
		turn(gateTurned, d)
		return true
	}
	defer free()
	ms, err := strconv.Atoi(r.Header.Get(LimitHeader))
	if err != nil || ms <= 0 {
		turn(gateTurned, failure.New(failure.Late, "no time is left"))
		return true
	}
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	want, again := wantOf(r.Header.Get(WantHeader)), 0.0
	if x := r.Header.Get(RepeatHeader); x != "" {
		again, _ = strconv.ParseFloat(x, 64)
	}
	req := exchange.Call{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: strip(r.Header), Body: body}
	if d := s.linkAdmits(want); d != nil {
		w.Header()[BurdenHeader] = []string{s.burden(ident.Server(server))}
		turn(gateBay, d)
		return true
	}
	got := s.pass(until, ident.Server(server), ident.Service(service), req, min(1, max(0, again)), want)
	s.linkSent(want, got.ret)
	if got.told != "" {
		w.Header()[BurdenHeader] = []string{got.told}
	}
	if got.d != nil {
		turn(got.word, got.d)
		return true
	}
	w.Header()[GateHeader] = []string{gateReturn}
	w.Header()[TookHeader] = []string{strconv.FormatInt(got.took.Microseconds(), 10)}
	give(w, got.ret)
	return true
}

// passed is what became of a request at the gate. Invariant: ret is set if and only if
// word is gateReturn, and d if and only if it is not.
type passed struct {
	ret  *exchange.Return
	word string
	d    *failure.Error
	told string        // the endpoint's burden, as text
	took time.Duration // how long the endpoint had it
}

// pass is the gate: it asks whether the endpoint is still the one that is meant, waits
// for its turn in the bay, and asks again before the first byte. The word says what became
// of the request: gateTurned and gateBay that certainly nothing of it left for the
// endpoint, gateShed that the endpoint said itself that it did not run it.
func (s *Sidecar) pass(until time.Time, server ident.Server, service ident.Service, req exchange.Call, again float64, w want) (out passed) {
	turn := func(word string, d *failure.Error) passed {
		return passed{word: word, d: d, told: s.burden(server)}
	}
	s.mu.Lock()
	_, _, d := s.gate.Pass(s.clock(), server, service)
	s.mu.Unlock()
	if d != nil {
		return passed{word: gateTurned, d: d}
	}
	id, d := s.berth(until, server, w)
	if d != nil {
		return turn(gateBay, d)
	}
	end, took := bay.Over, time.Duration(0)
	defer func() {
		s.leave(server, id, end, took)
		out.told, out.took = s.burden(server), took
	}()
	s.mu.Lock()
	addr, _, d := s.gate.Pass(s.clock(), server, service)
	if d == nil && !s.path.Tree.Begin(s.clock(), again) {
		d = failure.New(failure.Busy, "a repeat has no room below").Later(soon)
	}
	if d == nil {
		s.gate.Hand(server, 1)
	}
	if m := s.path.Manifest(); m != nil {
		req.Conns = m.Services[service].Connections
	}
	s.mu.Unlock()
	if d != nil {
		return turn(gateTurned, d)
	}
	defer func() {
		s.mu.Lock()
		s.path.Tree.End(again)
		s.gate.Hand(server, -1)
		s.mu.Unlock()
	}()
	heads := s.Boot.Headers
	req = toEndpoint(heads, req, server, until)
	req.Last = func() *failure.Error {
		s.mu.Lock()
		defer s.mu.Unlock()
		now, _, d := s.gate.Pass(s.clock(), server, service)
		if d == nil && now != addr {
			d = failure.New(failure.Gate, "server %q has moved", server)
		}
		return d
	}
	began := s.clock()
	ret, sent, d := s.ends.Do(context.Background(), addr, req)
	if d != nil && d.Kind == failure.Unreached {
		s.mu.Lock()
		s.changed(s.gate.Failed(s.clock(), server))
		s.mu.Unlock()
	}
	switch {
	case d != nil && sent:
		if end = bay.Failed; d.Kind == failure.Late {
			end, took = bay.Over, s.clock().Since(began)
		}
		return turn(gateUnsure, d)
	case d != nil:
		return turn(gateTurned, d)
	}
	out.ret, out.word, out.d = judge(heads, ret)
	switch {
	case out.word == gateShed:
	case out.word != gateReturn || ret.Status >= 500 && ret.Status != http.StatusGatewayTimeout:
		end = bay.Failed
	case ret.Status == http.StatusGatewayTimeout:
		took = s.clock().Since(began)
	default:
		end, took = bay.Served, s.clock().Since(began)
	}
	return out
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

// judge tells an endpoint's return from its word that it did not run the request. That it
// is a return to this request, sealed and whole, the exchange has seen to.
func judge(heads boot.Headers, ret *exchange.Return) (*exchange.Return, string, *failure.Error) {
	if ret.Status == http.StatusMisdirectedRequest || heads.NotRun != "" && first(ret.Header, heads.NotRun) != "" {
		return nil, gateShed, failure.New(failure.Busy, "the endpoint turned it away").Later(soon)
	}
	return ret, gateReturn, nil
}

// first is Header.Get for a name in canonical form.
func first(h http.Header, name string) string {
	if v := h[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}
