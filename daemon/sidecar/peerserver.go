package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/exchange"
	"cottonarch.example/cottonarch/wire/response"
)

// urgentReserveDivisor is the divisor of the maximum number of requests in flight: the result, a quarter
// of the maximum, is reserved for urgent requests.
const urgentReserveDivisor = 4

// peerRejection is the reason why a request of another sidecar is not sent to the endpoint.
type peerRejection struct {
	result  peerResult
	failure *failure.Error
}

// ServePeer handles another sidecar's request for an endpoint of this machine. It returns false if
// the request is not such a request.
func (s *Sidecar) ServePeer(w http.ResponseWriter, r *http.Request) bool {
	if r.Header.Get(TargetHeader) == "" || r.Header.Get(ServiceHeader) == "" {
		return false
	}
	if !s.beginPeerRequest(r.Header.Get(UrgentHeader) != "") {
		writePeerFailure(w, resultRejected, failure.New(failure.Busy, "too many requests are in flight at %s", s.Settings.Node))
		return true
	}
	defer s.endRequest()
	ctx := r.Context()
	defer s.countIfClientDisconnected(ctx, counterPeersDisconnected)
	request, release, rejection := s.readPeerRequest(r)
	if rejection != nil {
		writePeerFailure(w, rejection.result, rejection.failure)
		return true
	}
	defer release()
	if fail := s.reserveOutbound(request.hints); fail != nil {
		w.Header()[LoadReportHeader] = []string{s.loadReport(request.server)}
		writePeerFailure(w, resultNoCapacity, fail)
		return true
	}
	result := s.sendToEndpoint(ctx, request)
	s.releaseOutbound(request.hints, result.response)
	writePeerResult(w, result)
	return true
}

// beginPeerRequest counts a request of another sidecar as in flight; it returns false if too many
// requests are in flight.
func (s *Sidecar) beginPeerRequest(urgent bool) bool {
	limit := s.Settings.MaxInFlight
	if !urgent {
		limit -= limit / urgentReserveDivisor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= limit {
		return false
	}
	s.inFlight++
	return true
}

// readPeerRequest reads another sidecar's request. The body is requested only when the inbound link
// has capacity for it. The caller must call release when the request has ended.
func (s *Sidecar) readPeerRequest(r *http.Request) (request endpointRequest, release func(), rejection *peerRejection) {
	limitMs, err := strconv.Atoi(r.Header.Get(TimeoutHeader))
	if err != nil || limitMs <= 0 {
		return request, nil, &peerRejection{resultRejected, failure.New(failure.DeadlineExceeded, "the request has no valid remaining time")}
	}
	request = endpointRequest{
		server:           ident.Server(r.Header.Get(TargetHeader)),
		service:          ident.Service(r.Header.Get(ServiceHeader)),
		deadline:         time.Now().Add(time.Duration(limitMs) * time.Millisecond),
		retryProbability: parseRetryProbability(r.Header.Get(RetryProbabilityHeader)),
		hints:            parseHints(r.Header.Get(AdmissionHintsHeader)),
	}
	received, fail := s.reserveInbound(r.ContentLength)
	if fail != nil {
		return request, nil, &peerRejection{resultNoCapacity, fail}
	}
	body, release, fail := s.readRequest(r)
	received()
	if fail != nil {
		return request, nil, &peerRejection{resultRejected, fail}
	}
	request.call = exchange.Call{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: stripMeshHeaders(r.Header), Body: body}
	return request, release, nil
}

// parseRetryProbability decodes RetryProbabilityHeader; a missing or malformed value is 0.
func parseRetryProbability(text string) float64 {
	probability, _ := strconv.ParseFloat(text, 64)
	return min(1, max(0, probability))
}

// writePeerFailure writes the result of a request without a response.
func writePeerFailure(w http.ResponseWriter, result peerResult, fail *failure.Error) {
	w.Header().Set(PeerResultHeader, string(result))
	response.WriteError(w, fail)
}

// writePeerResult writes the result of a request that was passed to sendToEndpoint.
func writePeerResult(w http.ResponseWriter, result endpointResult) {
	if result.loadReport != "" {
		w.Header()[LoadReportHeader] = []string{result.loadReport}
	}
	if result.failure != nil {
		writePeerFailure(w, result.result, result.failure)
		return
	}
	w.Header()[PeerResultHeader] = []string{string(resultResponse)}
	w.Header()[ServiceTimeHeader] = []string{strconv.FormatInt(result.duration.Microseconds(), 10)}
	writeResponse(w, result.response)
}
