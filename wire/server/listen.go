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
	net.Listener
	err error
}

func (l *listener) open() error {
	l.once.Do(func() {
		conf := net.ListenConfig{}
		if l.silence > 0 {
			// What is accepted has this from the listening socket.
			conf.KeepAlive = -1
			conf.Control = func(_, _ string, raw syscall.RawConn) error { return idletimeout.Set(raw, l.silence) }
		}
		l.Listener, l.err = conf.Listen(context.Background(), "tcp", string(l.addr))
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
	if err != nil || !l.deaf {
		return c, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &deaf{TCPConn: tcp}, nil
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
