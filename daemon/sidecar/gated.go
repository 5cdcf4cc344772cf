package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/reply"
)

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
	ms, err := strconv.Atoi(r.Header.Get(LimitHeader))
	if err != nil || ms <= 0 {
		turn(gateTurned, failure.New(failure.Late, "no time is left"))
		return true
	}
	until := time.Now().Add(time.Duration(ms) * time.Millisecond)
	want, again := wantOf(r.Header.Get(WantHeader)), 0.0
	received, d := s.bodyAdmits(r.ContentLength)
	if d != nil {
		turn(gateNoRoom, d)
		return true
	}
	body, free, d := s.whole(r)
	received()
	if d != nil {
		turn(gateTurned, d)
		return true
	}
	defer free()
	if x := r.Header.Get(RepeatHeader); x != "" {
		again, _ = strconv.ParseFloat(x, 64)
	}
	req := exchange.Call{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: strip(r.Header), Body: body}
	if d := s.linkAdmits(want); d != nil {
		w.Header()[LoadReportHeader] = []string{s.loadReport(ident.Server(server))}
		turn(gateNoRoom, d)
		return true
	}
	got := s.pass(until, ident.Server(server), ident.Service(service), req, min(1, max(0, again)), want)
	s.linkSent(want, got.ret)
	if got.told != "" {
		w.Header()[LoadReportHeader] = []string{got.told}
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
	told string        // the endpoint's load report, as text
	took time.Duration // how long the endpoint had it
}

// pass is the gate: it asks whether the endpoint is still the one that is meant, waits
// for its turn in the admission queue, and asks again before the first byte. The word says what became
// of the request: gateTurned and gateNoRoom that certainly nothing of it left for the
// endpoint, gateShed that the endpoint said itself that it did not run it.
func (s *Sidecar) pass(until time.Time, server ident.Server, service ident.Service, req exchange.Call, again float64, w want) (out passed) {
	turn := func(word string, d *failure.Error) passed {
		return passed{word: word, d: d, told: s.loadReport(server)}
	}
	s.mu.Lock()
	_, _, d := s.gate.Pass(s.clock(), server, service)
	s.mu.Unlock()
	if d != nil {
		return passed{word: gateTurned, d: d}
	}
	id, d := s.waitForSlot(until, server, w)
	if d != nil {
		return turn(gateNoRoom, d)
	}
	end, took := admission.GivenUp, time.Duration(0)
	defer func() {
		s.releaseSlot(server, id, end, took)
		out.told, out.took = s.loadReport(server), took
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
		if end = admission.Failed; d.Kind == failure.Late {
			end, took = admission.GivenUp, s.clock().Since(began)
		}
		return turn(gateUnsure, d)
	case d != nil:
		return turn(gateTurned, d)
	}
	out.ret, out.word, out.d = judge(heads, ret)
	switch {
	case out.word == gateShed:
	case out.word != gateReturn || ret.Status >= 500 && ret.Status != http.StatusGatewayTimeout:
		end = admission.Failed
	case ret.Status == http.StatusGatewayTimeout:
		took = s.clock().Since(began)
	default:
		end, took = admission.Served, s.clock().Since(began)
	}
	return out
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
