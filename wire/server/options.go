package server

import "time"

// Option configures how a server accepts and watches connections.
type Option func(*listener)

// DeadPeerTimeout closes a connection when sent bytes stay unacknowledged, or keep-alive probes
// unanswered, for about timeout. The probe interval is in whole seconds.
func DeadPeerTimeout(timeout time.Duration) Option {
	return func(l *listener) { l.deadPeerTimeout = timeout }
}

// PolledCloseDetection detects that a client has closed the connection while a request is served, by
// polling all connections with active requests together every 50 ms. The close detection of net/http
// needs a goroutine, a timer and a read for each request. Both cancel the context of the request.
func PolledCloseDetection() Option { return func(l *listener) { l.polledCloseDetection = true } }
