package server

import (
	"maps"
	"net/http"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/wire/response"
)

// Paths maps path patterns to their methods, and these to handlers.
type Paths map[string]map[string]http.HandlerFunc

// Register adds the paths to a server.
func (p Paths) Register(s *Server) {
	// Longer patterns first: a variable at the end of a pattern may match more of a path.
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
				response.WriteError(w, failure.New(failure.NotPermitted, "%s is not for %s", r.Method, r.URL.Path))
				return
			}
			handler(w, r)
		})
	}
}
