package server

import "time"

// Option changes how a server takes connections.
type Option func(*listener)

// DeadPeerTimeout closes a connection whose peer is gone: its sent bytes stay unacknowledged for
// that long, or its probes unanswered. Probes are sent in whole seconds.
func DeadPeerTimeout(timeout time.Duration) Option {
	return func(l *listener) { l.deadPeerTimeout = timeout }
}

// PolledCloseDetection finds out that a client has closed its connection while its request is
// served by polling all such connections at once, every 50 ms. net/http's own detection takes a
// goroutine, a timer and a read for each request. Either way the context of the request ends.
func PolledCloseDetection() Option { return func(l *listener) { l.polledCloseDetection = true } }
