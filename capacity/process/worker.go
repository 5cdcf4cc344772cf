// Package process implements one process of a measured mesh, which runs a core or many nodes. The
// process reads commands as lines of JSON from its standard input and exits at the end of the input,
// so that no process outlives the measuring process.
package process

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/plan"
)

// worker holds the state of the process. Invariant: mu guards the fields below mu.
type worker struct {
	target plan.Target // set by Begin together with meter
	meter  *meter.Meter
	closed chan struct{}

	stoppingNodes sync.WaitGroup // nodes whose daemons are closing

	mu             sync.Mutex
	core           *core
	nodes          map[int]*node // by node number
	seeds          []ident.Addr
	fullNodes      bool
	extraEndpoints int
}

// handlers maps operations to their handlers.
var handlers = map[string]func(*worker, Command) (Response, error){
	Begin:        (*worker).begin,
	StartCore:    (*worker).startCore,
	StartNodes:   (*worker).startNodes,
	StopNodes:    (*worker).stopNodes,
	SetState:     (*worker).setState,
	Await:        (*worker).await,
	ReadUsage:    (*worker).readUsage,
	Profile:      (*worker).profile,
	SetPartition: (*worker).setPartition,
}

// Run executes commands until the end of the input, then closes all daemons. Commands that are still
// running at that time are abandoned when the process exits.
func Run(in io.Reader, out io.Writer) error {
	w := &worker{nodes: map[int]*node{}, closed: make(chan struct{})}
	defer w.close()
	responses := &responseWriter{encoder: json.NewEncoder(out)}
	reader := bufio.NewReader(in)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return nil // the measuring process has closed the input or has exited
		}
		var command Command
		if err := json.Unmarshal(line, &command); err != nil {
			return failure.Wrap(err, failure.Malformed, "decode a command")
		}
		if command.Operation == Begin {
			responses.write(w.handle(command))
			continue
		}
		go func() { responses.write(w.handle(command)) }()
	}
}

// responseWriter serializes the writing of responses by concurrent commands.
type responseWriter struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func (r *responseWriter) write(response Response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.encoder.Encode(response)
}

// handle executes a command and sets the ID and the error of its response.
func (w *worker) handle(command Command) Response {
	response, err := w.dispatch(command)
	response.ID = command.ID
	if err != nil {
		response.Error = err.Error()
	}
	return response
}

// dispatch calls the handler of the command's operation.
func (w *worker) dispatch(command Command) (Response, error) {
	handler, ok := handlers[command.Operation]
	if !ok {
		known := strings.Join(slices.Sorted(maps.Keys(handlers)), ", ")
		return Response{}, failure.New(failure.Invalid, "unknown operation %q; known operations: %s", command.Operation, known)
	}
	if command.Operation != Begin && w.meter == nil {
		return Response{}, failure.New(failure.Invalid, "the first command must be %q", Begin)
	}
	return handler(w, command)
}

// begin sets the target and creates the meter.
func (w *worker) begin(command Command) (Response, error) {
	if command.Target == nil {
		return Response{}, failure.New(failure.Invalid, "command %q has no target", Begin)
	}
	w.target, w.meter = *command.Target, meter.New(command.Target.Region)
	return Response{}, nil
}

// setPartition partitions the network between regions or heals the partition.
func (w *worker) setPartition(command Command) (Response, error) {
	w.meter.SetPartitioned(command.Partitioned)
	return Response{StartedAt: meter.Now()}, nil
}

// readUsage reads the resource usage of the process and the metrics counters of its daemons.
func (w *worker) readUsage(Command) (Response, error) {
	response := Response{Usage: meter.ProcessUsage(), ByPath: w.meter.Paths(), ByPeer: w.meter.Peers()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.core != nil {
		response.Counters = w.core.daemon.Metrics.Snapshot()
	}
	for _, n := range w.nodes {
		for name, value := range n.sidecar.Metrics.Snapshot() {
			if response.Counters == nil {
				response.Counters = map[string]int64{}
			}
			response.Counters[name] += value
		}
	}
	return response, nil
}

// profile takes a CPU profile of the process.
func (w *worker) profile(command Command) (Response, error) {
	shares, err := meter.Profile(min(command.Duration, plan.MaxWait))
	return Response{CPUShares: shares}, err
}

// serve runs a daemon's HTTP server on a new listener; the meter counts the traffic.
func (w *worker) serve(server *http.Server, addr ident.Addr) error {
	listener, err := net.Listen("tcp", string(addr))
	if err != nil {
		return failure.Wrap(err, failure.Internal, "open a listener")
	}
	server.Handler = w.meter.WrapHandler(server.Handler)
	go func() { _ = server.Serve(w.meter.WrapListener(listener)) }()
	return nil
}

// close ends running Await commands and stops all nodes and the core.
func (w *worker) close() {
	close(w.closed)
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.stoppingNodes.Wait()
	for _, n := range w.nodes {
		n.stop()
	}
	if w.core != nil {
		w.core.stop()
	}
}
