package testbed

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// waitMargin is added to the timeout of Await for the response to arrive.
const waitMargin = 10 * time.Second

// pendingCommand is a command that was sent to several processes and whose responses are pending.
type pendingCommand struct {
	children  []*child
	responses []<-chan process.Response
}

// send sends the command to a process. The commands of several processes may differ in their nodes.
func (p *pendingCommand) send(c *child, command process.Command) {
	p.children = append(p.children, c)
	p.responses = append(p.responses, c.send(command))
}

// wait waits for all responses and returns the responses in the order in which the commands were sent.
// The returned error is the first error in that order.
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

// sendAll sends one command to several processes without waiting for their responses.
func sendAll(children []*child, command process.Command) *pendingCommand {
	pending := &pendingCommand{}
	for _, c := range children {
		pending.send(c, command)
	}
	return pending
}

// broadcast sends one command to several processes and waits for all responses.
func broadcast(children []*child, command process.Command, timeout time.Duration) ([]process.Response, error) {
	return sendAll(children, command).wait(timeout)
}

// ConditionWait is a wait in progress, for all nodes to meet a condition.
type ConditionWait struct {
	pending *pendingCommand
	timeout time.Duration
}

// WaitResult holds when the nodes met a condition.
type WaitResult struct {
	MetAt    []int64       // when each node met the condition, sorted; readings of meter.Now
	TimedOut int           // nodes that did not meet the condition in time
	MaxStall time.Duration // longest delay of a poll in a process of nodes
}

// Await starts to wait until every node that is running at this time meets a condition.
func (m *Mesh) Await(condition process.Condition, timeout time.Duration) *ConditionWait {
	command := process.Command{Operation: process.Await, Condition: condition, Duration: timeout}
	return &ConditionWait{pending: sendAll(m.nodeProcesses(), command), timeout: timeout}
}

// Result waits until all nodes meet the condition or the timeout expires.
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

// sendToNodes sends the command to the processes of the nodes. The command to each process names only
// the nodes of that process. sendToNodes returns the instant when the first process started the
// operation, and the endpoints of the nodes.
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

// StopNodes stops nodes abruptly, like the loss of their machines. It returns the instant when the
// operation started, and the endpoints of the stopped nodes.
func (m *Mesh) StopNodes(nodes []int) (startedAt int64, endpoints []process.Endpoint, err error) {
	return m.sendToNodes(nodes, process.Command{Operation: process.StopNodes})
}

// StartNodes restarts stopped nodes as new incarnations with new endpoints. It returns the instant
// when the operation started, and the new endpoints.
func (m *Mesh) StartNodes(nodes []int) (startedAt int64, endpoints []process.Endpoint, err error) {
	return m.sendToNodes(nodes, process.Command{Operation: process.StartNodes})
}

// SetState changes the state that the nodes' endpoints report. It returns the instant when the
// operation started.
func (m *Mesh) SetState(nodes []int, state endpoint.State) (startedAt int64, err error) {
	startedAt, _, err = m.sendToNodes(nodes, process.Command{Operation: process.SetState, State: state})
	return startedAt, err
}

// Endpoints returns the endpoints of the given nodes, or of all nodes if none is given.
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

// SetPartitioned partitions the network between regions or heals the partition. It returns the instant
// when the last process in the order of allProcesses had applied the change.
func (m *Mesh) SetPartitioned(partitioned bool) (appliedAt int64, err error) {
	responses, err := broadcast(m.allProcesses(), process.Command{Operation: process.SetPartition, Partitioned: partitioned}, commandTimeout)
	if err != nil {
		return 0, err
	}
	return responses[len(responses)-1].StartedAt, nil
}

// UsageReading is the resource usage of all processes and of the machine at an instant.
type UsageReading struct {
	ReadAt       int64
	MachineTicks meter.CPUTicks
	Cores        []process.Response
	FirstNode    process.Response   // from the process of node 0
	SharedNodes  []process.Response // from the processes of all other nodes
}

// Responses returns the responses of all processes.
func (r UsageReading) Responses() []process.Response {
	return append(append(slices.Clone(r.Cores), r.SharedNodes...), r.FirstNode)
}

// ReadUsage reads the resource usage of all processes and of the machine.
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

// Profile takes a CPU profile of all processes. It returns the responses of the cores' processes and
// of the nodes' processes, the process of node 0 first.
func (m *Mesh) Profile(duration time.Duration) (cores, nodes []process.Response, err error) {
	responses, err := broadcast(m.allProcesses(), process.Command{Operation: process.Profile, Duration: duration}, duration+commandTimeout)
	if err != nil {
		return nil, nil, err
	}
	return responses[:len(m.cores)], responses[len(m.cores):], nil
}
