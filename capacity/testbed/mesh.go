// Package testbed runs a mesh of production cores and hollow nodes as processes on loopback addresses,
// for measurements.
package testbed

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/process"
)

const (
	// commandTimeout limits the response time of a command, besides the duration of Await and Profile.
	commandTimeout  = 90 * time.Second
	operatorTimeout = 30 * time.Second // of one HTTP request to a core
	seedCount       = 3                // number of cores that serve as seeds for all cores
	initialSerial   = 0                // serial number of the first configuration
)

// Options configures a mesh.
type Options struct {
	ProcessCommand []string // command line that runs process.Run
	Dir            string   // parent of the cores' data folders; the system's temporary folder if empty
	Target         plan.Target
	NodeCount      int
	FullNodes      int           // number of full nodes, each alone in its process, from node 0 on; 0 means 1
	ReadyTimeout   time.Duration // for the nodes of one wave to become ready
	NoHeartbeats   bool          // whether the endpoints of full nodes send no heartbeats
	ExtraEndpoints int           // simulated endpoints on each hollow node, besides its own
}

// Mesh is a running mesh. Nodes are numbered from 0. The first nodes are full nodes, each alone in its
// process; all other nodes are hollow nodes, which share processes.
type Mesh struct {
	Target    plan.Target
	NodeCount int
	FullNodes []NodeAddrs // addresses of the full nodes, by node number

	options         Options
	dir             string
	cores           []*child
	coreAddrs       []ident.Addr
	firstProcess    *child                   // process of node 0
	sharedProcesses []*child                 // processes of all other nodes
	processByNode   []*child                 // by node number
	endpointByNode  map[int]process.Endpoint // by node number; endpoint of the newest incarnation
	httpClient      *http.Client
	proposalCount   int
	closed          chan struct{}
	closeOnce       sync.Once
	heartbeats      sync.WaitGroup
}

// NodeAddrs holds the addresses of a node's listeners: Addr for the mesh, ClientAddr for clients on the
// node's machine.
type NodeAddrs struct{ Addr, ClientAddr ident.Addr }

