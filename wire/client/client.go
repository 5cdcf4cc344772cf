// Package client sends JSON requests between the processes of the mesh through the HTTP client of
// kratos.
package client

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// Pool holds one kratos client for each address.
type Pool struct {
	mu        sync.Mutex
	clients   map[ident.Addr]*khttp.Client
	transport minimalTransport
}

// minimalTransport omits the User-Agent header, which no process of the mesh reads: the bodies of
// many requests are smaller than their heads.
type minimalTransport struct{ *http.Transport }

// RoundTrip sends r without a User-Agent header.
func (t minimalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = []string{""}
	return t.Transport.RoundTrip(r)
}

const (
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel closes the
	// connection. Without the limit, a connection to a machine that is partitioned or without
	// power would stay open for minutes.
	ackTimeout = 3 * time.Second
	// maxIdleConnsPerHost and idleConnTimeout limit the number and the age of idle connections.
	maxIdleConnsPerHost = 16
	idleConnTimeout     = 30 * time.Second
	// maxErrorBytes is how much of the body of an error response is read.
	maxErrorBytes = 1 << 20
)

// keepAlive configures the probes that detect an unreachable machine while a connection is idle.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// setUserTimeout sets TCP_USER_TIMEOUT to ackTimeout on a socket before the socket connects.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// New returns a pool that dials from the IP of localAddr. The pool disables the request timeout of
// kratos, because each call brings its own deadline.
func New(localAddr ident.Addr) *Pool { return NewWithDialTimeout(localAddr, dialTimeout) }

// NewWithDialTimeout is New with the given dial timeout. A connection that is established after
// its call has ended is kept for the next call.
func NewWithDialTimeout(localAddr ident.Addr, timeout time.Duration) *Pool {
	dialer := net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive,
		Control:         setUserTimeout,
		LocalAddr:       localAddr.DialSource(),
	}
	transport := http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Pool{clients: map[ident.Addr]*khttp.Client{}, transport: minimalTransport{&transport}}
}

func (p *Pool) client(addr ident.Addr) (*khttp.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[addr]; ok {
		return c, nil
	}
	c, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(string(addr)),
		khttp.WithTimeout(0),
		khttp.WithTransport(p.transport),
		khttp.WithErrorDecoder(decodeError))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "create client for "+string(addr))
	}
	p.clients[addr] = c
	return c, nil
}

// decodeError returns nil for a 2xx response, and the failure in the body of any other response.
func decodeError(_ context.Context, response *http.Response) error {
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return failure.Wrap(err, failure.LostResponse, "read error response")
	}
	fail := &failure.Error{}
	if json.Unmarshal(data, fail) != nil || fail.Kind == "" {
		return failure.NewUnknown(failure.BadResponse, "the response has status %d, and its body is not a failure in JSON", response.StatusCode)
	}
	return fail
}

// Call sends args as a JSON request and decodes the JSON response into result, which may be nil.
func (p *Pool) Call(ctx context.Context, addr ident.Addr, method, path string, args, result any) error {
	c, err := p.client(addr)
	if err != nil {
		return err
	}
	if result == nil {
		result = &struct{}{}
	}
	if err := c.Invoke(ctx, method, path, args, result); err != nil {
		if fail := (*failure.Error)(nil); failure.As(err, &fail) {
			return fail
		}
		return failure.Wrap(err, failure.LostResponse, "call "+path)
	}
	return nil
}

// Close closes the idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }
