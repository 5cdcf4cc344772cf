package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// closePollInterval is how often the connections whose requests are being served are polled for
// a close by their clients.
const closePollInterval = 50 * time.Millisecond

// closeWatch ends the context of a request when its client closes the connection. It polls all
// connections that are being served in one system call, in place of net/http's close detection,
// which takes a goroutine, a timer and a read for each request.
//
// Invariant: a connection is in served exactly while its request is being served and its client
// was not seen to leave.
type closeWatch struct {
	mu     sync.Mutex
	served map[*conn]context.CancelFunc
	// polling tells that the goroutine of poll runs; it ends when nothing is served.
	polling bool
}

func newCloseWatch() *closeWatch {
	return &closeWatch{served: map[*conn]context.CancelFunc{}}
}

// connContextKey is the key of a request's *conn in its context.
type connContextKey struct{}

// connContext is a hook for http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// filter gives each request a context that ends when its client leaves.
func (w *closeWatch) filter(next http.Handler) http.Handler {
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

func (w *closeWatch) add(c *conn, cancel context.CancelFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.served[c] = cancel
	if !w.polling {
		w.polling = true
		go w.poll()
	}
}

func (w *closeWatch) remove(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.served, c)
}

// poll looks for closes until nothing is served.
func (w *closeWatch) poll() {
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

// pollOnce ends the contexts of the requests whose clients have left. It is false when nothing is
// served.
func (w *closeWatch) pollOnce(set *pollSet) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.served) == 0 {
		w.polling = false
		return false
	}
	set.reset()
	for c := range w.served {
		set.add(c)
	}
	for _, c := range set.readable() {
		if c.clientLeft() {
			w.served[c]()
			delete(w.served, c)
		}
	}
	return true
}

// pollSet is the argument of one poll; it is used again to spare allocations.
type pollSet struct {
	files []unix.PollFd
	conns []*conn
	ready []*conn
}

func (s *pollSet) reset() {
	s.files = s.files[:0]
	clear(s.conns)
	s.conns = s.conns[:0]
	clear(s.ready)
	s.ready = s.ready[:0]
}

func (s *pollSet) add(c *conn) {
	s.files = append(s.files, unix.PollFd{Fd: c.descriptor, Events: unix.POLLIN})
	s.conns = append(s.conns, c)
}

// readable returns the connections on which something waits: data, the end or an error. If the
// poll itself fails, that is any of them.
func (s *pollSet) readable() []*conn {
	if n, err := unix.Poll(s.files, 0); err != nil {
		return s.conns
	} else if n == 0 {
		return nil
	}
	for i, file := range s.files {
		if file.Revents != 0 {
			s.ready = append(s.ready, s.conns[i])
		}
	}
	return s.ready
}

// clientLeft reports whether the client has closed or reset the connection, as far as that can be
// seen: bytes that wait to be read hide a close behind them.
func (c *conn) clientLeft() bool {
	left := false
	err := c.rawConn.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch err {
		case nil:
			left = n == 0
		case unix.EAGAIN, unix.EINTR:
		default:
			left = true
		}
	})
	return left || err != nil
}

// watch prepares an accepted connection for the close watch.
func (c *conn) watch() {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	if raw.Control(func(fd uintptr) { c.descriptor = int32(fd) }) == nil {
		c.rawConn = raw
	}
}