// Start starts a mesh. When Start returns without an error, every node has joined the mesh and has
// applied the configuration.
func Start(options Options) (*Mesh, error) {
	m := &Mesh{
		Target:         options.Target,
		NodeCount:      options.NodeCount,
		options:        options,
		endpointByNode: map[int]process.Endpoint{},
		httpClient:     &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		closed:         make(chan struct{}),
	}
	if err := m.start(); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

// start starts the cores, proposes the first configuration and starts the nodes.
func (m *Mesh) start() (err error) {
	if m.dir, err = os.MkdirTemp(m.options.Dir, "capacity"); err != nil {
		return failure.Wrap(err, failure.Internal, "create the data folder of the mesh")
	}
	if err := m.startCores(); err != nil {
		return err
	}
	if _, err := m.Propose(http.MethodPut, m.Target.Config(initialSerial), commandTimeout); err != nil {
		return err
	}
	for started := 0; started < m.NodeCount; {
		full := started < max(1, m.options.FullNodes)
		count := min(m.NodeCount-started, m.Target.NodesPerProcess)
		if full {
			count = 1
		}
		if err := m.startNodeProcess(started, count, full); err != nil {
			return err
		}
		started += count
	}
	return nil
}

// startCores starts one process for each core, and the cores in these processes.
func (m *Mesh) startCores() error {
	for i := range m.Target.Cores {
		addr, err := process.FreeAddr(m.Target.CoreIP(i))
		if err != nil {
			return err
		}
		m.coreAddrs = append(m.coreAddrs, addr)
	}
	for i := range m.Target.Cores {
		c, err := startChild(m.options.ProcessCommand)
		if err != nil {
			return err
		}
		m.cores = append(m.cores, c)
		if err := m.begin(c); err != nil {
			return err
		}
		settings := process.CoreSettings{
			Index:    i,
			Addr:     m.coreAddrs[i],
			Seeds:    m.coreAddrs[:min(seedCount, len(m.coreAddrs))],
			Founders: m.coreAddrs,
			DataDir:  filepath.Join(m.dir, fmt.Sprint("core", i)),
		}
		if _, err := c.call(process.Command{Operation: process.StartCore, Core: &settings}, commandTimeout); err != nil {
			return err
		}
	}
	return nil
}

// begin sends the command Begin, which sets the target of a process. Begin must be the first command.
func (m *Mesh) begin(c *child) error {
	_, err := c.call(process.Command{Operation: process.Begin, Target: &m.Target}, commandTimeout)
	return err
}

// startNodeProcess starts a process with count nodes, numbered from first on. The nodes start in waves,
// because the simultaneous start of many nodes is measured by a separate workload.
func (m *Mesh) startNodeProcess(first, count int, full bool) error {
	c, err := startChild(m.options.ProcessCommand)
	if err != nil {
		return err
	}
	if first == 0 {
		m.firstProcess = c
	} else {
		m.sharedProcesses = append(m.sharedProcesses, c)
	}
	if err := m.begin(c); err != nil {
		return err
	}
	for range count {
		m.processByNode = append(m.processByNode, c)
	}
	for started := 0; started < count; {
		wave := make([]int, min(count-started, m.Target.NodesPerWave))
		for k := range wave {
			wave[k] = first + started + k
		}
		if err := m.startWave(c, wave, full); err != nil {
			return err
		}
		started += len(wave)
	}
	return nil
}

// startWave starts nodes simultaneously and waits until all nodes of the process are ready.
func (m *Mesh) startWave(c *child, nodes []int, full bool) error {
	response, err := c.call(process.Command{
		Operation:      process.StartNodes,
		Nodes:          nodes,
		Seeds:          m.coreAddrs,
		Full:           full,
		ExtraEndpoints: m.options.ExtraEndpoints,
	}, commandTimeout)
	if err != nil {
		return err
	}
	for k, node := range nodes {
		m.endpointByNode[node] = response.Endpoints[k]
		if full {
			m.FullNodes = append(m.FullNodes, NodeAddrs{response.Addrs[k], response.ClientAddrs[k]})
		}
		if full && !m.options.NoHeartbeats {
			m.SendHeartbeats(response.Addrs[k], response.Endpoints[k].AliveHeartbeat(process.DiscardAddr(m.Target.NodeIP(node))))
		}
	}
	ready := process.Command{Operation: process.Await, Condition: process.Condition{Ready: true}, Duration: m.options.ReadyTimeout}
	waited, err := c.call(ready, m.options.ReadyTimeout+commandTimeout)
	if err != nil {
		return failure.Wrap(err, failure.DeadlineExceeded, "wait for nodes to be ready")
	}
	if waited.TimedOut > 0 {
		return failure.New(failure.DeadlineExceeded, "%d of %d nodes, started %d at a time, were not ready within %v",
			waited.TimedOut, nodes[len(nodes)-1]+1, m.Target.NodesPerWave, m.options.ReadyTimeout)
	}
	return nil
}

// ProcessCount returns the number of processes of the mesh.
func (m *Mesh) ProcessCount() int { return len(m.cores) + len(m.nodeProcesses()) }

// nodeProcesses returns the processes of nodes, the process of node 0 first.
func (m *Mesh) nodeProcesses() []*child {
	if m.firstProcess == nil {
		return m.sharedProcesses
	}
	return append([]*child{m.firstProcess}, m.sharedProcesses...)
}

// allProcesses returns the processes of the cores, then the processes of the nodes.
func (m *Mesh) allProcesses() []*child {
	return append(append([]*child{}, m.cores...), m.nodeProcesses()...)
}

// Close stops all processes and heartbeats and removes the data folder of the mesh.
func (m *Mesh) Close() {
	m.closeOnce.Do(func() { close(m.closed) })
	m.heartbeats.Wait()
	var stopping sync.WaitGroup
	for _, c := range m.allProcesses() {
		stopping.Go(c.stop)
	}
	stopping.Wait()
	m.httpClient.CloseIdleConnections()
	_ = os.RemoveAll(m.dir)
}
