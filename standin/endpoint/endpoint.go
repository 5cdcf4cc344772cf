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

// Mood is how an endpoint behaves.
type Mood struct {
	// Work is how long a request takes.
	Work time.Duration
	// Lose is the part of requests that are run and get no return.
	Lose float64
	// Garbage is the part that get a return that is none.
	Garbage float64
	// Cut is the part whose return breaks off in the middle.
	Cut float64
	// Odd is the part that get something that no endpoint should say: a second return, a
	// wrong length, a flood of 1xx, a return that breaks off after its head.
	Odd float64
	// Long is the part that take LongWork.
	Long float64
	// Hold, when set, is what a request waits for after its work: its closing lets go.
	Hold chan struct{}
}

// LongWork is how long a long request takes.
const LongWork = 1800 * time.Millisecond

// odd is what the odd returns are made of: the whole return and its body go in.
var odd = []func(whole, body string) string{
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

// Ran is one line of the ledger; At is when the request reached the endpoint.
type Ran struct {
	ID      string
	Server  ident.Server
	Service ident.Service
	At      time.Time
}

// Ledger keeps what every endpoint of a run has run.
type Ledger struct {
	mu  sync.Mutex
	all []Ran
}

// Add writes a line.
func (l *Ledger) Add(r Ran) { l.mu.Lock(); l.all = append(l.all, r); l.mu.Unlock() }

// All reads the ledger.
func (l *Ledger) All() []Ran { l.mu.Lock(); defer l.mu.Unlock(); return append([]Ran(nil), l.all...) }

// Boot describes one endpoint.
type Boot struct {
	Server  ident.Server
	Service ident.Service
	Addr    ident.Addr
	Beat    ident.Addr // the sidecar's own address
	Ledger  *Ledger
	Mood    Mood
	// Onward, when set, is the sidecar's caller address and a target for a call that
	// each third request makes while it works.
	Onward     ident.Addr
	OnwardHost string
	OnwardPath string
}

// Endpoint runs. Invariant: a request is in the ledger before its return is sent.
type Endpoint struct {
	Boot
	srv     *http.Server
	hand    atomic.Int64
	count   atomic.Int64
	state   atomic.Value
	stop    chan struct{}
	client  *http.Client
	mood    atomic.Pointer[Mood]
	mute    atomic.Bool
	hold    sync.Mutex
	hung    chan struct{} // closed when the endpoint wakes, nil while it does not hang
	stopped sync.Once
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
func Start(b Boot) (*Endpoint, error) {
	e := &Endpoint{Boot: b, stop: make(chan struct{}), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{}}}
	e.state.Store(endpoint.Alive)
	e.mood.Store(&b.Mood)
	lis, err := net.Listen("tcp", string(b.Addr))
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e.srv = &http.Server{Handler: http.HandlerFunc(e.serve), ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, reached{}, c) }}
	go func() { _ = e.srv.Serve(hangs{lis, e}) }()
	go e.beats()
	return e, nil
}

// Behave changes the mood.
func (e *Endpoint) Behave(m Mood) { e.mood.Store(&m) }

// Hang makes the endpoint hang: connections are still taken, and what comes by them is
// read when it wakes; it does not beat.
func (e *Endpoint) Hang(on bool) {
	e.Mute(on)
	e.hold.Lock()
	defer e.hold.Unlock()
	switch {
	case on && e.hung == nil:
		e.hung = make(chan struct{})
	case !on && e.hung != nil:
		close(e.hung)
		e.hung = nil
	}
}

// wait waits while the endpoint hangs; it tells whether it had to.
func (e *Endpoint) wait() bool {
	e.hold.Lock()
	hung := e.hung
	e.hold.Unlock()
	if hung == nil {
		return false
	}
	select {
	case <-hung:
	case <-e.stop:
	}
	return true
}

// hangs and held are a listener and its connections while their endpoint may hang.
type hangs struct {
	net.Listener
	e *Endpoint
}

type held struct {
	net.Conn
	e       *Endpoint
	at      time.Time   // when it was taken
	waiting atomic.Bool // what was read last had waited for the endpoint to wake
}

// reached is the key under which a request finds its connection.
type reached struct{}

// Accept takes a connection, hung or not.
func (h hangs) Accept() (net.Conn, error) {
	c, err := h.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &held{Conn: c, e: h.e, at: time.Now()}, nil
}

