package server

import (
	"context"
	"net/http"
	"time"
)

const (
	// stopPollFirst and stopPollMost bound how often the connections are looked at while the
	// server stops.
	stopPollFirst = time.Millisecond
	stopPollMost  = 500 * time.Millisecond
	// startGrace is how long a Start that is on its way is waited for.
	startGrace = time.Second
)

// Stop stops the server in order: it takes no more connections, answers every request of
// which a part was read, closes each connection after its answer and the unused ones at
// once, and returns when none is open. When ctx ends first, it is an error: what was unused or
// read in part is closed, and what is served goes on.
//
// http.Server.Shutdown alone would end a connection without an answer when its request is
// read after Shutdown began, so it comes last, when nothing is open.
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

// awaitStart tells whether Start was called. A listener takes connections from Endpoint on, so
// a Start that is on its way is waited for.
func (s *Server) awaitStart(ctx context.Context) bool {
	timeout := time.NewTimer(startGrace)
	defer timeout.Stop()
	select {
	case <-s.started:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// drain waits until no connection is open and none can be taken any more, or ctx ends.
func (s *Server) drain(ctx context.Context) error {
	select {
	case <-s.served:
	case <-ctx.Done():
		return ctx.Err()
	}
	wait := stopPollFirst
	poll := time.NewTimer(wait)
	defer poll.Stop()
	for s.conns.wakeUnused() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.conns.changed:
		case <-poll.C:
			wait = min(2*wait, stopPollMost)
			poll.Reset(wait)
		}
	}
	return nil
}

// closeWhileStopping marks each answer of a server that stops as the last on its connection.
func (s *Server) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
