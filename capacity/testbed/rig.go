package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Mesh is a running mesh. Node 0 is whole and alone in its process; the others are hollow.
type Mesh struct {
	Target          plan.Target
	NodeCount       int // nodes
	dir             string
	cores           []*child
	coreAddrs       []ident.Addr // of the cores
	firstProcess    *child       // node 0
	sharedProcesses []*child
	FullNodes       []NodeAddrs // of the whole nodes
	processByNode   []*child    // by node
	httpClient      *http.Client
	stopHeartbeats  chan struct{}
	heartbeats      sync.WaitGroup
	proposalCount   int
	endpointByNode  map[int]process.Endpoint // by node, of its newest run
}

// NodeAddrs is where a node is reached.
type NodeAddrs struct{ Addr, ClientAddr ident.Addr }

// Options is what a rig needs: the command that runs a part, and a folder for disks.
type Options struct {
	ProcessCommand []string
	Dir            string
	Target         plan.Target
	NodeCount      int
	FullNodes      int           // nodes that are whole and alone in their process, the first ones; 1 if not given
	ReadyTimeout   time.Duration // that nodes which start together may take to be ready
	NoHeartbeats   bool          // the endpoints of whole nodes do not beat
	ExtraEndpoints int           // further endpoints that each hollow node stands in for
}

const commandTimeout = 90 * time.Second

// Start brings a mesh of n nodes up, in waves; each node has then been let in and has the
// manifest in force.
func Start(options Options) (m *Mesh, err error) {
	m = &Mesh{Target: options.Target, NodeCount: options.NodeCount, stopHeartbeats: make(chan struct{}), endpointByNode: map[int]process.Endpoint{}, httpClient: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
	defer func() {
		if err != nil {
			m.Close()
		}
	}()
	if m.dir, err = os.MkdirTemp(options.Dir, "capacity"); err != nil {
		return m, failure.Wrap(err, failure.Internal, "folder")
	}
	begin := func() (*child, error) {
		c, err := startChild(options.ProcessCommand)
		if err != nil {
			return nil, err
		}
		_, err = c.wait(c.send(process.Command{Operation: "begin", Target: &options.Target}), commandTimeout)
		return c, err
	}
	for i := range options.Target.Cores {
		listener, err := net.Listen("tcp", options.Target.CoreIP(i)+":0")
		if err != nil {
			return m, failure.Wrap(err, failure.Internal, "port")
		}
		m.coreAddrs = append(m.coreAddrs, ident.Addr(listener.Addr().String()))
		_ = listener.Close()
	}
	for i := range options.Target.Cores {
		c, err := begin()
		if c != nil {
			m.cores = append(m.cores, c)
		}
		if err != nil {
			return m, err
		}
		coreSettings := process.CoreSettings{Index: i, Addr: m.coreAddrs[i], Seeds: m.coreAddrs[:min(3, len(m.coreAddrs))], Founders: m.coreAddrs, DataDir: filepath.Join(m.dir, fmt.Sprint("core", i))}
		if _, err := c.wait(c.send(process.Command{Operation: "core", Core: &coreSettings}), commandTimeout); err != nil {
			return m, err
		}
	}
	if err := m.propose("PUT", options.Target.Config(0), commandTimeout); err != nil {
		return m, err
	}
	for started := 0; started < options.NodeCount; {
		c, err := begin()
		if c != nil {
			if started == 0 {
				m.firstProcess = c
			} else {
				m.sharedProcesses = append(m.sharedProcesses, c)
			}
		}
		if err != nil {
			return m, err
		}
		size := min(options.NodeCount-started, options.Target.NodesPerProcess)
		full := started < max(1, options.FullNodes)
		if full {
			size = 1
		}
		nodes := make([]int, size)
		for k := range nodes {
			nodes[k] = started + k
			m.processByNode = append(m.processByNode, c)
		}
		// Nodes come in waves: what many at once cost is a load of its own.
		for remaining := nodes; len(remaining) > 0; {
			wave := remaining[:min(len(remaining), options.Target.NodesPerWave)]
			remaining = remaining[len(wave):]
			response, err := c.wait(c.send(process.Command{Operation: "nodes", Nodes: wave, Seeds: m.coreAddrs, Full: full, ExtraEndpoints: options.ExtraEndpoints}), commandTimeout)
			if err != nil {
				return m, err
			}
			for k, i := range wave {
				m.endpointByNode[i] = response.Endpoints[k]
			}
			if full {
				m.FullNodes = append(m.FullNodes, NodeAddrs{response.Addrs[0], response.ClientAddrs[0]})
			}
			if full && !options.NoHeartbeats {
				m.SendHeartbeats(response.Addrs[0], []endpoint.Heartbeat{aliveHeartbeat(response.Endpoints[0], ident.Addr(options.Target.NodeIP(started)+":9"))})
			}
			started += len(wave)
			if waited, err := c.wait(c.send(process.Command{Operation: "await", Condition: process.Condition{Ready: true}, Duration: options.ReadyTimeout}), options.ReadyTimeout+commandTimeout); err != nil || waited.Missing > 0 {
				return m, failure.New(failure.DeadlineExceeded, "%d of %d nodes, which come %d at a time, were not ready in %v (%v)", waited.Missing, started, options.Target.NodesPerWave, options.ReadyTimeout, err)
			}
		}
	}
	return m, nil
}

// ProcessCount counts the processes.
func (m *Mesh) ProcessCount() int { return len(m.cores) + len(m.sharedProcesses) + 1 }

func aliveHeartbeat(server process.Endpoint, addr ident.Addr) endpoint.Heartbeat {
	return endpoint.Heartbeat{Server: server.ID, Service: server.Service, Addr: addr, State: endpoint.Alive, Weight: 1}
}

// SendHeartbeats keeps endpoints of one node beating over the wire, from the node's own address,
// until Down.
func (m *Mesh) SendHeartbeats(to ident.Addr, heartbeats []endpoint.Heartbeat) {
	m.heartbeats.Add(1)
	go func() {
		defer m.heartbeats.Done()
		transport := &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second, LocalAddr: to.DialSource()}).DialContext}
		defer transport.CloseIdleConnections()
		client := &http.Client{Transport: transport, Timeout: time.Second}
		ticker := time.NewTicker(endpoint.HeartbeatInterval)
		defer ticker.Stop()
		for {
			for _, heartbeat := range heartbeats {
				body, _ := json.Marshal(heartbeat)
				if response, err := client.Post("http://"+string(to)+"/beat", "application/json", bytes.NewReader(body)); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
			}
			select {
			case <-ticker.C:
			case <-m.stopHeartbeats:
				return
			}
		}
	}()
}

