// Package testbed runs a mesh of real cores and hollow nodes as processes on loopback
// addresses, to be measured.
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
	// commandTimeout is how long a process may take to answer a command that does not wait.
	commandTimeout  = 90 * time.Second
	operatorTimeout = 30 * time.Second // of one request to a core
	seedCount       = 3                // cores that are seeds of the others
	initialSerial   = 0                // of the configuration that a mesh starts with
)

// Options is what a mesh needs to start.
type Options struct {
	ProcessCommand []string // command line that runs process.Run
	Dir            string   // for the cores' disk folders; the system's temporary one if empty
	Target         plan.Target
	NodeCount      int
	FullNodes      int           // how many nodes, from the first on, are full and alone in their process; 1 if not given
	ReadyTimeout   time.Duration // that nodes which start together may take to be ready
	NoHeartbeats   bool          // the endpoints of full nodes send no heartbeats
	ExtraEndpoints int           // further endpoints that each hollow node stands in for
}

// Mesh is a running mesh. Node 0 is full and alone in its process; most others are hollow and
// share processes. Nodes are named by their numbers from 0 on.
type Mesh struct {
	Target    plan.Target
	NodeCount int
	FullNodes []NodeAddrs // of the full nodes, by number

	options         Options
	dir             string
	cores           []*child
	coreAddrs       []ident.Addr
	firstProcess    *child   // of node 0
	sharedProcesses []*child // of all other nodes
	processByNode   []*child
	endpointByNode  map[int]process.Endpoint // of each node's newest incarnation
	httpClient      *http.Client
	proposalCount   int
	closed          chan struct{}
	closeOnce       sync.Once
	heartbeats      sync.WaitGroup
}

// NodeAddrs is where a node is reached: by the mesh, and by clients on its machine.
type NodeAddrs struct{ Addr, ClientAddr ident.Addr }

// Start brings a mesh up. When it returns, every node has joined and has the configuration in
// force.
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

func (m *Mesh) start() (err error) {
	if m.dir, err = os.MkdirTemp(m.options.Dir, "capacity"); err != nil {
		return failure.Wrap(err, failure.Internal, "folder")
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

// startCores starts one process for each core.
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

// begin gives a process the target, which comes before any other command.
func (m *Mesh) begin(c *child) error {
	_, err := c.call(process.Command{Operation: process.Begin, Target: &m.Target}, commandTimeout)
	return err
}

// startNodeProcess starts a process with count nodes, from the number first on. Its nodes come
// in waves: how many start at once is a load that is measured on its own.
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

// startWave starts nodes together and waits until they are ready.
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
		return failure.New(failure.DeadlineExceeded, "%d of %d nodes, which start %d at a time, were not ready in %v",
			waited.TimedOut, nodes[len(nodes)-1]+1, m.Target.NodesPerWave, m.options.ReadyTimeout)
	}
	return nil
}

// ProcessCount counts the processes of the mesh.
func (m *Mesh) ProcessCount() int { return len(m.cores) + len(m.nodeProcesses()) }

// nodeProcesses lists the processes that hold nodes, that of node 0 first.
func (m *Mesh) nodeProcesses() []*child {
	if m.firstProcess == nil {
		return m.sharedProcesses
	}
	return append([]*child{m.firstProcess}, m.sharedProcesses...)
}

// allProcesses lists the cores' processes, then those that hold nodes.
func (m *Mesh) allProcesses() []*child {
	return append(append([]*child{}, m.cores...), m.nodeProcesses()...)
}

// Close ends everything that Start started.
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
