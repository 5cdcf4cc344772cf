package server

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/idletimeout"
)

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
	net.Listener
	err error
}

func (l *listener) open() error {
	l.once.Do(func() {
		config := net.ListenConfig{}
		if l.deadPeerTimeout > 0 {
			// What is accepted has this from the listening socket.
			config.KeepAlive = -1
			config.Control = func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, l.deadPeerTimeout) }
		}
		l.Listener, l.err = config.Listen(context.Background(), "tcp", string(l.addr))
	})
	return l.err
}

// failed is the address of a listener that does not listen: it tells why.
type failed struct{ error }

func (failed) Network() string  { return "tcp" }
func (f failed) String() string { return f.Error() }

func (l *listener) Addr() net.Addr {
	if err := l.open(); err != nil {
		return failed{err}
	}
	return l.Listener.Addr()
}

func (l *listener) Close() error {
	if err := l.open(); err != nil {
		return err
	}
	return l.Listener.Close()
}

func (l *listener) Accept() (net.Conn, error) {
	if err := l.open(); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil || !l.withoutCloseDetection {
		return c, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &noCloseDetection{TCPConn: tcp}, nil
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
