package workload

import (
	"runtime"
	"slices"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/testbed"
)

// steadyRates is what the mesh costs a second while nothing happens. Processor time is in
// seconds.
type steadyRates struct {
	measured       bool
	coresCPU       float64 // processor time of all cores
	busiestCoreCPU float64 // processor time
	nodeCPU        float64 // processor time of node 0
	sharedNodesCPU float64 // processor time of all other nodes
	messages       float64 // to all cores
	coreBytes      float64 // of all cores, sent and received
	nodeBytes      float64 // of node 0 with the mesh
}

// usage is what passed between two readings. Processor time is in seconds.
type usage struct {
	seconds        float64
	byPath         map[string]meter.Traffic // at the cores
	coreCPU        []float64                // by core
	nodeProcessCPU []float64                // by process that holds nodes, that of node 0 first
	nodeBytes      float64                  // of node 0, with the mesh
	heartbeatBytes float64                  // of node 0, with its endpoint
	coreTraffic    meter.Traffic
	meshCPU        float64          // part of the processors that the mesh was given
	machineCPU     float64          // part of all processors that anything used
	counters       map[string]int64 // of the cores
}

func (r *Runner) usageBetween(before, after testbed.UsageReading) usage {
	u := usage{
		seconds:    float64(after.ReadAt-before.ReadAt) / float64(time.Second),
		machineCPU: meter.CPUUtilization(before.MachineTicks, after.MachineTicks),
		counters:   map[string]int64{},
	}
	nodeIP := r.Target.NodeIP(0)
	for i := range after.Cores {
		u.addCore(before.Cores[i], after.Cores[i], nodeIP)
	}
	u.addFirstNode(before.FirstNode, after.FirstNode, nodeIP)
	for i := range after.SharedNodes {
		u.addSharedNodes(before.SharedNodes[i], after.SharedNodes[i], nodeIP)
	}
	u.meshCPU = (u.totalCoreCPU() + sum(u.nodeProcessCPU)) / u.seconds / float64(runtime.GOMAXPROCS(0))
	return u
}

func cpuBetween(before, after process.Response) float64 {
	return after.Usage.CPUSeconds - before.Usage.CPUSeconds
}

// addCore adds a core's process. nodeIP is that of node 0.
func (u *usage) addCore(before, after process.Response, nodeIP string) {
	u.byPath = meter.Sum(u.byPath, meter.Subtract(after.ByPath, before.ByPath))
	peers := meter.Subtract(after.ByPeer, before.ByPeer)
	for _, traffic := range peers {
		u.coreTraffic = u.coreTraffic.Add(traffic)
	}
	u.nodeBytes += peers[nodeIP].Bytes()
	u.coreCPU = append(u.coreCPU, cpuBetween(before, after))
	for name, value := range after.Counters {
		u.counters[name] += value - before.Counters[name]
	}
}

// addFirstNode adds the process of node 0: what it exchanges with its own IP is its endpoint's
// heartbeats.
func (u *usage) addFirstNode(before, after process.Response, nodeIP string) {
	u.nodeProcessCPU = append(u.nodeProcessCPU, cpuBetween(before, after))
	for peer, traffic := range meter.Subtract(after.ByPeer, before.ByPeer) {
		if peer == nodeIP {
			u.heartbeatBytes += traffic.Bytes()
		} else {
			u.nodeBytes += traffic.Bytes()
		}
	}
}

// addSharedNodes adds another process that holds nodes.
func (u *usage) addSharedNodes(before, after process.Response, nodeIP string) {
	u.nodeProcessCPU = append(u.nodeProcessCPU, cpuBetween(before, after))
	u.nodeBytes += meter.Subtract(after.ByPeer, before.ByPeer)[nodeIP].Bytes()
}

func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}

func (u usage) totalCoreCPU() float64   { return sum(u.coreCPU) }
func (u usage) busiestCoreCPU() float64 { return slices.Max(u.coreCPU) }
func (u usage) nodeCPU() float64        { return u.nodeProcessCPU[0] }
func (u usage) sharedNodeCPU() float64  { return sum(u.nodeProcessCPU[1:]) }

// messageCount is how many messages the cores were sent.
func (u usage) messageCount() (count float64) {
	for _, traffic := range u.byPath {
		count += float64(traffic.Messages)
	}
	return count
}

// rates divides by the time.
func (u usage) rates() steadyRates {
	return steadyRates{
		measured:       true,
		coresCPU:       u.totalCoreCPU() / u.seconds,
		busiestCoreCPU: u.busiestCoreCPU() / u.seconds,
		nodeCPU:        u.nodeCPU() / u.seconds,
		sharedNodesCPU: u.sharedNodeCPU() / u.seconds,
		messages:       u.messageCount() / u.seconds,
		coreBytes:      u.coreTraffic.Bytes() / u.seconds,
		nodeBytes:      u.nodeBytes / u.seconds,
	}
}
