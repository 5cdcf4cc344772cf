// Package server provides HTTP servers on the HTTP transport of kratos that stop without losing a
// request.
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
	// maxHeaderBytes is the largest request head that the server reads. A configuration sets a
	// lower limit.
	maxHeaderBytes = 256 << 10
	// readHeaderTimeout limits the time to read the head of a request.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
)

// kratosServer renames Server of kratos: embedded under the name Server, the type would hide the
// field Server of net/http that the type itself embeds.
type kratosServer = khttp.Server

// Server is a kratos server whose Stop lets every request that was read at least in part be answered.
type Server struct {
	*kratosServer
	listener      *listener
	conns         *connTracker
	stopping      atomic.Bool
	accepting     chan struct{} // closed when Start is about to accept connections
	startReturned chan struct{} // closed when Start has returned
}

// New returns a server that listens at addr. The default request timeout of kratos, one second, is
// disabled, because requests carry their own deadlines. intercept, if not nil, is called for every
// request before the request is routed and before the path is cleaned, and returns true if intercept
// has served the request.
func New(addr ident.Addr, intercept func(http.ResponseWriter, *http.Request) bool, options ...Option) *Server {
	s := &Server{
		listener:      &listener{addr: addr},
		conns:         newConnTracker(),
		accepting:     make(chan struct{}),
		startReturned: make(chan struct{}),
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
			response.WriteError(w, failure.New(failure.NotFound, "no resource exists at %s", r.URL.Path))
		})),
		khttp.MethodNotAllowedHandler(http.HandlerFunc(writeMethodNotAllowed)),
	}
	filters := []khttp.FilterFunc{s.closeWhileStopping}
	if s.listener.polledCloseDetection {
		filters = append(filters, newCloseWatcher().filter)
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

// interceptor returns a filter that calls intercept, and the next handler if intercept returns false.
func interceptor(intercept func(http.ResponseWriter, *http.Request) bool) khttp.FilterFunc {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !intercept(w, r) {
				next.ServeHTTP(w, r)
			}
		})
	}
}

// Endpoint opens the listener and returns the URL of the server.
func (s *Server) Endpoint() (*url.URL, error) {
	if err := s.listener.open(); err != nil {
		return nil, err
	}
	return s.kratosServer.Endpoint()
}

// Start accepts connections until Stop is called. Start may be called only once.
func (s *Server) Start(ctx context.Context) error {
	switch err := s.listener.open(); {
	case errors.Is(err, http.ErrServerClosed):
		return nil
	case err != nil:
		return err
	}
	defer close(s.startReturned)
	s.ConnState = s.conns.connStateHook(s.ConnState)
	close(s.accepting)
	return s.kratosServer.Start(ctx)
}
