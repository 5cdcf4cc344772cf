// Package endpoint is a stand-in for an application's endpoint. It keeps a ledger of
// every request that it ran.
package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Behavior is how an endpoint behaves.
type Behavior struct {
	// WorkTime is how long a request takes.
	WorkTime time.Duration
	// LostShare is the part of requests that are run and get no return.
	LostShare float64
	// GarbageShare is the part that get a return that is none.
	GarbageShare float64
	// TruncatedShare is the part whose return breaks off in the middle.
	TruncatedShare float64
	// MalformedShare is the part that get something that no endpoint should say: a second return, a
	// wrong length, a flood of 1xx, a return that breaks off after its head.
	MalformedShare float64
	// LongShare is the part that take LongWork.
	LongShare float64
	// Release, when set, is what a request waits for after its work: its closing lets go.
	Release chan struct{}
}

// LongWorkTime is how long a long request takes.
const LongWorkTime = 1800 * time.Millisecond

// malformedResponses is what the odd returns are made of: the whole return and its body go in.
var malformedResponses = []func(whole, body string) string{
	func(whole, _ string) string { return whole + strings.Replace(whole, `"id":"`, `"id":"other-`, 1) },
	func(whole, body string) string {
		return strings.Replace(whole, fmt.Sprint("Content-Length: ", len(body)), fmt.Sprint("Content-Length: ", len(body)-20), 1)
	},
	func(whole, body string) string {
		return strings.Replace(whole, fmt.Sprint("Content-Length: ", len(body)), fmt.Sprint("Content-Length: ", len(body)+20), 1)
	},
	func(whole, _ string) string { return strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 40) + whole },
	func(whole, body string) string { return strings.TrimSuffix(whole, body) },
}

// Execution is one line of the ledger; At is when the request reached the endpoint.
type Execution struct {
	ID         string
	Server     ident.Server
	Service    ident.Service
	ReceivedAt time.Time
}

// ExecutionLog keeps what every endpoint of a run has run.
type ExecutionLog struct {
	mu         sync.Mutex
	executions []Execution
}

// Add writes a line.
func (l *ExecutionLog) Add(execution Execution) {
	l.mu.Lock()
	l.executions = append(l.executions, execution)
	l.mu.Unlock()
}

// All reads the ledger.
func (l *ExecutionLog) All() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution(nil), l.executions...)
}

// Options describes one endpoint.
type Options struct {
	Server      ident.Server
	Service     ident.Service
	Addr        ident.Addr
	SidecarAddr ident.Addr // the sidecar's own address
	Executions  *ExecutionLog
	Behavior    Behavior
	// ForwardAddr, when set, is the sidecar's caller address and a target for a call that
	// each third request makes while it works.
	ForwardAddr ident.Addr
	ForwardHost string
	ForwardPath string
}

// Endpoint runs. Invariant: a request is in the ledger before its return is sent.
type Endpoint struct {
	Options
	server   *http.Server
	inFlight atomic.Int64
	requests atomic.Int64
	state    atomic.Value
	stop     chan struct{}
	client   *http.Client
	behavior atomic.Pointer[Behavior]
	muted    atomic.Bool
	hangMu   sync.Mutex
	awake    chan struct{} // closed when the endpoint wakes, nil while it does not hang
	stopped  sync.Once
}

// Echo is the return of every request: the caller checks it.
type Echo struct {
	ID      string        `json:"id"`
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Path    string        `json:"path"`
	Pad     string        `json:"pad"`
}

// Start listens and beats.
func Start(options Options) (*Endpoint, error) {
	e := &Endpoint{Options: options, stop: make(chan struct{}), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{}}}
	e.state.Store(endpoint.Alive)
	e.behavior.Store(&options.Behavior)
	listener, err := net.Listen("tcp", string(options.Addr))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }}
	go func() { _ = e.server.Serve(hangListener{listener, e}) }()
	go e.sendHeartbeats()
	return e, nil
}

// SetBehavior changes the mood.
func (e *Endpoint) SetBehavior(behavior Behavior) { e.behavior.Store(&behavior) }

// Hang makes the endpoint hang: connections are still taken, and what comes by them is
// read when it wakes; it does not beat.
func (e *Endpoint) Hang(on bool) {
	e.Mute(on)
	e.hangMu.Lock()
	defer e.hangMu.Unlock()
	switch {
	case on && e.awake == nil:
		e.awake = make(chan struct{})
	case !on && e.awake != nil:
		close(e.awake)
		e.awake = nil
	}
}

// waitWhileHung waits while the endpoint hangs; it tells whether it had to.
func (e *Endpoint) waitWhileHung() bool {
	e.hangMu.Lock()
	awake := e.awake
	e.hangMu.Unlock()
	if awake == nil {
		return false
	}
	select {
	case <-awake:
	case <-e.stop:
	}
	return true
}

// hangListener and held are a listener and its connections while their endpoint may hang.
type hangListener struct {
	net.Listener
	endpoint *Endpoint
}

