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

// Silence has a connection given up once its other end is gone without a word for span:
// sent bytes unacknowledged, or probes unanswered. Probes go by whole seconds.
func Silence(span time.Duration) Option { return func(l *listener) { l.silence = span } }

// Deaf leaves out net/http's listening for the close of a connection while its request is
// served: that takes a goroutine, a timer and a read a request. Such a request's context
// does not end when its caller goes away.
func Deaf() Option { return func(l *listener) { l.deaf = true } }

// listener begins to listen when it is first used, as kratos' own does.
type listener struct {
	addr    ident.Addr
	silence time.Duration
	deaf    bool
	once    sync.Once
	*net.TCPListener
	err error

	mu sync.Mutex
	// acceptUntil is until when a stopped listener still accepts what waits; zero before.
	acceptUntil time.Time
}

func (l *listener) open() error {
	l.once.Do(func() {
		conf := net.ListenConfig{}
		if l.silence > 0 {
			// What is accepted has this from the listening socket.
			conf.KeepAlive = -1
			conf.Control = func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, l.silence) }
		}
		open, err := conf.Listen(context.Background(), "tcp", string(l.addr))
		if err != nil {
			l.err = err
			return
		}
		l.TCPListener = open.(*net.TCPListener)
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
	if l.deaf {
		c.source = &deaf{TCPConn: tcp}
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
	if time.Now().After(l.acceptUntil) || !l.waits() {
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

// waits tells whether a connection waits to be accepted.
func (l *listener) waits() bool {
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

// deaf is a connection that does not listen while its request is served. net/http listens
// by reading into a single byte of its own, apart from the buffer into which it reads
// requests; a read of no bytes ends that at once, and harms nothing.
//
// Invariant: end is where what was read into before ended. The rest of a buffer, when it
// is a single byte, ends there too, and is read; net/http's own byte, which lives as long
// as the connection, never does.
type deaf struct {
	*net.TCPConn
	end uintptr
}

func (d *deaf) Read(into []byte) (int, error) {
	if len(into) == 0 {
		return 0, nil
	}
	end := uintptr(unsafe.Pointer(&into[len(into)-1]))
	if len(into) == 1 && end != d.end {
		return 0, nil
	}
	d.end = end
	return d.TCPConn.Read(into)
}
