package endpoint

import (
	"net/http"

	"cottonarch.example/cottonarch/mesh/endpoint"
)

const (
	// HealthPath is where an endpoint is asked whether it is healthy.
	HealthPath = "/health"
	// ServerIDHeader is the header of the answer that tells which endpoint gives it.
	ServerIDHeader = "X-Server-Id"
)

// serveHealth answers 200 while the endpoint takes requests, and 503 once it leaves.
func (e *Endpoint) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(ServerIDHeader, string(e.Server))
	if e.state.Load().(endpoint.State) != endpoint.Alive {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
