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

// acceptGrace limits how long a stopped listener accepts pending connections. The listener stops
// accepting when no connection is pending; the limit applies to a flood of connections or a machine
// under load.
const acceptGrace = time.Second

// listener opens the socket at the first call of open, as the listener of kratos does.
type listener struct {
	addr                 ident.Addr
	deadPeerTimeout      time.Duration // set by the option DeadPeerTimeout; 0 means no timeout
	polledCloseDetection bool          // set by the option PolledCloseDetection
	once                 sync.Once     // guards the opening; stop uses once to prevent a later opening
	*net.TCPListener
	err error // the result of open

	mu sync.Mutex
	// acceptUntil is the time until which a stopped listener accepts connections; zero before
	// the stop.
	acceptUntil time.Time
}

func (l *listener) open() error {
	l.once.Do(func() {
		config := net.ListenConfig{}
		if l.deadPeerTimeout > 0 {
			// Accepted connections inherit the options of the listening socket.
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

// stop makes Accept return the pending connections and then http.ErrServerClosed. stop reports
// whether the listener was open. A listener that was not open can't be opened after stop.
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

// Accept returns the next connection, or http.ErrServerClosed if the listener was stopped and no
// connection is pending. A stopped listener accepts the pending connections, because the kernel
// resets a pending connection when the listening socket closes, and the request that was sent on
// the connection would be lost.
func (l *listener) Accept() (net.Conn, error) {
	tcp, err := l.acceptTCP()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, source: tcp, accepted: time.Now()}
	if l.polledCloseDetection {
		c.source = &noCloseDetectionConn{TCPConn: tcp}
		c.initCloseWatch()
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
	if time.Now().After(l.acceptUntil) || !l.hasPending() {
		return nil, http.ErrServerClosed
	}
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, http.ErrServerClosed
	}
	return c, nil
}

// stopped reports whether the listener was stopped. acceptUntil does not change after the stop.
func (l *listener) stopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.acceptUntil.IsZero()
}

// hasPending reports whether a connection is waiting to be accepted on a stopped listener. hasPending
// also moves the deadline that stop has set, so that the connection can still be accepted.
func (l *listener) hasPending() bool {
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
