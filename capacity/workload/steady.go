package workload

import (
	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/process"
)

const (
	// maxSteadyAttempts is the number of measurements of the steady state after which the machine is
	// considered too busy.
	maxSteadyAttempts = 4
	// A measurement that exceeded its window by more than maxOverrunShare of the window plus
	// maxOverrunSeconds is discarded, because the machine was too busy.
	maxOverrunShare   = 0.25
	maxOverrunSeconds = 0.5
	// coreMessagePath is the path of messages between cores; sidecars send no messages to this path.
	coreMessagePath = "/cottonarch/v1/messages"
	// minTotalCPU, in seconds, avoids a division by zero if no CPU time was used.
	minTotalCPU = 1e-9
)

// coreCounters are the metrics counters of the cores whose rates are recorded.
var coreCounters = []string{"sweeps", "deeds", "rounds"}

// runSteady measures the steady state and repeats measurements during which the machine was too busy.
func (r *Runner) runSteady() error {
	var lastErr error
	for range maxSteadyAttempts {
		m, err := r.measureSteady()
		if err != nil {
			return err
		}
		if window := r.Window.Seconds(); m.seconds-window > window*maxOverrunShare+maxOverrunSeconds {
			lastErr = failure.New(failure.DeadlineExceeded, "a measurement of %v took %.1f s: the machine was too busy", r.Window, m.seconds)
			continue
		}
		r.baseline = m.rates()
		r.Points = append(r.Points, Point{Nodes: r.NodeCount, Workload: steadyWorkload, Values: m.values(), MeshCPU: m.meshCPU, MachineCPU: m.machineCPU})
		return nil
	}
	return lastErr
}

// steadyMeasurement is the usage during a window and the CPU profiles of the window.
type steadyMeasurement struct {
	usage
	nodeCount    int
	coreProfiles []process.Response
	nodeProfiles []process.Response // by process of nodes, the process of node 0 first
	coreMemory   float64            // bytes, of the largest core
	nodeMemory   float64            // bytes, of node 0
}

// measureSteady measures the usage during one window.
func (r *Runner) measureSteady() (m steadyMeasurement, err error) {
	before, err := r.ReadUsage()
	if err != nil {
		return m, err
	}
	m.nodeCount = r.NodeCount
	if m.coreProfiles, m.nodeProfiles, err = r.Profile(r.Window); err != nil {
		return m, err
	}
	after, err := r.ReadUsage()
	if err != nil {
		return m, err
	}
	m.usage = r.usageBetween(before, after)
	for _, core := range after.Cores {
		m.coreMemory = max(m.coreMemory, core.Usage.ResidentBytes)
	}
	m.nodeMemory = after.FirstNode.Usage.ResidentBytes
	return m, nil
}

// values returns the values of the point. Values of the role "core" are means over the cores, except
// "core/busiest" and the memory, which is the memory of the largest core.
func (m steadyMeasurement) values() map[string]float64 {
	rates, coreCount := m.rates(), float64(len(m.coreCPU))
	values := map[string]float64{
		"core/all/processor cores":            rates.coresCPU / coreCount,
		"core/busiest/processor cores":        rates.busiestCoreCPU,
		"core/all/messages a second":          rates.messages / coreCount,
		"core/all/bytes a second":             rates.coreBytes / coreCount,
		"core/all/memory":                     m.coreMemory,
		"sidecar/all/processor cores":         rates.nodeCPU,
		"sidecar/all/bytes a second":          rates.nodeBytes,
		"sidecar/its endpoint/bytes a second": m.heartbeatBytes / m.seconds,
		"sidecar/all/memory":                  m.nodeMemory,
	}
	if m.nodeCount > 1 {
		values["sidecar/hollow, mean/processor cores"] = rates.sharedNodesCPU / float64(m.nodeCount-1)
	}
	for _, counter := range coreCounters {
		values["core/"+counter+"/a second"] = float64(m.counters[counter]) / m.seconds / coreCount
	}
	m.addTraffic(values)
	m.addCoreActivities(values)
	m.addNodeActivities(values)
	return values
}

// addTraffic adds the messages and bytes of the requests that the cores served, by activity.
func (m steadyMeasurement) addTraffic(values map[string]float64) {
	perCore := 1 / m.seconds / float64(len(m.coreCPU))
	sidecarMessages := 0.0
	for path, traffic := range m.byPath {
		prefix := "core/" + meter.ActivityOf(path).Name
		values[prefix+"/messages a second"] += float64(traffic.Messages) * perCore
		values[prefix+"/body bytes a second"] += traffic.Bytes() * perCore
		if traffic.Failed > 0 {
			values[prefix+"/turned away a second"] += float64(traffic.Failed) * perCore
		}
		if path != coreMessagePath {
			sidecarMessages += float64(traffic.Messages)
		}
	}
	values["sidecar/all/messages a second"] = sidecarMessages / m.seconds / float64(m.nodeCount)
}

// addCoreActivities adds the CPU time of the cores by activity, according to the cores' profiles.
func (m steadyMeasurement) addCoreActivities(values map[string]float64) {
	for i, profile := range m.coreProfiles {
		for activity, share := range profile.CPUShares {
			values["core/"+activity+"/processor cores"] += share * m.coreCPU[i] / m.seconds / float64(len(m.coreCPU))
		}
	}
}

// addNodeActivities adds the CPU time of node 0 by activity. The profile of node 0 alone has too few
// samples, so the shares of the activities are averages over all nodes.
func (m steadyMeasurement) addNodeActivities(values map[string]float64) {
	total, byActivity := 0.0, map[string]float64{}
	for i, profile := range m.nodeProfiles {
		for activity, share := range profile.CPUShares {
			byActivity[activity] += share * m.nodeProcessCPU[i]
			total += share * m.nodeProcessCPU[i]
		}
	}
	for activity, cpu := range byActivity {
		values["sidecar/"+activity+"/processor cores"] = cpu / max(total, minTotalCPU) * m.nodeCPU() / m.seconds
	}
}
