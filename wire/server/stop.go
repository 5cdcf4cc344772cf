package server

import (
	"context"
	"net/http"
	"time"
)

const (
	// stopPollShortest and stopPollLongest bound the interval at which unused connections are looked for
	// while the server stops. It doubles from one to the other, as in http.Server.Shutdown.
	stopPollShortest = time.Millisecond
	stopPollLongest  = 500 * time.Millisecond
	// startGrace is how long Stop waits for a concurrent Start.
	startGrace = time.Second
)

// Stop stops the server gracefully: it accepts no more connections, answers every request of
// which a part was read, closes each connection after its response and the unused ones at once,
// and returns when none is open. If ctx ends first, Stop returns its error: connections that
// are unused or on which a part of a head was read are closed, handlers go on.
//
// http.Server.Shutdown alone would end a connection without an answer when its request is
// read after Shutdown began, so it comes last, when no connection is open.
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

// awaitStart reports whether Start was called. Connections can be made from Endpoint on, so a
// concurrent Start is waited for.
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

// drain waits until no connection is open and none is accepted any more, or ctx ends.
func (s *Server) drain(ctx context.Context) error {
	select {
	case <-s.served:
	case <-ctx.Done():
		return ctx.Err()
	}
	wait := stopPollShortest
	poll := time.NewTimer(wait)
	defer poll.Stop()
	for s.conns.wakeUnused() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.conns.changed:
		case <-poll.C:
			wait = min(2*wait, stopPollLongest)
			poll.Reset(wait)
		}
	}
	return nil
}

// closeWhileStopping marks each response of a stopping server as the last on its connection.
func (s *Server) closeWhileStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
