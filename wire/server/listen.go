package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/idletimeout"
)

// acceptGrace bounds how long a stopped listener goes on accepting what waits. It ends as soon
// as nothing waits; the bound is for a flood of connections, or a machine without free processors.
const acceptGrace = time.Second

// Option changes how a server takes connections.
type Option func(*listener)

// DeadPeerTimeout has a connection given up once its other end is gone without a word for span:
// sent bytes unacknowledged, or probes unanswered. Probes go by whole seconds.
func DeadPeerTimeout(timeout time.Duration) Option {
	return func(l *listener) { l.deadPeerTimeout = timeout }
}

// WithoutCloseDetection leaves out net/http's listening for the close of a connection while its request is
// served: that takes a goroutine, a timer and a read a request. Such a request's context
// does not end when its caller goes away.
func WithoutCloseDetection() Option { return func(l *listener) { l.withoutCloseDetection = true } }

// listener begins to listen when it is first used, as kratos' own does.
type listener struct {
	addr                  ident.Addr
	deadPeerTimeout       time.Duration
	withoutCloseDetection bool
	once                  sync.Once
	*net.TCPListener
	err error

	mu sync.Mutex
	// acceptUntil is until when a stopped listener still accepts what waits; zero before.
	acceptUntil time.Time
}

func (l *listener) open() error {
	l.once.Do(func() {
		config := net.ListenConfig{}
		if l.deadPeerTimeout > 0 {
			// What is accepted has this from the listening socket.
			config.KeepAlive = -1
			config.Control = func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, l.deadPeerTimeout) }
		}
		opened, err := config.Listen(context.Background(), "tcp", string(l.addr))
		if err != nil {
			l.err = err
			return
		}
		l.TCPListener = opened.(*net.TCPListener)
	})
	return l.err
}

// stop has Accept take what waits to be accepted and then end, and tells whether the listener
// listens. One that does not yet never will.
func (l *listener) stop() bool {
	l.once.Do(func() { l.err = http.ErrServerClosed })
	if l.err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acceptUntil.IsZero() {
		now := time.Now()
		l.acceptUntil = now.Add(acceptGrace)
		_ = l.SetDeadline(now)
	}
	return true
}

// Accept takes a connection. It answers http.ErrServerClosed once the listener was stopped
// and nothing waits to be accepted: what waits when the listener closes is reset, with the
// request that was sent on it.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.acceptTCP()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, source: tcp, accepted: time.Now()}
	if l.withoutCloseDetection {
		c.source = &noCloseDetection{TCPConn: tcp}
	}
	return c, nil
}

func (l *listener) acceptTCP() (*net.TCPConn, error) {
	if !l.stopped() {
		c, err := l.AcceptTCP()
		if err == nil || !l.stopped() {
			return c, err
		}
	}
	if time.Now().After(l.acceptUntil) || !l.pending() {
		return nil, http.ErrServerClosed
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, http.ErrServerClosed
	}
	return c, nil
}

// stopped tells whether the listener was stopped; acceptUntil is fixed from then on.
func (l *listener) stopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.acceptUntil.IsZero()
}

// pending tells whether a connection waits to be accepted.
func (l *listener) pending() bool {
	_ = l.SetDeadline(l.acceptUntil.Add(acceptGrace))
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// noCloseDetection is a connection that does not listen while its request is served. net/http listens
// by reading into a single byte of its own, apart from the buffer into which it reads
// requests; a read of no bytes ends that at once, and harms nothing.
//
// Invariant: end is where what was read into before ended. The rest of a buffer, when it
// is a single byte, ends there too, and is read; net/http's own byte, which lives as long
// as the connection, never does.
type noCloseDetection struct {
	*net.TCPConn
	lastEnd uintptr
}

func (c *noCloseDetection) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	end := uintptr(unsafe.Pointer(&buffer[len(buffer)-1]))
	if len(buffer) == 1 && end != c.lastEnd {
		return 0, nil
	}
	c.lastEnd = end
	return c.TCPConn.Read(buffer)
}
