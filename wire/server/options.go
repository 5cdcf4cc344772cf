package server

import "time"

// Option changes how a server takes connections.
type Option func(*listener)

// DeadPeerTimeout closes a connection whose peer is gone: its sent bytes stay unacknowledged for
// that long, or its probes unanswered. Probes are sent in whole seconds.
func DeadPeerTimeout(timeout time.Duration) Option {
	return func(l *listener) { l.deadPeerTimeout = timeout }
}

// WithoutCloseDetection switches off net/http's watch for the close of a connection while its
// request is served, which takes a goroutine, a timer and a read for each request. The context
// of such a request does not end when its client goes away.
func WithoutCloseDetection() Option { return func(l *listener) { l.withoutCloseDetection = true } }
