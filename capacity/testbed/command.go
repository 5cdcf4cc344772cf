package testbed

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// waitMargin is how much longer than the nodes' own wait a response may take.
const waitMargin = 10 * time.Second

// pendingCommand is a command that was sent to several processes, whose responses are awaited.
type pendingCommand struct {
	children  []*child
	responses []<-chan process.Response
}

func (p *pendingCommand) send(c *child, command process.Command) {
	p.children = append(p.children, c)
	p.responses = append(p.responses, c.send(command))
}

// wait collects the responses in the order of sending. It waits for all, and returns the
// first error.
func (p *pendingCommand) wait(timeout time.Duration) ([]process.Response, error) {
	responses := make([]process.Response, len(p.children))
	var firstErr error
	for i, c := range p.children {
		var err error
		if responses[i], err = c.wait(p.responses[i], timeout); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return responses, firstErr
}

// sendAll sends one command to several processes at once.
func sendAll(children []*child, command process.Command) *pendingCommand {
	pending := &pendingCommand{}
	for _, c := range children {
		pending.send(c, command)
	}
	return pending
}

// broadcast sends one command to several processes at once and waits for all.
func broadcast(children []*child, command process.Command, timeout time.Duration) ([]process.Response, error) {
	return sendAll(children, command).wait(timeout)
}

// ConditionWait is a wait for all nodes that has begun.
type ConditionWait struct {
	pending *pendingCommand
	timeout time.Duration
}

// WaitResult tells when nodes met a condition.
type WaitResult struct {
	MetAt    []int64       // when each node did, in order, as readings of meter.Now
	TimedOut int           // nodes that did not in time
	MaxStall time.Duration // longest time by which a poll of a waiting process came late
}

// Await begins to wait until every node that runs now meets a condition.
func (m *Mesh) Await(condition process.Condition, timeout time.Duration) *ConditionWait {
	command := process.Command{Operation: process.Await, Condition: condition, Duration: timeout}
	return &ConditionWait{pending: sendAll(m.nodeProcesses(), command), timeout: timeout}
}

// Result waits until all nodes meet the condition or the timeout has passed.
func (w *ConditionWait) Result() (result WaitResult, err error) {
	responses, err := w.pending.wait(w.timeout + waitMargin)
	if err != nil {
		return result, err
	}
	for _, response := range responses {
		result.MetAt = append(result.MetAt, response.MetAt...)
		result.TimedOut += response.TimedOut
		result.MaxStall = max(result.MaxStall, response.MaxStall)
	}
	slices.Sort(result.MetAt)
	return result, nil
}

// sendToNodes sends each process its share of a list of nodes. It returns when the first
// process began and the endpoints of the nodes.
func (m *Mesh) sendToNodes(nodes []int, command process.Command) (startedAt int64, endpoints []process.Endpoint, err error) {
	nodesByProcess := map[*child][]int{}
	for _, node := range nodes {
		c := m.processByNode[node]
		nodesByProcess[c] = append(nodesByProcess[c], node)
	}
	pending := &pendingCommand{}
	for _, c := range m.nodeProcesses() {
		if len(nodesByProcess[c]) > 0 {
			command.Nodes = nodesByProcess[c]
			pending.send(c, command)
		}
	}
	responses, err := pending.wait(commandTimeout)
	if err != nil {
		return 0, nil, err
	}
	for i, response := range responses {
		endpoints = append(endpoints, response.Endpoints...)
		for k, node := range nodesByProcess[pending.children[i]] {
			m.endpointByNode[node] = response.Endpoints[k]
		}
		if startedAt == 0 || response.StartedAt < startedAt {
			startedAt = response.StartedAt
		}
	}
	return startedAt, endpoints, nil
}

// StopNodes ends nodes at once, as the loss of their machines would. It returns when that
// began and the endpoints that end with the nodes.
func (m *Mesh) StopNodes(nodes []int) (startedAt int64, endpoints []process.Endpoint, err error) {
	return m.sendToNodes(nodes, process.Command{Operation: process.StopNodes})
}

// StartNodes starts nodes that were stopped, as new incarnations with new endpoints. It
// returns when that began and those endpoints.
func (m *Mesh) StartNodes(nodes []int) (startedAt int64, endpoints []process.Endpoint, err error) {
	return m.sendToNodes(nodes, process.Command{Operation: process.StartNodes})
}

// SetState changes the state that nodes' endpoints report, and returns when that began.
func (m *Mesh) SetState(nodes []int, state endpoint.State) (startedAt int64, err error) {
	startedAt, _, err = m.sendToNodes(nodes, process.Command{Operation: process.SetState, State: state})
	return startedAt, err
}

// Endpoints lists the endpoints of some nodes, or of all if none is named.
func (m *Mesh) Endpoints(nodes ...int) []process.Endpoint {
	if len(nodes) == 0 {
		for node := range m.NodeCount {
			nodes = append(nodes, node)
		}
	}
	endpoints := make([]process.Endpoint, len(nodes))
	for k, node := range nodes {
		endpoints[k] = m.endpointByNode[node]
	}
	return endpoints
}

// SetPartitioned cuts the regions apart or joins them, and returns when it had an effect.
func (m *Mesh) SetPartitioned(partitioned bool) (appliedAt int64, err error) {
	responses, err := broadcast(m.allProcesses(), process.Command{Operation: process.SetPartition, Partitioned: partitioned}, commandTimeout)
	if err != nil {
		return 0, err
	}
	return responses[len(responses)-1].StartedAt, nil
}

// UsageReading is what all processes and the machine had used at an instant.
type UsageReading struct {
	ReadAt       int64
	MachineTicks meter.CPUTicks
	Cores        []process.Response
	FirstNode    process.Response   // of the process of node 0
	SharedNodes  []process.Response // of the other processes that hold nodes
}

// Responses lists those of all processes.
func (r UsageReading) Responses() []process.Response {
	return append(append(slices.Clone(r.Cores), r.SharedNodes...), r.FirstNode)
}

// ReadUsage reads what all processes and the machine have used.
func (m *Mesh) ReadUsage() (reading UsageReading, err error) {
	command := process.Command{Operation: process.ReadUsage}
	if reading.Cores, err = broadcast(m.cores, command, commandTimeout); err != nil {
		return reading, err
	}
	nodes, err := broadcast(m.nodeProcesses(), command, commandTimeout)
	if err != nil {
		return reading, err
	}
	reading.FirstNode, reading.SharedNodes = nodes[0], nodes[1:]
	reading.ReadAt, reading.MachineTicks = meter.Now(), meter.ReadCPUTicks()
	return reading, nil
}

// Profile samples all processes for a while. It returns the responses of the cores and of the
// processes that hold nodes, that of node 0 first.
func (m *Mesh) Profile(duration time.Duration) (cores, nodes []process.Response, err error) {
	responses, err := broadcast(m.allProcesses(), process.Command{Operation: process.Profile, Duration: duration}, duration+commandTimeout)
	if err != nil {
		return nil, nil, err
	}
	return responses[:len(m.cores)], responses[len(m.cores):], nil
}
