package server

import (
	"context"
	"net/http"
	"time"
)

const (
	// minStopPollInterval and maxStopPollInterval limit the interval at which a stopping server
	// closes unused connections. The interval doubles from the minimum to the maximum, as in
	// http.Server.Shutdown.
	minStopPollInterval = time.Millisecond
	maxStopPollInterval = 500 * time.Millisecond
	// startGrace is how long Stop waits for a concurrent call of Start.
	startGrace = time.Second
)

// Stop stops the server gracefully. The server accepts no more connections, answers every request of
// which a part was read, closes each connection after the response, and closes unused connections: an
// idle connection immediately, a new connection after firstRequestTimeout. Stop returns when no
// connection is open. If ctx ends first, Stop returns the error
// of ctx: connections that are unused or on which only a part of a head was read are closed, and
// handlers continue to run.
//
// Shutdown of http.Server closes a connection without a response if the request is read after
// Shutdown has begun. Therefore Stop calls Shutdown last, when no connection is open.
func (s *Server) Stop(ctx context.Context) error {
	s.stopping.Store(true)
	var err error
	if s.listener.stop() && s.awaitStart(ctx) {
		err = s.drain(ctx)
	}
	if stopErr := s.kratosServer.Stop(ctx); stopErr != nil {
		return stopErr
	}
	return err
}

// awaitStart waits for a concurrent call of Start and reports whether Start was called. Clients can
// connect as soon as Endpoint has opened the listener, so pending connections may exist before Start.
func (s *Server) awaitStart(ctx context.Context) bool {
	timeout := time.NewTimer(startGrace)
	defer timeout.Stop()
	select {
	case <-s.accepting:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// drain waits until Start has returned, so that no connection is accepted any more, and no connection
// is open. If ctx ends first, drain returns the error of ctx.
func (s *Server) drain(ctx context.Context) error {
	select {
	case <-s.startReturned:
	case <-ctx.Done():
		return ctx.Err()
	}
	interval := minStopPollInterval
	poll := time.NewTimer(interval)
	defer poll.Stop()
	for s.conns.wakeUnused() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.conns.changed:
		case <-poll.C:
			interval = min(2*interval, maxStopPollInterval)
			poll.Reset(interval)
		}
	}
	return nil
}

// closeWhileStopping adds Connection: close to each response of a stopping server.
func (s *Server) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
