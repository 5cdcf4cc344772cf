package endpoint

import (
	"net/http"

	"cottonarch.example/cottonarch/mesh/endpoint"
)

const (
	// HealthPath is the path of an endpoint's health check.
	HealthPath = "/health"
	// ServerIDHeader is the header of a health response that holds the id of the endpoint.
	ServerIDHeader = "X-Server-Id"
)

// serveHealth responds with 200 while the endpoint is alive, and with 503 once the endpoint is leaving
// or gone.
func (e *Endpoint) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(ServerIDHeader, string(e.Server))
	if e.state.Load().(endpoint.State) != endpoint.Alive {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
