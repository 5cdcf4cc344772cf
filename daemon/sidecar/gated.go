package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/response"
)

// ServePeer serves another sidecar's request for an endpoint of this machine; it answers
// false when the request is none.
func (s *Sidecar) ServePeer(w http.ResponseWriter, r *http.Request) bool {
	server, service := r.Header.Get(TargetHeader), r.Header.Get(ServiceHeader)
	if server == "" || service == "" {
		return false
	}
	reject := func(resultCode string, fail *failure.Error) {
		w.Header().Set(PeerResultHeader, resultCode)
		response.WriteError(w, fail)
	}
	s.mu.Lock()
	limit := s.Settings.MaxInFlight
	if r.Header.Get(UrgentHeader) == "" {
		limit -= limit / 4 // a quarter is kept for urgent ways
	}
	atLimit := s.inFlight >= limit
	if !atLimit {
		s.inFlight++
	}
	s.mu.Unlock()
	if atLimit {
		reject(resultRejected, failure.New(failure.Busy, "too many requests are in hand at %s", s.Settings.Node))
		return true
	}
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	limitMs, err := strconv.Atoi(r.Header.Get(LimitHeader))
	if err != nil || limitMs <= 0 {
		reject(resultRejected, failure.New(failure.DeadlineExceeded, "no time is left"))
		return true
	}
	deadline := time.Now().Add(time.Duration(limitMs) * time.Millisecond)
	hints, retryFraction := parseHints(r.Header.Get(AdmissionHintsHeader)), 0.0
	received, fail := s.reserveInbound(r.ContentLength)
	if fail != nil {
		reject(resultNoCapacity, fail)
		return true
	}
	body, release, fail := s.readRequest(r)
	received()
	if fail != nil {
		reject(resultRejected, fail)
		return true
	}
	defer release()
	if fraction := r.Header.Get(RetryFractionHeader); fraction != "" {
		retryFraction, _ = strconv.ParseFloat(fraction, 64)
	}
	call := exchange.Call{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: stripMeshHeaders(r.Header), Body: body}
	if fail := s.reserveOutbound(hints); fail != nil {
		w.Header()[LoadReportHeader] = []string{s.loadReport(ident.Server(server))}
		reject(resultNoCapacity, fail)
		return true
	}
	result := s.sendToEndpoint(deadline, ident.Server(server), ident.Service(service), call, min(1, max(0, retryFraction)), hints)
	s.releaseOutbound(hints, result.response)
	if result.loadReport != "" {
		w.Header()[LoadReportHeader] = []string{result.loadReport}
	}
	if result.failure != nil {
		reject(result.result, result.failure)
		return true
	}
	w.Header()[PeerResultHeader] = []string{resultResponse}
	w.Header()[TookHeader] = []string{strconv.FormatInt(result.duration.Microseconds(), 10)}
	writeResponse(w, result.response)
	return true
}

// endpointResult is what became of a request at the gate. Invariant: ret is set if and only if
// word is gateReturn, and d if and only if it is not.
type endpointResult struct {
	response   *exchange.Response
	result     string
	failure    *failure.Error
	loadReport string        // the endpoint's load report, as text
	duration   time.Duration // how long the endpoint had it
}

// sendToEndpoint is the gate: it asks whether the endpoint is still the one that is meant, waits
// for its turn in the admission queue, and asks again before the first byte. The word says what became
// of the request: gateTurned and gateNoRoom that certainly nothing of it left for the
// endpoint, gateShed that the endpoint said itself that it did not run it.
func (s *Sidecar) sendToEndpoint(deadline time.Time, server ident.Server, service ident.Service, call exchange.Call, retryFraction float64, hints admissionHints) (result endpointResult) {
	reject := func(resultCode string, fail *failure.Error) endpointResult {
		return endpointResult{result: resultCode, failure: fail, loadReport: s.loadReport(server)}
	}
	s.mu.Lock()
	_, _, fail := s.endpoints.Check(s.clock(), server, service)
	s.mu.Unlock()
	if fail != nil {
		return endpointResult{result: resultRejected, failure: fail}
	}
	slot, fail := s.waitForSlot(deadline, server, hints)
	if fail != nil {
		return reject(resultNoCapacity, fail)
	}
	outcome, duration := admission.GivenUp, time.Duration(0)
	defer func() {
		s.releaseSlot(server, slot, outcome, duration)
		result.loadReport, result.duration = s.loadReport(server), duration
	}()
	s.mu.Lock()
	addr, _, fail := s.endpoints.Check(s.clock(), server, service)
	if fail == nil && !s.router.RetryBudget.BeginRun(s.clock(), retryFraction) {
		fail = failure.New(failure.Busy, "a repeat has no room below").WithRetryAfter(retryAfterSeconds)
	}
	if fail == nil {
		s.endpoints.AddInFlight(server, 1)
	}
	if config := s.router.Config(); config != nil {
		call.MaxConns = config.Services[service].MaxConnections
	}
	s.mu.Unlock()
	if fail != nil {
		return reject(resultRejected, fail)
	}
	defer func() {
		s.mu.Lock()
		s.router.RetryBudget.EndRun(retryFraction)
		s.endpoints.AddInFlight(server, -1)
		s.mu.Unlock()
	}()
	headers := s.Settings.Headers
	call = endpointCall(headers, call, server, deadline)
	call.BeforeSend = func() *failure.Error {
		s.mu.Lock()
		defer s.mu.Unlock()
		currentAddr, _, fail := s.endpoints.Check(s.clock(), server, service)
		if fail == nil && currentAddr != addr {
			fail = failure.New(failure.EndpointRejected, "server %q has moved", server)
		}
		return fail
	}
	sentAt := s.clock()
	resp, sent, fail := s.endpointExchange.Do(context.Background(), addr, call)
	if fail != nil && fail.Kind == failure.Unreachable {
		s.mu.Lock()
		s.applyEndpointChange(s.endpoints.ConnectFailed(s.clock(), server))
		s.mu.Unlock()
	}
	switch {
	case fail != nil && sent:
		if outcome = admission.Failed; fail.Kind == failure.DeadlineExceeded {
			outcome, duration = admission.GivenUp, s.clock().Since(sentAt)
		}
		return reject(resultUnknown, fail)
	case fail != nil:
		return reject(resultRejected, fail)
	}
	result.response, result.result, result.failure = classifyResponse(headers, resp)
	switch {
	case result.result == resultShed:
	case result.result != resultResponse || resp.Status >= 500 && resp.Status != http.StatusGatewayTimeout:
		outcome = admission.Failed
	case resp.Status == http.StatusGatewayTimeout:
		duration = s.clock().Since(sentAt)
	default:
		outcome, duration = admission.Served, s.clock().Since(sentAt)
	}
	return result
}

// classifyResponse tells an endpoint's return from its word that it did not run the request. That it
// is a return to this request, sealed and whole, the exchange has seen to.
func classifyResponse(headers settings.Headers, resp *exchange.Response) (*exchange.Response, string, *failure.Error) {
	if resp.Status == http.StatusMisdirectedRequest || headers.NotExecuted != "" && firstValue(resp.Header, headers.NotExecuted) != "" {
		return nil, resultShed, failure.New(failure.Busy, "the endpoint turned it away").WithRetryAfter(retryAfterSeconds)
	}
	return resp, resultResponse, nil
}

// firstValue is Header.Get for a name in canonical form.
func firstValue(headers http.Header, name string) string {
	if values := headers[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}
