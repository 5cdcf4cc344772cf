// Package server makes HTTP servers on kratos' transport that stop without losing a request.
package server

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/response"
)

const (
	// maxHeaderBytes is the largest head that is read at all; a configuration allows less.
	maxHeaderBytes = 256 << 10
	// readHeaderTimeout bounds the reading of a request's head.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 90 * time.Second
)

// kratosServer keeps kratos' Server out of the way of the field of that name in it, which is
// net/http's.
type kratosServer = khttp.Server

// Server is a kratos server whose Stop answers every request of which it has read a part.
type Server struct {
	*kratosServer
	listener *listener
	conns    *connTracker
	stopping atomic.Bool
	started  chan struct{} // closed when Start begins to accept
	served   chan struct{} // closed when Start has returned
}

// New makes a server. kratos' own time limit of one second is switched off: requests carry
// their own. intercept, when given, sees every request before it is routed and before its path
// is cleaned, and returns true when it has served it.
func New(addr ident.Addr, intercept func(http.ResponseWriter, *http.Request) bool, options ...Option) *Server {
	s := &Server{
		listener: &listener{addr: addr},
		conns:    newConnTracker(),
		started:  make(chan struct{}),
		served:   make(chan struct{}),
	}
	for _, option := range options {
		option(s.listener)
	}
	kratosOptions := []khttp.ServerOption{
		khttp.Listener(s.listener),
		khttp.Address(string(addr)),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
		khttp.NotFoundHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			response.WriteError(w, failure.New(failure.NotFound, "there is nothing at %s", r.URL.Path))
		})),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(writeMethodNotAllowed)),
	}
	filters := []khttp.FilterFunc{s.closeWhileStopping}
	if s.listener.polledCloseDetection {
		filters = append(filters, newCloseWatch().filter)
	}
	if intercept != nil {
		filters = append(filters, interceptor(intercept))
	}
	kratosOptions = append(kratosOptions, khttp.Filter(filters...))
	s.kratosServer = khttp.NewServer(kratosOptions...)
	s.ConnContext = connContext
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = readHeaderTimeout, idleTimeout, maxHeaderBytes
	return s
}

// interceptor makes a filter of an intercept function.
func interceptor(intercept func(http.ResponseWriter, *http.Request) bool) khttp.FilterFunc {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !intercept(w, r) {
				next.ServeHTTP(w, r)
			}
		})
	}
}

// Endpoint returns the address that the server listens at, and begins to listen.
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
