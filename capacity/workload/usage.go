package workload

import (
	"runtime"
	"slices"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/testbed"
)

// steadyRates is the resource usage of the mesh per second in the steady state. CPU time is in seconds.
type steadyRates struct {
	measured       bool
	coresCPU       float64 // of all cores together
	busiestCoreCPU float64 // of the core with the highest CPU time
	nodeCPU        float64 // of the process of node 0
	sharedNodesCPU float64 // of the processes of all other nodes
	messages       float64 // received by all cores
	coreBytes      float64 // received and sent by all cores
	nodeBytes      float64 // between node 0 and the mesh
}

// usage is the resource usage between two readings. CPU time is in seconds.
type usage struct {
	seconds        float64
	byPath         map[string]meter.Traffic // at the cores
	coreCPU        []float64                // by core
	nodeProcessCPU []float64                // by process of nodes, the process of node 0 first
	nodeBytes      float64                  // between node 0 and the mesh
	heartbeatBytes float64                  // between node 0 and its endpoint
	coreTraffic    meter.Traffic
	meshCPU        float64          // utilization, from 0 to 1, of the processors available to the program
	machineCPU     float64          // utilization of the whole machine, from 0 to 1
	counters       map[string]int64 // metrics counters, summed over the cores
}

// usageBetween returns the usage between two readings.
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

// cpuBetween returns the CPU time, in seconds, that a process used between two readings.
func cpuBetween(before, after process.Response) float64 {
	return after.Usage.CPUSeconds - before.Usage.CPUSeconds
}

// addCore adds the usage of a core's process. nodeIP is the IP address of node 0.
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

// addFirstNode adds the usage of the process of node 0. The traffic between node 0 and its own IP
// address consists of the heartbeats of its endpoint.
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

// addSharedNodes adds the usage of a process of other nodes. nodeIP is the IP address of node 0.
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

// messageCount returns the number of messages that the cores received.
func (u usage) messageCount() (count float64) {
	for _, traffic := range u.byPath {
		count += float64(traffic.Messages)
	}
	return count
}

// rates returns the usage per second.
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
