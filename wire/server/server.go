// Package server makes HTTP servers on kratos' transport.
package server

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/response"
)

// maxHeaderBytes is the largest head that is read at all, in bytes; what a manifest allows is
// below it.
const maxHeaderBytes = 256 << 10

// Server is a kratos server.
type Server = khttp.Server

// New makes a server. kratos' own limit of one second is switched off: requests
// carry their own. front, when given, sees every request before the table of paths
// and before any path is cleaned, and answers true when it has served it.
func New(addr ident.Addr, intercept func(http.ResponseWriter, *http.Request) bool, options ...Option) *Server {
	kratosOptions := []khttp.ServerOption{
		khttp.Address(string(addr)), khttp.Timeout(0), khttp.StrictSlash(false),
		khttp.NotFoundHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response.WriteError(w, failure.New(failure.NotFound, "there is nothing at %s", r.URL.Path))
		})),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response.WriteError(w, failure.New(failure.NotPermitted, "%s is not for %s", r.Method, r.URL.Path))
		})),
	}
	if len(options) > 0 {
		l := &listener{addr: addr}
		for _, option := range options {
			option(l)
		}
		kratosOptions = append(kratosOptions, khttp.Listener(l))
	}
	if intercept != nil {
		kratosOptions = append(kratosOptions, khttp.Filter(func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !intercept(w, r) {
					next.ServeHTTP(w, r)
				}
			})
		}))
	}
	s := khttp.NewServer(kratosOptions...)
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = 10*time.Second, 90*time.Second, maxHeaderBytes
	return s
}

// Paths is a table of paths, each with its methods.
type Paths map[string]map[string]http.HandlerFunc

// Register puts the table on a server.
func (p Paths) Register(s *Server) {
	// Longer paths first: a pattern may cover a shorter one's tail.
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

type warningLogger struct{ logger *zap.Logger }

func (w warningLogger) Log(level log.Level, keyValues ...any) error {
	if level >= log.LevelWarn {
		w.logger.Warn("kratos", zap.Any("said", keyValues))
	}
	return nil
}

// Logger gives kratos' lines, from warnings up, to zap.
func Logger(logger *zap.Logger) log.Logger {
	adapter := warningLogger{logger}
	log.SetLogger(adapter)
	return adapter
}
