// Package platform is what the platform and the operators may ask any daemon.
package platform

import (
	"net/http"

	"cottonarch.example/cottonarch/kernel/count"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/wire/reply"
	"cottonarch.example/cottonarch/wire/server"
)

// Paths is the surface.
func Paths(ready func() bool, board *count.Board, status func() any) server.Paths {
	return server.Paths{
		"/ready": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			if !ready() {
				reply.Defect(w, failure.New(failure.NotReady, "not ready").Later(1))
				return
			}
			reply.JSON(w, http.StatusOK, map[string]bool{"ready": true})
		}},
		"/live": {"GET": func(w http.ResponseWriter, _ *http.Request) {
			reply.JSON(w, http.StatusOK, map[string]bool{"live": true})
		}},
		"/counters": {"GET": func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, board.All()) }},
		"/status":   {"GET": func(w http.ResponseWriter, _ *http.Request) { reply.JSON(w, http.StatusOK, status()) }},
	}
}
