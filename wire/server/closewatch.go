package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// closePollInterval is the interval at which the connections whose requests are being served are
// polled for a close by the client.
const closePollInterval = 50 * time.Millisecond

// closeWatcher cancels the context of a request when the client closes the connection. One system
// call polls all connections whose requests are being served. closeWatcher replaces the close
// detection of net/http, which needs a goroutine, a timer and a read for each request.
//
// Invariant: active contains a connection exactly while a request on the connection is being served
// and no close by the client was detected.
type closeWatcher struct {
	mu     sync.Mutex
	active map[*conn]context.CancelFunc
	// polling is true while the goroutine of poll runs. The goroutine ends when active is empty.
	polling bool
}

func newCloseWatcher() *closeWatcher {
	return &closeWatcher{active: map[*conn]context.CancelFunc{}}
}

// connContextKey is the key of the *conn in the context of a request.
type connContextKey struct{}

// connContext is a hook for http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// filter gives each request a context that is canceled when the client closes the connection.
func (w *closeWatcher) filter(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connContextKey{}).(*conn)
		if !ok || c.rawConn == nil {
			next.ServeHTTP(writer, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		w.add(c, cancel)
		defer w.remove(c)
		next.ServeHTTP(writer, r.WithContext(ctx))
	})
}

func (w *closeWatcher) add(c *conn, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[c] = cancel
	if !w.polling {
		w.polling = true
		go w.poll()
	}
}

func (w *closeWatcher) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active, c)
}

// poll polls the active connections until none is left.
func (w *closeWatcher) poll() {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	var set pollSet
	for {
		<-ticker.C
		if !w.pollOnce(&set) {
			return
		}
	}
}

// pollOnce cancels the contexts of the requests whose clients have closed the connection. pollOnce
// returns false if no connection is active.
func (w *closeWatcher) pollOnce(set *pollSet) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.active) == 0 {
		w.polling = false
		return false
	}
	set.reset()
	for c := range w.active {
		set.add(c)
	}
	for _, c := range set.readable() {
		if c.clientClosed() {
			w.active[c]()
			delete(w.active, c)
		}
	}
	return true
}

// pollSet holds the arguments and the result of one poll. poll reuses a single pollSet to save
// allocations.
type pollSet struct {
	fds   []unix.PollFd
	conns []*conn
	ready []*conn
}

func (s *pollSet) reset() {
	s.fds = s.fds[:0]
	clear(s.conns)
	s.conns = s.conns[:0]
	clear(s.ready)
	s.ready = s.ready[:0]
}

func (s *pollSet) add(c *conn) {
	s.fds = append(s.fds, unix.PollFd{Fd: c.descriptor, Events: unix.POLLIN})
	s.conns = append(s.conns, c)
}

// readable returns the connections that have unread data, a close or an error. If the poll fails,
// readable returns all connections.
func (s *pollSet) readable() []*conn {
	if n, err := unix.Poll(s.fds, 0); err != nil {
		return s.conns
	} else if n == 0 {
		return nil
	}
	for i, fd := range s.fds {
		if fd.Revents != 0 {
			s.ready = append(s.ready, s.conns[i])
		}
	}
	return s.ready
}

// clientClosed reports whether the client has closed or reset the connection. A close that follows
// unread bytes is not detected.
func (c *conn) clientClosed() bool {
	closed := false
	err := c.rawConn.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case nil:
			closed = n == 0
		case unix.EAGAIN, unix.EINTR:
		default:
			closed = true
		}
	})
	return closed || err != nil
}

// initCloseWatch sets rawConn and descriptor of an accepted connection for closeWatcher.
func (c *conn) initCloseWatch() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	if raw.Control(func(fd uintptr) { c.descriptor = int32(fd) }) == nil {
		c.rawConn = raw
	}
}
