// Package client is how processes of the mesh ask each other, over kratos' client.
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

// Pool keeps one kratos client an address.
type Pool struct {
	mu   sync.Mutex
	all  map[ident.Addr]*khttp.Client
	trip lean
}

// lean leaves out what no process of the mesh reads: many requests are smaller than their
// heads.
type lean struct{ *http.Transport }

// RoundTrip sends one request.
func (l lean) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header["User-Agent"] = []string{""}
	return l.Transport.RoundTrip(r)
}

const (
	dialMost = 500 * time.Millisecond
	// ackMost is how long bytes may go without an acknowledgement: behind a cut, or without
	// power, a machine is silent and would hold a connection for minutes.
	ackMost = 3 * time.Second
)

// probes find out that a machine is gone while nothing is to be sent to it.
var probes = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

// watch bounds how long the kernel waits for a silent machine.
func watch(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackMost.Milliseconds()))
	}); e != nil {
		return e
	}
	return err
}

// New makes a pool that dials from the machine's own IP. The time limit is each
// call's own, so kratos' is switched off.
func New(own ident.Addr) *Pool { return NewWithin(own, dialMost) }

// NewWithin is New with a limit of its own for a connection to come up. One that comes up
// after its call has ended serves the next.
func NewWithin(own ident.Addr, dial time.Duration) *Pool {
	return &Pool{all: map[ident.Addr]*khttp.Client{}, trip: lean{&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dial, KeepAliveConfig: probes, Control: watch, LocalAddr: own.DialSource()}).DialContext,
		MaxIdleConnsPerHost: 16, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
	}}}
}

func (p *Pool) at(addr ident.Addr) (*khttp.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.all[addr]; ok {
		return c, nil
	}
	c, err := khttp.NewClient(context.Background(), khttp.WithEndpoint(string(addr)), khttp.WithTimeout(0), khttp.WithTransport(p.trip),
		khttp.WithErrorDecoder(decode))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "client")
	}
	p.all[addr] = c
	return c, nil
}

// decode turns a return of the mesh back into its failure.
func decode(_ context.Context, res *http.Response) error {
	if res.StatusCode >= 200 && res.StatusCode < 300 {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(res.Body, 1<<20))
	if err != nil {
		return failure.Wrap(err, failure.LostResponse, "read return")
	}
	d := &failure.Error{}
	if json.Unmarshal(data, d) != nil || d.Kind == "" {
		return failure.NewUnknown(failure.BadResponse, "status %d", res.StatusCode)
	}
	return d
}

// Ask sends one JSON request and reads its JSON return.
func (p *Pool) Ask(ctx context.Context, addr ident.Addr, method, path string, args, into any) error {
	c, err := p.at(addr)
	if err != nil {
		return err
	}
	if into == nil {
		into = &struct{}{}
	}
	if err := c.Invoke(ctx, method, path, args, into); err != nil {
		if d := (*failure.Error)(nil); failure.As(err, &d) {
			return d
		}
		return failure.Wrap(err, failure.LostResponse, "ask "+path)
	}
	return nil
}

// Close lets idle connections go.
func (p *Pool) Close() { p.trip.CloseIdleConnections() }