type hangConn struct {
	net.Conn
	endpoint   *Endpoint
	acceptedAt time.Time   // when it was taken
	delayed    atomic.Bool // what was read last had waited for the endpoint to wake
}

// connKey is the key under which a request finds its connection.
type connKey struct{}

// Accept takes a connection, hung or not.
func (h hangListener) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hangConn{Conn: c, endpoint: h.endpoint, acceptedAt: time.Now()}, nil
}

// Read waits while the endpoint hangs.
func (c *hangConn) Read(p []byte) (int, error) {
	c.delayed.Store(c.endpoint.waitWhileHung())
	return c.Conn.Read(p)
}

// Write waits while the endpoint hangs.
func (c *hangConn) Write(p []byte) (int, error) {
	c.endpoint.waitWhileHung()
	return c.Conn.Write(p)
}

// InFlight is how many requests it works at.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() }

// Mute stops the beats while requests are still taken.
func (e *Endpoint) Mute(on bool) { e.muted.Store(on) }

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	receivedAt := time.Now()
	if c, ok := r.Context().Value(connKey{}).(*hangConn); ok && c.delayed.Load() {
		receivedAt = c.acceptedAt // it lay in the socket of an endpoint that hung
	}
	if e.Executions != nil {
		e.Executions.Add(Execution{ID: id, Server: e.Server, Service: e.Service, ReceivedAt: receivedAt})
	}
	number := e.requests.Add(1)
	behavior := e.behavior.Load()
	work := behavior.WorkTime
	if rand.Float64() < behavior.LongShare {
		work = LongWorkTime
	}
	if work > 0 {
		timer := time.NewTimer(work)
		<-timer.C
	}
	if behavior.Release != nil {
		<-behavior.Release
	}
	if e.ForwardAddr != "" && number%3 == 0 && r.Header.Get("X-Onward") == "" {
		e.forward(id)
	}
	draw := rand.Float64()
	echo, _ := json.Marshal(Echo{ID: id, Server: e.Server, Service: e.Service, Path: r.URL.Path, Pad: fmt.Sprintf("%0*d", 200+len(body)%100, 0)})
	switch {
	case draw < behavior.LostShare:
		panic(http.ErrAbortHandler)
	case draw < behavior.LostShare+behavior.GarbageShare:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = c.Write([]byte("\x00\x17garbage that is no return\r\n\r\n"))
			_ = c.Close()
		}
		return
	case draw < behavior.LostShare+behavior.GarbageShare+behavior.TruncatedShare:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(echo)))
		_, _ = w.Write(echo[:len(echo)/2])
		panic(http.ErrAbortHandler)
	}
	if draw < behavior.LostShare+behavior.GarbageShare+behavior.TruncatedShare+behavior.MalformedShare {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(echo), echo)
			_, _ = c.Write([]byte(malformedResponses[int(number)%len(malformedResponses)](whole, string(echo))))
			_ = c.Close()
		}
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(echo)
}

func (e *Endpoint) forward(id string) {
	req, err := http.NewRequest("GET", "http://"+string(e.ForwardAddr)+e.ForwardPath, nil)
	if err != nil {
		return
	}
	req.Host = e.ForwardHost
	req.Header.Set("X-Request-Id", id+"-on")
	req.Header.Set("X-Onward", "1")
	req.Header.Set("X-Caller", string(e.Service))
	if res, err := e.client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

func (e *Endpoint) sendHeartbeat(state endpoint.State) bool {
	body, _ := json.Marshal(endpoint.Heartbeat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: state, Load: float64(e.inFlight.Load()) / 16})
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+string(e.SidecarAddr)+"/beat", bytes.NewReader(body))
	if err != nil {
		return false
	}
	res, err := e.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode == 200
}

func (e *Endpoint) sendHeartbeats() {
	ticker := time.NewTicker(endpoint.HeartbeatInterval)
	defer ticker.Stop()
	for {
		if !e.muted.Load() {
			e.sendHeartbeat(e.state.Load().(endpoint.State))
		}
		select {
		case <-ticker.C:
		case <-e.stop:
			return
		}
	}
}

// Leave says that the endpoint will leave; it answers when that is confirmed.
func (e *Endpoint) Leave() bool {
	e.state.Store(endpoint.Leaving)
	return e.sendHeartbeat(endpoint.Leaving)
}

// Stop leaves, finishes what is in hand, signs off and ends.
func (e *Endpoint) Stop(timeout time.Duration) {
	e.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for idleTicks := 0; idleTicks < 5 && ctx.Err() == nil; {
		<-ticker.C
		if idleTicks++; e.inFlight.Load() > 0 {
			idleTicks = 0
		}
	}
	e.stopped.Do(func() { close(e.stop) })
	e.sendHeartbeat(endpoint.Gone)
	_ = e.server.Shutdown(ctx)
	e.client.CloseIdleConnections()
}

// Kill ends at once, without a word.
func (e *Endpoint) Kill() {
	e.stopped.Do(func() { close(e.stop) })
	_ = e.server.Close()
	e.client.CloseIdleConnections()
}
