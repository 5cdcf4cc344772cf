package exchange_test

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
)

// serveEach listens until the test ends, and calls serve for each connection in a separate goroutine.
// The connection is closed when serve returns.
func serveEach(t *testing.T, serve func(c *net.TCPConn)) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go acceptAll(l, serve)
	return ident.Addr(l.Addr().String())
}

// acceptAll accepts and serves the connections of l until l is closed.
func acceptAll(l net.Listener, serve func(c *net.TCPConn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			serve(c.(*net.TCPConn))
		}()
	}
}