// Read waits while the endpoint hangs.
func (c *held) Read(p []byte) (int, error) {
	c.waiting.Store(c.e.wait())
	return c.Conn.Read(p)
}

// Write waits while the endpoint hangs.
func (c *held) Write(p []byte) (int, error) {
	c.e.wait()
	return c.Conn.Write(p)
}

// Hand is how many requests it works at.
func (e *Endpoint) Hand() int64 { return e.hand.Load() }

// Mute stops the beats while requests are still taken.
func (e *Endpoint) Mute(on bool) { e.mute.Store(on) }

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.hand.Add(1)
	defer e.hand.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	at := time.Now()
	if c, ok := r.Context().Value(reached{}).(*held); ok && c.waiting.Load() {
		at = c.at // it lay in the socket of an endpoint that hung
	}
	if e.Ledger != nil {
		e.Ledger.Add(Ran{ID: id, Server: e.Server, Service: e.Service, At: at})
	}
	n := e.count.Add(1)
	m := e.mood.Load()
	work := m.Work
	if rand.Float64() < m.Long {
		work = LongWork
	}
	if work > 0 {
		t := time.NewTimer(work)
		<-t.C
	}
	if m.Hold != nil {
		<-m.Hold
	}
	if e.Onward != "" && n%3 == 0 && r.Header.Get("X-Onward") == "" {
		e.onward(id)
	}
	x := rand.Float64()
	echo, _ := json.Marshal(Echo{ID: id, Server: e.Server, Service: e.Service, Path: r.URL.Path, Pad: fmt.Sprintf("%0*d", 200+len(body)%100, 0)})
	switch {
	case x < m.Lose:
		panic(http.ErrAbortHandler)
	case x < m.Lose+m.Garbage:
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = c.Write([]byte("\x00\x17garbage that is no return\r\n\r\n"))
			_ = c.Close()
		}
		return
	case x < m.Lose+m.Garbage+m.Cut:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(echo)))
		_, _ = w.Write(echo[:len(echo)/2])
		panic(http.ErrAbortHandler)
	}
	if x < m.Lose+m.Garbage+m.Cut+m.Odd {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(echo), echo)
			_, _ = c.Write([]byte(odd[int(n)%len(odd)](whole, string(echo))))
			_ = c.Close()
		}
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(echo)
}

func (e *Endpoint) onward(id string) {
	req, err := http.NewRequest("GET", "http://"+string(e.Onward)+e.OnwardPath, nil)
	if err != nil {
		return
	}
	req.Host = e.OnwardHost
	req.Header.Set("X-Request-Id", id+"-on")
	req.Header.Set("X-Onward", "1")
	req.Header.Set("X-Caller", string(e.Service))
	if res, err := e.client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
}

func (e *Endpoint) beat(s endpoint.State) bool {
	raw, _ := json.Marshal(endpoint.Heartbeat{Server: e.Server, Service: e.Service, Addr: e.Addr, State: s, Load: float64(e.hand.Load()) / 16})
	ctx, done := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer done()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+string(e.Beat)+"/beat", bytes.NewReader(raw))
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

func (e *Endpoint) beats() {
	t := time.NewTicker(endpoint.HeartbeatInterval)
	defer t.Stop()
	for {
		if !e.mute.Load() {
			e.beat(e.state.Load().(endpoint.State))
		}
		select {
		case <-t.C:
		case <-e.stop:
			return
		}
	}
}

// Leave says that the endpoint will leave; it answers when that is confirmed.
func (e *Endpoint) Leave() bool {
	e.state.Store(endpoint.Leaving)
	return e.beat(endpoint.Leaving)
}

// Stop leaves, finishes what is in hand, signs off and ends.
func (e *Endpoint) Stop(drain time.Duration) {
	e.Leave()
	ctx, done := context.WithTimeout(context.Background(), drain)
	defer done()
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for quiet := 0; quiet < 5 && ctx.Err() == nil; {
		<-t.C
		if quiet++; e.hand.Load() > 0 {
			quiet = 0
		}
	}
	e.stopped.Do(func() { close(e.stop) })
	e.beat(endpoint.Gone)
	_ = e.srv.Shutdown(ctx)
	e.client.CloseIdleConnections()
}

// Die ends at once, without a word.
func (e *Endpoint) Die() {
	e.stopped.Do(func() { close(e.stop) })
	_ = e.srv.Close()
	e.client.CloseIdleConnections()
}
