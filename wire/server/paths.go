package server

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/wire/response"
)

// Paths maps path patterns to HTTP methods, and HTTP methods to handlers.
type Paths map[string]map[string]http.HandlerFunc

// Register adds the handlers to a server.
func (p Paths) Register(s *Server) {
	// Longer patterns come first, because a variable at the end of a shorter pattern may match a
	// longer part of the path.
	patterns := slices.SortedFunc(maps.Keys(p), func(a, b string) int {
		if len(a) != len(b) {
			return len(b) - len(a)
		}
		return strings.Compare(a, b)
	})
	for _, path := range patterns {
		methods := p[path]
		s.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			handler, ok := methods[r.Method]
			if !ok {
				writeMethodNotAllowed(w, r)
				return
			}
			handler(w, r)
		})
	}
}

// writeMethodNotAllowed writes the response to a request whose path has no handler for the method.
func writeMethodNotAllowed(w http.ResponseWriter, r *http.Request) {
	response.WriteError(w, failure.New(failure.MethodNotAllowed, "method %s is not allowed for %s", r.Method, r.URL.Path))
}
