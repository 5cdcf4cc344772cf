// Package health implements the health API that every daemon offers to the platform and to
// operators: readiness, liveness, counters and status.
package health

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/metrics"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

// readyResponse is the body of the response at /ready. A daemon that is not ready responds with a
// failure instead.
type readyResponse struct {
	Ready bool `json:"ready"`
}

// liveResponse is the body of the response at /live.
type liveResponse struct {
	Live bool `json:"live"`
}

// Paths returns the handlers of the health API.
func Paths(ready func() bool, counters *metrics.Registry, status func() any) server.Paths {
	return server.Paths{
		"/ready": {http.MethodGet: func(w http.ResponseWriter, _ *http.Request) {
			if !ready() {
				response.WriteError(w, failure.New(failure.NotReady, "not ready").WithRetryAfter(1))
				return
			}
			response.WriteJSON(w, http.StatusOK, readyResponse{Ready: true})
		}},
		"/live": {http.MethodGet: func(w http.ResponseWriter, _ *http.Request) {
			response.WriteJSON(w, http.StatusOK, liveResponse{Live: true})
		}},
		"/counters": {http.MethodGet: func(w http.ResponseWriter, _ *http.Request) {
			response.WriteJSON(w, http.StatusOK, counters.Snapshot())
		}},
		"/status": {http.MethodGet: func(w http.ResponseWriter, _ *http.Request) {
			response.WriteJSON(w, http.StatusOK, status())
		}},
	}
}
