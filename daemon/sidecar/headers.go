package sidecar

import (
	"net/http"

	"cottonarch.example/cottonarch/wire/response"
)

// Headers that the mesh reads and sets. Between sidecars the names are part of the protocol.
const (
	// TargetHeader names the endpoint that is meant.
	TargetHeader = "X-Target-Server"
	// ServiceHeader names the service that the endpoint is meant to serve.
	ServiceHeader = "X-Cottonarch-Service"
	// LimitHeader carries what is left of the request's time, in milliseconds.
	TimeoutHeader = "X-Cottonarch-Limit-Ms"
	// PeerResultHeader carries a peerResult.
	PeerResultHeader = "X-Cottonarch-Gate"
	// RetryFractionHeader carries the probability, 0 to 1, that the request repeats one that ran.
	RetryProbabilityHeader = "X-Cottonarch-Repeat"
	// AdmissionHintsHeader carries admissionHints as text.
	AdmissionHintsHeader = "X-Cottonarch-Want"
	// LoadReportHeader carries the load of the endpoint with each response, and TookHeader the
	// microseconds that the endpoint had the request.
	LoadReportHeader  = "X-Cottonarch-Burden"
	ServiceTimeHeader = "X-Cottonarch-Took"
	// CallerHeader names the caller for its share of the retry budget.
	CallerHeader = "X-Caller"
	// SessionHeader names the session, whose requests stay on one side of a weighted route.
	SessionHeader = "X-Session"
	// UrgentHeader marks a request of an urgent route between sidecars.
	UrgentHeader = "X-Cottonarch-Urgent"

	forwardedForHeader = "X-Forwarded-For"
)

// meshHeaderBytes is how much the mesh's own headers may add to those of a caller.
const meshHeaderBytes = 2 << 10

// meshHeaders lists the headers that only the mesh sets: none is taken over from a caller or an
// endpoint.
var meshHeaders = []string{
	TargetHeader, ServiceHeader, TimeoutHeader, PeerResultHeader, UrgentHeader, RetryProbabilityHeader,
	AdmissionHintsHeader, LoadReportHeader, ServiceTimeHeader, response.OutcomeHeader,
}

// stripMeshHeaders takes the mesh's own headers out. Those that belong to one connection are
// left out by the exchange.
func stripMeshHeaders(headers http.Header) http.Header {
	for _, name := range meshHeaders {
		delete(headers, name)
	}
	return headers
}

// firstValue is Header.Get for a name in canonical form.
func firstValue(headers http.Header, name string) string {
	if values := headers[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}
