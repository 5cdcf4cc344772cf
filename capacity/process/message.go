package process

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Operations that a process is commanded to do. Begin comes first.
const (
	Begin        = "begin"   // sets the target
	StartCore    = "core"    // starts the core of Command.Core
	StartNodes   = "nodes"   // starts nodes, or starts anew those that were stopped
	StopNodes    = "stop"    // ends nodes at once, as the loss of their machine would
	SetState     = "beat"    // makes the nodes' endpoints report Command.State
	Await        = "await"   // waits until each node meets Command.Condition
	ReadUsage    = "read"    // reads what the process has used
	Profile      = "profile" // samples the process for Command.Duration
	SetPartition = "apart"   // cuts the regions apart, or joins them again
)

// Command is one line to a process. The response bears the same ID; commands but Begin run
// side by side.
type Command struct {
	ID             int            `json:"id"`
	Operation      string         `json:"do"`
	Target         *plan.Target   `json:"target,omitempty"`
	Core           *CoreSettings  `json:"core,omitempty"`
	Nodes          []int          `json:"nodes,omitempty"` // by number
	Seeds          []ident.Addr   `json:"seeds,omitempty"`
	Full           bool           `json:"whole,omitempty"` // nodes as a deployment runs them, not hollow ones
	ExtraEndpoints int            `json:"fill,omitempty"`  // further endpoints that each hollow node stands in for
	State          endpoint.State `json:"state,omitempty"`
	Partitioned    bool           `json:"on,omitempty"`
	Duration       time.Duration  `json:"for,omitempty"` // of a profile; bound of a wait
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

// Condition is what a node must know for a wait to end. A field that is empty is not checked.
type Condition struct {
	Revision  ident.ConfigRevision `json:"epoch,omitempty"`   // in force, or a newer one
	Ready     bool                 `json:"ready,omitempty"`   // the node itself
	Healthy   []Endpoint           `json:"servers,omitempty"` // endpoints known as healthy
	Unhealthy []Endpoint           `json:"gone,omitempty"`    // endpoints not known as healthy any more
}

// Endpoint names one endpoint of the mesh.
type Endpoint struct {
	ID      ident.Server  `json:"id"`
	Service ident.Service `json:"service"`
}

// AliveHeartbeat is the heartbeat by which the endpoint reports that it is well, at an address.
func (e Endpoint) AliveHeartbeat(addr ident.Addr) endpoint.Heartbeat {
	return endpoint.Heartbeat{Server: e.ID, Service: e.Service, Addr: addr, State: endpoint.Alive, Weight: 1}
}

// DiscardAddr is an address on which nothing listens, of endpoints that take no calls.
func DiscardAddr(ip string) ident.Addr { return ident.Addr(ip + ":9") }

// Response is the line that answers a command. Instants are readings of meter.Now.
type Response struct {
	ID          int                      `json:"id"`
	Error       string                   `json:"fault,omitempty"`
	StartedAt   int64                    `json:"at,omitempty"` // when the operation began to take effect
	Usage       meter.Usage              `json:"spent"`
	ByPath      map[string]meter.Traffic `json:"paths,omitempty"`
	ByPeer      map[string]meter.Traffic `json:"peers,omitempty"`
	Counters    map[string]int64         `json:"board,omitempty"`  // of the daemons, summed
	CPUShares   map[string]float64       `json:"duties,omitempty"` // of the processor time, by activity
	MetAt       []int64                  `json:"times,omitempty"`  // when each node met the condition
	TimedOut    int                      `json:"missing,omitempty"`
	MaxStall    time.Duration            `json:"held,omitempty"` // longest time by which a poll of the wait came late
	Addrs       []ident.Addr             `json:"addrs,omitempty"`
	ClientAddrs []ident.Addr             `json:"callers,omitempty"`
	Endpoints   []Endpoint               `json:"servers,omitempty"`
}
