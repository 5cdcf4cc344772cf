// Package health serves what the platform and operators may ask of any daemon: whether it is
// ready, whether it is alive, its counters and its status.
package health

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/metrics"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

// readyResponse is the body of /ready; a daemon that is not ready answers with a failure.
type readyResponse struct {
	Ready bool `json:"ready"`
}

// liveResponse is the body of /live.
type liveResponse struct {
	Live bool `json:"live"`
}

// Paths returns the handlers of a daemon's health paths.
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
