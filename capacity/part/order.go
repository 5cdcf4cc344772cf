// Package part is one process of a measured mesh: a core, or many nodes. It takes its
// orders as lines of JSON on its input and ends when that ends, so that no process
// outlives the one that measures.
package part

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
)

// Order is one line to a part. Id comes back with the answer; orders run side by side.
type Order struct {
	ID     int           `json:"id"`
	Do     string        `json:"do"`
	Target *plan.Target  `json:"target,omitempty"`
	Core   *CoreBoot     `json:"core,omitempty"`
	Nodes  []int         `json:"nodes,omitempty"` // by index; all of this part if none is named
	Seeds  []ident.Addr  `json:"seeds,omitempty"`
	Whole  bool          `json:"whole,omitempty"` // nodes as a deployment runs them, not hollow
	Fill   int           `json:"fill,omitempty"`  // further endpoints that each hollow node stands in for
	State  gate.State    `json:"state,omitempty"`
	On     bool          `json:"on,omitempty"`
	For    time.Duration `json:"for,omitempty"`
	Want   Want          `json:"want"`
}

// CoreBoot is what a core needs to start.
type CoreBoot struct {
	Index    int          `json:"index"`
	Addr     ident.Addr   `json:"addr"`
	Seeds    []ident.Addr `json:"seeds"`
	Founders []ident.Addr `json:"founders"`
	Data     string       `json:"data"`
}

// Want is what nodes are waited for to know. Invariant: only what is set is asked.
type Want struct {
	Epoch   ident.Epoch `json:"epoch,omitempty"`
	Ready   bool        `json:"ready,omitempty"`
	Servers []Server    `json:"servers,omitempty"` // that are well
	Gone    []Server    `json:"gone,omitempty"`    // that are not well any more
}

// Server is one endpoint.
type Server struct {
	ID      ident.Server  `json:"id"`
	Service ident.Service `json:"service"`
}

// Answer is the line to an order. Times are readings of meter.Now.
type Answer struct {
	ID      int                    `json:"id"`
	Fault   string                 `json:"fault,omitempty"`
	At      int64                  `json:"at,omitempty"`
	Spent   meter.Spent            `json:"spent"`
	Paths   map[string]meter.Count `json:"paths,omitempty"`
	Peers   map[string]meter.Count `json:"peers,omitempty"`
	Board   map[string]int64       `json:"board,omitempty"`
	Duties  map[string]float64     `json:"duties,omitempty"`
	Times   []int64                `json:"times,omitempty"` // one a node that came to know
	Missing int                    `json:"missing,omitempty"`
	Held    time.Duration          `json:"held,omitempty"` // longest that the waiting itself was held up
	Addrs   []ident.Addr           `json:"addrs,omitempty"`
	Callers []ident.Addr           `json:"callers,omitempty"`
	Servers []Server               `json:"servers,omitempty"`
}

// part is the process. Invariant: mu guards what orders change.
type part struct {
	mu     sync.Mutex
	target plan.Target
	meter  *meter.Meter
	core   *core
	nodes  map[int]*node
	seeds  []ident.Addr
	whole  bool
	fill   int
	over   chan struct{}
}

// operations is the table of orders.
var deeds = map[string]func(*part, Order) (Answer, error){
	"begin": (*part).begin, "core": (*part).startCore, "nodes": (*part).startNodes, "stop": (*part).stopNodes,
	"beat": (*part).beat, "await": (*part).await, "read": (*part).read, "profile": (*part).profile, "apart": (*part).apart,
}

// Run takes orders until the input ends.
func Run(in io.Reader, out io.Writer) error {
	p := &part{nodes: map[int]*node{}, over: make(chan struct{})}
	defer p.close()
	var mu sync.Mutex
	say := json.NewEncoder(out)
	lines := bufio.NewReader(in)
	for {
		raw, err := lines.ReadBytes('\n')
		if err != nil {
			return nil
		}
		var o Order
		if err := json.Unmarshal(raw, &o); err != nil {
			return failure.Wrap(err, failure.Malformed, "order")
		}
		act := func() {
			a, err := p.do(o)
			a.ID = o.ID
			if err != nil {
				a.Fault = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			_ = say.Encode(a)
		}
		if o.Do == "begin" {
			act()
			continue
		}
		go act()
	}
}

func (p *part) do(o Order) (Answer, error) {
	deed, ok := deeds[o.Do]
	if !ok {
		return Answer{}, failure.New(failure.Invalid, "no order %q; known: %s", o.Do, strings.Join(slices.Sorted(maps.Keys(deeds)), ", "))
	}
	if o.Do != "begin" && p.meter == nil {
		return Answer{}, failure.New(failure.Invalid, "begin comes first")
	}
	return deed(p, o)
}

func (p *part) begin(o Order) (Answer, error) {
	if o.Target == nil {
		return Answer{}, failure.New(failure.Invalid, "begin needs a target")
	}
	p.target, p.meter = *o.Target, meter.New(o.Target.Region)
	return Answer{}, nil
}

func (p *part) apart(o Order) (Answer, error) {
	p.meter.Apart(o.On)
	return Answer{At: meter.Now()}, nil
}

func (p *part) read(Order) (Answer, error) {
	a := Answer{Spent: meter.Self(), Paths: p.meter.Paths(), Peers: p.meter.Peers()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.core != nil {
		a.Board = p.core.daemon.Board.All()
	}
	for _, n := range p.nodes {
		for name, v := range n.side.Board.All() {
			if a.Board == nil {
				a.Board = map[string]int64{}
			}
			a.Board[name] += v
		}
	}
	return a, nil
}

func (p *part) profile(o Order) (Answer, error) {
	parts, err := meter.Profile(min(o.For, plan.AtMost))
	return Answer{Duties: parts}, err
}

func (p *part) close() {
	close(p.over)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.nodes {
		n.stop()
	}
	if p.core != nil {
		p.core.stop()
	}
}
