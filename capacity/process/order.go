// Package process is one process of a measured mesh: a core, or many nodes. It takes its
// orders as lines of JSON on its input and ends when that ends, so that no process
// outlives the one that measures.
package process

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Command is one line to a part. Id comes back with the answer; orders run side by side.
type Command struct {
	ID             int            `json:"id"`
	Operation      string         `json:"do"`
	Target         *plan.Target   `json:"target,omitempty"`
	Core           *CoreSettings  `json:"core,omitempty"`
	Nodes          []int          `json:"nodes,omitempty"` // by index; all of this part if none is named
	Seeds          []ident.Addr   `json:"seeds,omitempty"`
	Full           bool           `json:"whole,omitempty"` // nodes as a deployment runs them, not hollow
	ExtraEndpoints int            `json:"fill,omitempty"`  // further endpoints that each hollow node stands in for
	State          endpoint.State `json:"state,omitempty"`
	Partitioned    bool           `json:"on,omitempty"`
	Duration       time.Duration  `json:"for,omitempty"`
	Condition      Condition      `json:"want"`
}

// CoreSettings is what a core needs to start.
type CoreSettings struct {
	Index    int          `json:"index"`
	Addr     ident.Addr   `json:"addr"`
	Seeds    []ident.Addr `json:"seeds"`
	Founders []ident.Addr `json:"founders"`
	DataDir  string       `json:"data"`
}

// Condition is what nodes are waited for to know. Invariant: only what is set is asked.
type Condition struct {
	Revision  ident.Epoch `json:"epoch,omitempty"`
	Ready     bool        `json:"ready,omitempty"`
	Healthy   []Endpoint  `json:"servers,omitempty"` // that are well
	Unhealthy []Endpoint  `json:"gone,omitempty"`    // that are not well any more
}

// Endpoint is one endpoint.
type Endpoint struct {
	ID      ident.Server  `json:"id"`
	Service ident.Service `json:"service"`
}

// Response is the line to an order. Times are readings of meter.Now.
type Response struct {
	ID          int                      `json:"id"`
	Error       string                   `json:"fault,omitempty"`
	StartedAt   int64                    `json:"at,omitempty"`
	Usage       meter.Usage              `json:"spent"`
	ByPath      map[string]meter.Traffic `json:"paths,omitempty"`
	ByPeer      map[string]meter.Traffic `json:"peers,omitempty"`
	Counters    map[string]int64         `json:"board,omitempty"`
	CPUShares   map[string]float64       `json:"duties,omitempty"`
	KnownAt     []int64                  `json:"times,omitempty"` // one a node that came to know
	Missing     int                      `json:"missing,omitempty"`
	MaxStall    time.Duration            `json:"held,omitempty"` // longest that the waiting itself was held up
	Addrs       []ident.Addr             `json:"addrs,omitempty"`
	ClientAddrs []ident.Addr             `json:"callers,omitempty"`
	Endpoints   []Endpoint               `json:"servers,omitempty"`
}

// worker is the process. Invariant: mu guards what orders change.
type worker struct {
	mu             sync.Mutex
	target         plan.Target
	meter          *meter.Meter
	core           *core
	nodes          map[int]*node
	seeds          []ident.Addr
	fullNodes      bool
	extraEndpoints int
	closed         chan struct{}
}

// operations is the table of orders.
var handlers = map[string]func(*worker, Command) (Response, error){
	"begin": (*worker).begin, "core": (*worker).startCore, "nodes": (*worker).startNodes, "stop": (*worker).stopNodes,
	"beat": (*worker).setState, "await": (*worker).await, "read": (*worker).readUsage, "profile": (*worker).profile, "apart": (*worker).setPartitioned,
}

// Run takes orders until the input ends.
func Run(in io.Reader, out io.Writer) error {
	w := &worker{nodes: map[int]*node{}, closed: make(chan struct{})}
	defer w.close()
	var mu sync.Mutex
	encoder := json.NewEncoder(out)
	reader := bufio.NewReader(in)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return nil
		}
		var command Command
		if err := json.Unmarshal(line, &command); err != nil {
			return failure.Wrap(err, failure.Malformed, "order")
		}
		handle := func() {
			response, err := w.execute(command)
			response.ID = command.ID
			if err != nil {
				response.Error = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			_ = encoder.Encode(response)
		}
		if command.Operation == "begin" {
			handle()
			continue
		}
		go handle()
	}
}

func (w *worker) execute(command Command) (Response, error) {
	handler, ok := handlers[command.Operation]
	if !ok {
		return Response{}, failure.New(failure.Invalid, "no order %q; known: %s", command.Operation, strings.Join(slices.Sorted(maps.Keys(handlers)), ", "))
	}
	if command.Operation != "begin" && w.meter == nil {
		return Response{}, failure.New(failure.Invalid, "begin comes first")
	}
	return handler(w, command)
}

func (w *worker) begin(command Command) (Response, error) {
	if command.Target == nil {
		return Response{}, failure.New(failure.Invalid, "begin needs a target")
	}
	w.target, w.meter = *command.Target, meter.New(command.Target.Region)
	return Response{}, nil
}

func (w *worker) setPartitioned(command Command) (Response, error) {
	w.meter.SetPartitioned(command.Partitioned)
	return Response{StartedAt: meter.Now()}, nil
}

func (w *worker) readUsage(Command) (Response, error) {
	response := Response{Usage: meter.ProcessUsage(), ByPath: w.meter.Paths(), ByPeer: w.meter.Peers()}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.core != nil {
		response.Counters = w.core.daemon.Metrics.Snapshot()
	}
	for _, n := range w.nodes {
		for name, v := range n.sidecar.Metrics.Snapshot() {
			if response.Counters == nil {
				response.Counters = map[string]int64{}
			}
			response.Counters[name] += v
		}
	}
	return response, nil
}

func (w *worker) profile(command Command) (Response, error) {
	shares, err := meter.Profile(min(command.Duration, plan.MaxWait))
	return Response{CPUShares: shares}, err
}

func (w *worker) close() {
	close(w.closed)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		n.stop()
	}
	if w.core != nil {
		w.core.stop()
	}
}
