package process

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Operations of commands. Begin must be the first command of a process.
const (
	Begin        = "begin"   // sets the target
	StartCore    = "core"    // starts a core with the settings in Command.Core
	StartNodes   = "nodes"   // starts new nodes, or restarts stopped nodes
	StopNodes    = "stop"    // stops nodes abruptly, like the loss of their machine
	SetState     = "beat"    // makes the nodes' endpoints report Command.State
	Await        = "await"   // waits until each node meets Command.Condition
	ReadUsage    = "read"    // reads the resource usage of the process
	Profile      = "profile" // takes a CPU profile of the process for Command.Duration
	SetPartition = "apart"   // partitions the network between regions, or heals the partition
)

// Command is one line of input to a process. Its response has the same ID. All commands except
// Begin run concurrently.
type Command struct {
	ID             int            `json:"id"`
	Operation      string         `json:"do"`
	Target         *plan.Target   `json:"target,omitempty"`
	Core           *CoreSettings  `json:"core,omitempty"`
	Nodes          []int          `json:"nodes,omitempty"` // numbers of the nodes
	Seeds          []ident.Addr   `json:"seeds,omitempty"`
	Full           bool           `json:"whole,omitempty"` // start full nodes instead of hollow nodes
	ExtraEndpoints int            `json:"fill,omitempty"`  // simulated endpoints on each hollow node, besides its own
	State          endpoint.State `json:"state,omitempty"`
	Partitioned    bool           `json:"on,omitempty"`
	Duration       time.Duration  `json:"for,omitempty"` // length of a profile, or timeout of Await
	Condition      Condition      `json:"want"`
}

// CoreSettings holds the settings with which a core starts.
type CoreSettings struct {
	Index    int          `json:"index"`
	Addr     ident.Addr   `json:"addr"`
	Seeds    []ident.Addr `json:"seeds"`
	Founders []ident.Addr `json:"founders"`
	DataDir  string       `json:"data"`
}

// Condition is the state that each node must reach for Await to end. Empty fields are not checked.
type Condition struct {
	Revision  ident.ConfigRevision `json:"epoch,omitempty"`   // the node has applied this revision or a newer revision
	Ready     bool                 `json:"ready,omitempty"`   // the node is ready
	Healthy   []Endpoint           `json:"servers,omitempty"` // endpoints that are healthy in the registry of the node
	Unhealthy []Endpoint           `json:"gone,omitempty"`    // endpoints that are not healthy in that registry
}

// Endpoint identifies one endpoint of the mesh.
type Endpoint struct {
	ID      ident.Server  `json:"id"`
	Service ident.Service `json:"service"`
}

// AliveHeartbeat returns the heartbeat that reports the endpoint as alive at an address.
func (e Endpoint) AliveHeartbeat(addr ident.Addr) endpoint.Heartbeat {
	return endpoint.Heartbeat{Server: e.ID, Service: e.Service, Addr: addr, State: endpoint.Alive, Weight: 1}
}

// DiscardAddr returns the address of an endpoint that takes no calls: the discard port (9), on
// which nothing listens.
func DiscardAddr(ip string) ident.Addr { return ident.Addr(ip + ":9") }

// Response is one line of output: the response to a command. Instants are readings of meter.Now.
type Response struct {
	ID          int                      `json:"id"`
	Error       string                   `json:"fault,omitempty"`
	StartedAt   int64                    `json:"at,omitempty"` // when the operation started
	Usage       meter.Usage              `json:"spent"`
	ByPath      map[string]meter.Traffic `json:"paths,omitempty"`
	ByPeer      map[string]meter.Traffic `json:"peers,omitempty"`
	Counters    map[string]int64         `json:"board,omitempty"`   // metrics counters, summed over the daemons
	CPUShares   map[string]float64       `json:"duties,omitempty"`  // share of the CPU time of each activity
	MetAt       []int64                  `json:"times,omitempty"`   // when each node met the condition of Await
	TimedOut    int                      `json:"missing,omitempty"` // nodes that did not meet the condition in time
	MaxStall    time.Duration            `json:"held,omitempty"`    // longest delay of a poll in Await
	Addrs       []ident.Addr             `json:"addrs,omitempty"`
	ClientAddrs []ident.Addr             `json:"callers,omitempty"`
	Endpoints   []Endpoint               `json:"servers,omitempty"`
}
