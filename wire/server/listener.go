package server

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/idletimeout"
)

// acceptGrace bounds how long a stopped listener goes on accepting the connections that wait. It
// ends as soon as none waits; the limit is for a flood of them, or a machine under load.
const acceptGrace = time.Second

// listener listens from its first use on, as kratos' own does.
type listener struct {
	addr                 ident.Addr
	deadPeerTimeout      time.Duration
	polledCloseDetection bool
	once                 sync.Once
	*net.TCPListener
	err error

	mu sync.Mutex
	// acceptUntil is until when a stopped listener still accepts; zero before the stop.
	acceptUntil time.Time
}

func (l *listener) open() error {
	l.once.Do(func() {
		config := net.ListenConfig{}
		if l.deadPeerTimeout > 0 {
			// Accepted connections inherit this from the listening socket.
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

// stop makes Accept take the connections that wait and then end, and reports whether the listener
// was opened. One that was not never will be.
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

// Accept takes a connection. Once the listener was stopped and no connection waits, it returns
// http.ErrServerClosed. Those that wait are accepted before that, because the kernel resets a
// connection that waits as its listener closes, with the request that was sent on it.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.acceptTCP()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, source: tcp, accepted: time.Now()}
	if l.polledCloseDetection {
		c.source = &noCloseDetection{TCPConn: tcp}
		c.watch()
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

// stopped reports whether the listener was stopped; acceptUntil is fixed from then on.
func (l *listener) stopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.acceptUntil.IsZero()
}

// pending reports whether a connection waits to be accepted.
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