// propose sends a manifest to a core of the first region until it is taken, at most limit.
func (m *Mesh) propose(method string, config map[string]any, timeout time.Duration) error {
	_, err := m.Propose(method, config, timeout)
	return err
}

// Propose gives the epoch of a yes.
func (m *Mesh) Propose(method string, config map[string]any, timeout time.Duration) (ident.Epoch, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return 0, failure.Wrap(err, failure.Malformed, "manifest")
	}
	m.proposalCount++
	idempotencyKey, lastErr := fmt.Sprintf("capacity-%d", m.proposalCount), error(nil)
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); <-ticker.C {
		req, err := http.NewRequest(method, "http://"+string(m.coreAddrs[0])+"/manifest", bytes.NewReader(raw))
		if err != nil {
			return 0, failure.Wrap(err, failure.Malformed, "manifest")
		}
		req.Header.Set("Idempotency-Key", idempotencyKey)
		response, err := m.httpClient.Do(req)
		if err != nil {
			lastErr = err
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var accepted struct {
			Epoch ident.Epoch `json:"epoch"`
		}
		if response.StatusCode == http.StatusOK && json.Unmarshal(body, &accepted) == nil {
			return accepted.Epoch, nil
		}
		lastErr = failure.New(failure.BadResponse, "status %d: %.200s", response.StatusCode, body)
		if response.StatusCode == 400 || response.StatusCode == 422 || response.StatusCode == 413 {
			break
		}
	}
	return 0, failure.Wrap(lastErr, failure.DeadlineExceeded, "no core took the manifest")
}

