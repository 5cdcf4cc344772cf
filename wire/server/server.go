// Package server makes HTTP servers on kratos' transport.
package server

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync/atomic"
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

// readHeaderTimeout bounds the reading of a request's head.
const readHeaderTimeout = 10 * time.Second

type kratosServer = khttp.Server

// Server is a kratos server that answers every request it has begun to read before it stops.
type Server struct {
	*kratosServer
	listener *listener
	conns    *connTracker
	stopping atomic.Bool
	started  chan struct{} // closed when Start begins to accept
	served   chan struct{} // closed when Start has returned
}

// New makes a server. kratos' own limit of one second is switched off: requests
// carry their own. front, when given, sees every request before the table of paths
// and before any path is cleaned, and answers true when it has served it.
func New(addr ident.Addr, intercept func(http.ResponseWriter, *http.Request) bool, options ...Option) *Server {
	s := &Server{listener: &listener{addr: addr}, conns: newConnTracker(), started: make(chan struct{}), served: make(chan struct{})}
	for _, option := range options {
		option(s.listener)
	}
	kratosOptions := []khttp.ServerOption{
		khttp.Listener(s.listener),
		khttp.Address(string(addr)), khttp.Timeout(0), khttp.StrictSlash(false),
		khttp.NotFoundHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response.WriteError(w, failure.New(failure.NotFound, "there is nothing at %s", r.URL.Path))
		})),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response.WriteError(w, failure.New(failure.NotPermitted, "%s is not for %s", r.Method, r.URL.Path))
		})),
	}
	filters := []khttp.FilterFunc{s.closeWhileStopping}
	if intercept != nil {
		filters = append(filters, func(next http.Handler) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if !intercept(w, r) {
					next.ServeHTTP(w, r)
				}
			})
		})
	}
	kratosOptions = append(kratosOptions, khttp.Filter(filters...))
	s.kratosServer = khttp.NewServer(kratosOptions...)
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = readHeaderTimeout, 90*time.Second, maxHeaderBytes
	return s
}

// Endpoint is the address that the server listens at; it begins to listen.
func (s *Server) Endpoint() (*url.URL, error) {
	if err := s.listener.open(); err != nil {
		return nil, err
	}
	return s.kratosServer.Endpoint()
}

// Start accepts connections until Stop. It is called once.
func (s *Server) Start(ctx context.Context) error {
	switch err := s.listener.open(); {
	case errors.Is(err, http.ErrServerClosed):
		return nil
	case err != nil:
		return err
	}
	defer close(s.served)
	s.ConnState = s.conns.connStateHook(s.ConnState)
	close(s.started)
	return s.kratosServer.Start(ctx)
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
