package client

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// Call keeps ECONNREFUSED in the error chain of a refused connection: cores take a refused
// connection as a hint that the process has ended.
func TestRefusedConnectionIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := ident.Addr(l.Addr().String())
	must.NoError(t, l.Close())
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	err = New("").Call(ctx, addr, "POST", "/x", map[string]int{"a": 1}, nil)
	must.True(t, errors.Is(err, syscall.ECONNREFUSED), must.Sprint(err))
	must.Eq(t, failure.OutcomeUnknown, failure.From(err).Outcome)
}

// Connections carry the kernel timeouts that close a connection to an unresponsive machine within
// seconds, both for unacknowledged bytes and for idle connections.
func TestUnresponsivePeerTimeouts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := New("").transport.DialContext(context.Background(), "tcp", l.Addr().String())
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	must.NoError(t, err)
	must.NoError(t, raw.Control(func(fd uintptr) {
		for opt, limit := range map[int]int{unix.TCP_USER_TIMEOUT: 5000, unix.TCP_KEEPIDLE: 10, unix.TCP_KEEPINTVL: 3, unix.TCP_KEEPCNT: 5} {
			v, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, opt)
			must.NoError(t, err)
			must.Positive(t, v)
			must.LessEq(t, limit, v)
		}
	}))
}