// broadcast gives one order to many parts at once.
func broadcast(children []*child, command process.Command, timeout time.Duration) ([]process.Response, error) {
	pending := make([]<-chan process.Response, len(children))
	for i, c := range children {
		pending[i] = c.send(command)
	}
	responses := make([]process.Response, len(children))
	var firstErr error
	for i, c := range children {
		var err error
		if responses[i], err = c.wait(pending[i], timeout); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return responses, firstErr
}

func (m *Mesh) nodeProcesses() []*child {
	if m.firstProcess == nil {
		return m.sharedProcesses
	}
	return append([]*child{m.firstProcess}, m.sharedProcesses...)
}

// ConditionWait is a wait for all nodes that has begun.
type ConditionWait struct {
	mesh      *Mesh
	responses []<-chan process.Response
	timeout   time.Duration
}

// Await begins to wait until every node that runs now knows what is wanted.
func (m *Mesh) Await(condition process.Condition, timeout time.Duration) *ConditionWait {
	wait := &ConditionWait{mesh: m, timeout: timeout}
	for _, c := range m.nodeProcesses() {
		wait.responses = append(wait.responses, c.send(process.Command{Operation: "await", Condition: condition, Duration: timeout}))
	}
	return wait
}

// Times gives when each node came to know, in order, as readings of meter.Now, how many
// did not, and for how long the waiting processes were held up at most.
func (wait *ConditionWait) Times() (times []int64, missing int, maxStall time.Duration, err error) {
	for i, c := range wait.mesh.nodeProcesses() {
		response, waitErr := c.wait(wait.responses[i], wait.timeout+10*time.Second)
		if waitErr != nil {
			return times, missing, maxStall, waitErr
		}
		times, missing, maxStall = append(times, response.KnownAt...), missing+response.Missing, max(maxStall, response.MaxStall)
	}
	slices.Sort(times)
	return times, missing, maxStall, nil
}

// sendToNodes gives each part its share of a list of nodes.
func (m *Mesh) sendToNodes(nodes []int, command process.Command) (startedAt int64, endpoints []process.Endpoint, err error) {
	nodesByProcess := map[*child][]int{}
	for _, i := range nodes {
		nodesByProcess[m.processByNode[i]] = append(nodesByProcess[m.processByNode[i]], i)
	}
	var children []*child
	var pending []<-chan process.Response
	for _, c := range m.nodeProcesses() {
		if len(nodesByProcess[c]) > 0 {
			command.Nodes = nodesByProcess[c]
			children, pending = append(children, c), append(pending, c.send(command))
		}
	}
	for i, c := range children {
		response, waitErr := c.wait(pending[i], commandTimeout)
		if waitErr != nil {
			return startedAt, endpoints, waitErr
		}
		endpoints = append(endpoints, response.Endpoints...)
		for k, n := range nodesByProcess[c] {
			m.endpointByNode[n] = response.Endpoints[k]
		}
		if startedAt == 0 || response.StartedAt < startedAt {
			startedAt = response.StartedAt
		}
	}
	return startedAt, endpoints, nil
}

// StopNodes ends nodes at once; the servers are the endpoints that end with them.
func (m *Mesh) StopNodes(nodes []int) (int64, []process.Endpoint, error) {
	return m.sendToNodes(nodes, process.Command{Operation: "stop"})
}

// StartNodes starts nodes that were stopped, with endpoints of a new run.
func (m *Mesh) StartNodes(nodes []int) (int64, []process.Endpoint, error) {
	return m.sendToNodes(nodes, process.Command{Operation: "nodes"})
}

// Endpoints lists the endpoints of some nodes, of all if none is named.
func (m *Mesh) Endpoints(nodes ...int) []process.Endpoint {
	if len(nodes) == 0 {
		for i := range m.NodeCount {
			nodes = append(nodes, i)
		}
	}
	endpoints := make([]process.Endpoint, len(nodes))
	for k, i := range nodes {
		endpoints[k] = m.endpointByNode[i]
	}
	return endpoints
}

// SetState makes endpoints say something else.
func (m *Mesh) SetState(nodes []int, state endpoint.State) (int64, []process.Endpoint, error) {
	return m.sendToNodes(nodes, process.Command{Operation: "beat", State: state})
}

// SetPartitioned cuts the regions apart or joins them.
func (m *Mesh) SetPartitioned(partitioned bool) (int64, error) {
	responses, err := broadcast(append(slices.Clone(m.cores), m.nodeProcesses()...), process.Command{Operation: "apart", Partitioned: partitioned}, commandTimeout)
	if err != nil {
		return 0, err
	}
	return responses[len(responses)-1].StartedAt, nil
}

// Reading is one look at all processes.
type Reading struct {
	ReadAt       int64
	MachineTicks meter.Ticks
	Cores        []process.Response
	FirstNode    process.Response
	SharedNodes  []process.Response
}

// Read looks at all.
func (m *Mesh) Read() (reading Reading, err error) {
	if reading.Cores, err = broadcast(m.cores, process.Command{Operation: "read"}, commandTimeout); err != nil {
		return reading, err
	}
	if reading.SharedNodes, err = broadcast(m.nodeProcesses(), process.Command{Operation: "read"}, commandTimeout); err != nil {
		return reading, err
	}
	reading.FirstNode, reading.SharedNodes, reading.ReadAt = reading.SharedNodes[0], reading.SharedNodes[1:], meter.Now()
	reading.MachineTicks = meter.MachineTicks()
	return reading, nil
}

// Profile watches all processes for a while and gives each duty's part: of each core, and
// of the processes that hold nodes, the whole node's first.
func (m *Mesh) Profile(duration time.Duration) (cores, nodes []process.Response, err error) {
	responses, err := broadcast(append(slices.Clone(m.cores), m.nodeProcesses()...), process.Command{Operation: "profile", Duration: duration}, duration+commandTimeout)
	if err != nil {
		return nil, nil, err
	}
	return responses[:len(m.cores)], responses[len(m.cores):], nil
}

// Close ends everything that Up started.
func (m *Mesh) Close() {
	select {
	case <-m.stopHeartbeats:
	default:
		close(m.stopHeartbeats)
	}
	m.heartbeats.Wait()
	var stopping sync.WaitGroup
	children := slices.Clone(m.cores)
	children = append(children, m.sharedProcesses...)
	if m.firstProcess != nil {
		children = append(children, m.firstProcess)
	}
	for _, c := range children {
		stopping.Add(1)
		go func() { defer stopping.Done(); c.stop() }()
	}
	stopping.Wait()
	m.httpClient.CloseIdleConnections()
	_ = os.RemoveAll(m.dir)
}
