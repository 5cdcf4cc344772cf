// Package client sends JSON requests between the mesh's own processes, over kratos' client.
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

// Pool keeps one kratos client for each address.
type Pool struct {
	mu        sync.Mutex
	clients   map[ident.Addr]*khttp.Client
	transport minimalTransport
}

// minimalTransport omits the headers that no process of the mesh reads: many requests are
// smaller than their heads.
type minimalTransport struct{ *http.Transport }

// RoundTrip sends one request.
func (t minimalTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = []string{""}
	return t.Transport.RoundTrip(r)
}

const (
	dialTimeout = 500 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged: a machine that is partitioned
	// or without power would otherwise hold a connection for minutes.
	ackTimeout = 3 * time.Second
	// maxIdleConnsPerHost and idleConnTimeout bound the unused connections that are kept.
	maxIdleConnsPerHost = 16
	idleConnTimeout     = 30 * time.Second
	// maxErrorBytes bounds the error response that is read.
	maxErrorBytes = 1 << 20
)

// keepAlive detects that a machine is unreachable while nothing is sent to it.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// setUserTimeout bounds how long the kernel waits for acknowledgements.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// New makes a pool that dials from the machine's own IP. Each call has a time limit of its own,
// so kratos' is switched off.
func New(localAddr ident.Addr) *Pool { return NewWithDialTimeout(localAddr, dialTimeout) }

// NewWithDialTimeout is New with another dial timeout. A connection that is established after
// its call has ended serves the next call.
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
		return nil, failure.Wrap(err, failure.Internal, "client")
	}
	p.clients[addr] = c
	return c, nil
}

// decodeError turns an error response back into its failure.
func decodeError(_ context.Context, response *http.Response) error {
	if response.StatusCode >= 200 && response.StatusCode < 300 {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return failure.Wrap(err, failure.LostResponse, "read response")
	}
	fail := &failure.Error{}
	if json.Unmarshal(data, fail) != nil || fail.Kind == "" {
		return failure.NewUnknown(failure.BadResponse, "the response has status %d and no failure", response.StatusCode)
	}
	return fail
}

// Call sends one JSON request and reads its JSON response into result, which may be nil.
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
