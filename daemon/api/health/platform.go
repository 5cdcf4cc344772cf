// Package health is what the platform and the operators may ask any daemon.
package health

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/metrics"
	"cottonarch.example/cottonarch/wire/response"
	"cottonarch.example/cottonarch/wire/server"
)

// Paths is the surface.
func Paths(ready func() bool, counters *metrics.Registry, status func() any) server.Paths {
	return server.Paths{
		"/ready": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			if !ready() {
				response.WriteError(w, failure.New(failure.NotReady, "not ready").WithRetryAfter(1))
				return
			}
			response.WriteJSON(w, http.StatusOK, map[string]bool{"ready": true})
		}},
		"/live": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			response.WriteJSON(w, http.StatusOK, map[string]bool{"live": true})
		}},
		"/counters": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			response.WriteJSON(w, http.StatusOK, counters.Snapshot())
		}},
		"/status": {"GET": func(w http.ResponseWriter, _ *http.Request) { response.WriteJSON(w, http.StatusOK, status()) }},
	}
}
