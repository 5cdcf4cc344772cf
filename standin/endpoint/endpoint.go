// Package endpoint is a stand-in for an application's endpoint. It logs every request that it
// executes.
package endpoint

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

const (
	// clientTimeout bounds the requests that the endpoint makes itself.
	clientTimeout = time.Second
	// drainInterval is how often a stop checks whether requests are in flight; it ends after
	// drainTicks checks in a row that found none.
	drainInterval = 20 * time.Millisecond
	drainTicks    = 5
)

// Options describe one endpoint.
type Options struct {
	Server  ident.Server
	Service ident.Service
	Addr    ident.Addr
	// SidecarAddr is the address of its sidecar, which takes the heartbeats.
	SidecarAddr ident.Addr
	Executions  *ExecutionLog
	Behavior    Behavior
	// ForwardAddr, when set, is the sidecar's address for clients. One in forwardEvery requests sends
	// a request of its own there, to ForwardHost and ForwardPath.
	ForwardAddr ident.Addr
	ForwardHost string
	ForwardPath string
}

// Endpoint is a running endpoint. Invariant: a request is in the execution log before its
// response is sent.
type Endpoint struct {
	Options
	server   *http.Server
	inFlight atomic.Int64
	requests atomic.Int64
	state    atomic.Value // endpoint.State
	// heartbeatSeq is the Seq of the last heartbeat. It begins at the time of the start, so that it
	// rises over the runs of one server id.
	heartbeatSeq atomic.Uint64
	stop         chan struct{}
	stopped      sync.Once
	client       *http.Client
	behavior     atomic.Pointer[Behavior]
	muted        atomic.Bool
	hangMu       sync.Mutex
	awake        chan struct{} // closed when the endpoint wakes; nil while it does not hang
}

// Start listens and sends heartbeats, until Stop or Kill.
func Start(options Options) (*Endpoint, error) {
	e := &Endpoint{
		Options: options,
		stop:    make(chan struct{}),
		client:  &http.Client{Timeout: clientTimeout, Transport: &http.Transport{}},
	}
	e.state.Store(endpoint.Alive)
	e.heartbeatSeq.Store(uint64(time.Now().UnixMicro()))
	e.behavior.Store(&options.Behavior)
	listener, err := net.Listen("tcp", string(options.Addr))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, "listen")
	}
	paths := http.NewServeMux()
	paths.HandleFunc("GET "+HealthPath, e.serveHealth)
	paths.HandleFunc("/", e.serve)
	e.server = &http.Server{
		Handler: paths,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	go func() { _ = e.server.Serve(hangListener{listener, e}) }()
	go e.sendHeartbeats()
	return e, nil
}

// SetBehavior changes the behavior.
func (e *Endpoint) SetBehavior(behavior Behavior) { e.behavior.Store(&behavior) }

// InFlight returns the number of requests in flight.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() }

// SetHeartbeatsMuted stops or resumes the heartbeats. The endpoint serves requests in both cases.
func (e *Endpoint) SetHeartbeatsMuted(on bool) { e.muted.Store(on) }

// Leave reports that the endpoint will leave, and tells whether the sidecar confirmed it.
func (e *Endpoint) Leave() bool {
	e.state.Store(endpoint.Leaving)
	return e.sendHeartbeat(endpoint.Leaving)
}

// Deregister reports to the sidecar that the endpoint is gone, and returns whether the sidecar
// confirmed the report. The endpoint continues to serve requests and sends no further heartbeat,
// except when deliverLate is called: deliverLate sends a heartbeat that was made before the report,
// as if the network had delayed that heartbeat.
func (e *Endpoint) Deregister() (confirmed bool, deliverLate func()) {
	late := e.newHeartbeat(endpoint.Alive)
	e.SetHeartbeatsMuted(true)
	e.state.Store(endpoint.Gone)
	return e.sendHeartbeat(endpoint.Gone), func() { e.deliver(late) }
}

// Stop leaves unless the endpoint has signed off, finishes the requests in flight within the timeout,
// reports that the endpoint is gone and closes it.
func (e *Endpoint) Stop(timeout time.Duration) {
	if e.state.Load() != endpoint.Gone {
		e.Leave()
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	e.drain(ctx)
	e.stopped.Do(func() { close(e.stop) })
	e.sendHeartbeat(endpoint.Gone)
	_ = e.server.Shutdown(ctx)
	e.client.CloseIdleConnections()
}

// drain waits until no request has been in flight for a while, or ctx ends.
func (e *Endpoint) drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for idleTicks := 0; idleTicks < drainTicks && ctx.Err() == nil; {
		<-ticker.C
		if idleTicks++; e.inFlight.Load() > 0 {
			idleTicks = 0
		}
	}
}

// Kill closes the endpoint at once and reports nothing.
func (e *Endpoint) Kill() {
	e.stopped.Do(func() { close(e.stop) })
	_ = e.server.Close()
	e.client.CloseIdleConnections()
}
