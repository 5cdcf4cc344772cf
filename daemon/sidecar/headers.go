package sidecar

import (
	"net/http"

	"cottonarch.example/cottonarch/wire/response"
)

// Headers that the mesh reads and sets. The names of headers between sidecars are part of the
// protocol.
const (
	// TargetHeader names the intended endpoint.
	TargetHeader = "X-Target-Server"
	// ServiceHeader names the service that the intended endpoint should provide.
	ServiceHeader = "X-Cottonarch-Service"
	// TimeoutHeader carries the remaining time of the request in milliseconds.
	TimeoutHeader = "X-Cottonarch-Limit-Ms"
	// PeerResultHeader carries a peerResult.
	PeerResultHeader = "X-Cottonarch-Gate"
	// RetryProbabilityHeader carries the probability, from 0 to 1, that the request repeats one
	// that was executed.
	RetryProbabilityHeader = "X-Cottonarch-Repeat"
	// AdmissionHintsHeader carries the encoded admissionHints.
	AdmissionHintsHeader = "X-Cottonarch-Want"
	// LoadReportHeader carries the endpoint's load report with each response, and ServiceTimeHeader
	// how many microseconds the endpoint took.
	LoadReportHeader  = "X-Cottonarch-Burden"
	ServiceTimeHeader = "X-Cottonarch-Took"
	// CallerHeader names the caller, whose share of the retry budget is charged.
	CallerHeader = "X-Caller"
	// SessionHeader names the session. All requests of a session go to the same side of a weighted
	// route.
	SessionHeader = "X-Session"
	// UrgentHeader marks a request of an urgent route, or a nested request, between sidecars.
	UrgentHeader = "X-Cottonarch-Urgent"

	forwardedForHeader = "X-Forwarded-For"
)

// meshHeaderBytes is how much the mesh's own headers may add to the headers of a caller.
const meshHeaderBytes = 2 << 10

// meshHeaders lists the headers that only the mesh sets. Values from a caller or an endpoint are
// removed.
var meshHeaders = []string{
	TargetHeader, ServiceHeader, TimeoutHeader, PeerResultHeader, UrgentHeader, RetryProbabilityHeader,
	AdmissionHintsHeader, LoadReportHeader, ServiceTimeHeader, response.OutcomeHeader,
}

// stripMeshHeaders removes the mesh's own headers. The exchange omits hop-by-hop headers.
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
