// Package endpoint implements a stand-in for the endpoint of an application. The stand-in logs every
// request that it executes, and can inject faults.
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
	// clientTimeout bounds the requests that the endpoint sends.
	clientTimeout = time.Second
	// drainInterval is the interval at which a stopping endpoint checks whether requests are in
	// flight. Draining ends after requiredIdleTicks consecutive checks that found no request.
	drainInterval     = 20 * time.Millisecond
	requiredIdleTicks = 5
)

// Options configures an endpoint.
type Options struct {
	Server  ident.Server
	Service ident.Service
	Addr    ident.Addr
	// SidecarAddr is the address of the endpoint's sidecar, which receives the heartbeats.
	SidecarAddr ident.Addr
	Executions  *ExecutionLog
	Behavior    Behavior
	// ForwardAddr, if set, is the sidecar's address for clients. While the endpoint executes one in
	// forwardEvery requests, the endpoint sends a request with ForwardHost and ForwardPath to that
	// address.
	ForwardAddr ident.Addr
	ForwardHost string
	ForwardPath string
}

// Endpoint is a running stand-in endpoint. Invariant: a request is in the execution log before the
// response to the request is sent.
type Endpoint struct {
	Options
	server       *http.Server
	inFlight     atomic.Int64
	requestCount atomic.Int64
	state        atomic.Value // endpoint.State
	// heartbeatSeq is the Seq of the last heartbeat. The initial value is the start time in
	// microseconds, so that Seq also increases across the runs of one server id.
	heartbeatSeq    atomic.Uint64
	stop            chan struct{}
	stopped         sync.Once
	client          *http.Client
	behavior        atomic.Pointer[Behavior]
	heartbeatsMuted atomic.Bool
	hangMu          sync.Mutex
	resumed         chan struct{} // closed when the endpoint resumes; nil while the endpoint does not hang
}

// Start starts an endpoint, which serves requests and sends heartbeats until Stop or Kill.
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
		return nil, failure.Wrap(err, failure.Internal, "can't open the listener")
	}
	paths := http.NewServeMux()
	paths.HandleFunc("GET "+HealthPath, e.serveHealth)
	paths.HandleFunc("/", e.serve)
	e.server = &http.Server{
		Handler: paths,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, c)
		},
	}
	go func() { _ = e.server.Serve(hangingListener{listener, e}) }()
	go e.sendHeartbeats()
	return e, nil
}

// SetBehavior changes the behavior for requests whose execution starts afterwards.
func (e *Endpoint) SetBehavior(behavior Behavior) { e.behavior.Store(&behavior) }

// InFlight returns the number of requests in flight.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() }

// SetHeartbeatsMuted stops or resumes the heartbeats. The endpoint serves requests in both cases.
func (e *Endpoint) SetHeartbeatsMuted(muted bool) { e.heartbeatsMuted.Store(muted) }

// Leave reports to the sidecar that the endpoint is leaving, and returns whether the sidecar confirmed
// the report.
func (e *Endpoint) Leave() bool {
	e.state.Store(endpoint.Leaving)
	return e.sendHeartbeat(endpoint.Leaving)
}

// Deregister reports to the sidecar that the endpoint is gone, and returns whether the sidecar
// confirmed the report. The endpoint continues to serve requests and sends no further heartbeat,
// except when sendDelayed is called: sendDelayed sends a heartbeat that was made before the report,
// as if the network had delayed that heartbeat.
func (e *Endpoint) Deregister() (confirmed bool, sendDelayed func()) {
	delayed := e.newHeartbeat(endpoint.Alive)
	e.SetHeartbeatsMuted(true)
	e.state.Store(endpoint.Gone)
	return e.sendHeartbeat(endpoint.Gone), func() { e.postHeartbeat(delayed) }
}

// Stop stops the endpoint gracefully. Stop reports that the endpoint is leaving, unless the endpoint
// has deregistered, waits up to the timeout for the requests in flight, reports that the endpoint is
// gone and closes the server.
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

// drain waits until requiredIdleTicks consecutive checks found no request in flight, or ctx ends.
func (e *Endpoint) drain(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for idleTicks := 0; idleTicks < requiredIdleTicks && ctx.Err() == nil; {
		<-ticker.C
		if idleTicks++; e.inFlight.Load() > 0 {
			idleTicks = 0
		}
	}
}

// Kill closes the endpoint immediately, without a report to the sidecar.
func (e *Endpoint) Kill() {
	e.stopped.Do(func() { close(e.stop) })
	_ = e.server.Close()
	e.client.CloseIdleConnections()
}
