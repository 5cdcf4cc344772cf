package workload

import (
	"maps"
	"math"
	"runtime"
	"strings"
	"time"

	"cottonarch.example/cottonarch/capacity/testbed"
)

const (
	// settleTime is how long usage counts as the cost of an event after all nodes know of the event.
	settleTime = 500 * time.Millisecond
	// meshPrefix is the role in the names of values that are convergence times of the whole mesh.
	meshPrefix = "mesh/"
)

// convergenceQuantiles maps names to the fractions of the nodes for which the convergence time is
// recorded: the time until this fraction of the nodes knows of an event.
var convergenceQuantiles = map[string]float64{"half": 0.5, "99 in 100": 0.99, "all": 1}

// triggerFunc triggers an event. It returns the instant at which the convergence time starts, as a
// reading of meter.Now, and the wait until all nodes know of the event.
type triggerFunc func() (startedAt int64, wait *testbed.ConditionWait, err error)

// measureEvent triggers an event the given number of times and records the mean cost as a point.
func (r *Runner) measureEvent(name string, times int, trigger triggerFunc) error {
	point := Point{Nodes: r.NodeCount, Workload: name, Values: map[string]float64{}}
	for range times {
		if err := r.measureOnce(&point, float64(times), trigger); err != nil {
			return err
		}
	}
	if point.TimedOut > 0 { // convergence times of only the faster nodes would be too low
		maps.DeleteFunc(point.Values, func(value string, _ float64) bool { return strings.HasPrefix(value, meshPrefix) })
	}
	r.Points = append(r.Points, point)
	return nil
}

// measureOnce triggers the event once and adds the cost of the event, divided by times, to the point.
func (r *Runner) measureOnce(point *Point, times float64, trigger triggerFunc) error {
	before, err := r.ReadUsage()
	if err != nil {
		return err
	}
	startedAt, wait, err := trigger()
	if err != nil {
		return err
	}
	result, err := wait.Result()
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	after, err := r.ReadUsage()
	if err != nil {
		return err
	}
	u := r.usageBetween(before, after)
	point.TimedOut += result.TimedOut
	point.MaxStall = max(point.MaxStall, result.MaxStall.Seconds())
	point.MeshCPU, point.MachineCPU = max(point.MeshCPU, u.meshCPU), max(point.MachineCPU, u.machineCPU)
	add := func(name string, value float64) { point.Values[name] += max(0, value) / times }
	r.addEventCost(u, add)
	if result.TimedOut > 0 || len(result.MetAt) == 0 {
		return nil // the convergence time of all nodes is unknown
	}
	r.addConvergenceTimes(u, startedAt, result.MetAt, add)
	addPeakMemory(after, point.Values)
	return nil
}

// addEventCost adds the resource usage of an event in excess of the steady state.
func (r *Runner) addEventCost(u usage, add func(name string, value float64)) {
	coreCount := float64(r.Target.Cores)
	add("core/all/messages", (u.messageCount()-r.baseline.messages*u.seconds)/coreCount)
	add("core/all/bytes", (u.coreTraffic.Bytes()-r.baseline.coreBytes*u.seconds)/coreCount)
	add("core/all/processor seconds", (u.totalCoreCPU()-r.baseline.coresCPU*u.seconds)/coreCount)
	add("core/busiest/processor seconds", u.busiestCoreCPU()-r.baseline.busiestCoreCPU*u.seconds)
	add("sidecar/all/bytes", u.nodeBytes-r.baseline.nodeBytes*u.seconds)
	add("sidecar/all/processor seconds", u.nodeCPU()-r.baseline.nodeCPU*u.seconds)
}

// addConvergenceTimes adds the times that the nodes took to learn of an event.
func (r *Runner) addConvergenceTimes(u usage, startedAt int64, metAt []int64, add func(name string, value float64)) {
	secondsUntil := func(instant int64) float64 { return float64(instant-startedAt) / float64(time.Second) }
	for name, quantile := range convergenceQuantiles {
		i := max(0, int(math.Ceil(quantile*float64(len(metAt))))-1)
		add(meshPrefix+"known to "+name+"/seconds", secondsUntil(metAt[i]))
	}
	// All nodes share the few processors of this machine, unlike the nodes of a deployment. The CPU time
	// in excess of the steady state is therefore subtracted, except for the share of one node.
	work := max(0, u.sharedNodeCPU()+u.nodeCPU()-(r.baseline.sharedNodesCPU+r.baseline.nodeCPU)*u.seconds)
	otherNodes := float64(r.NodeCount-1) / float64(r.NodeCount)
	add(meshPrefix+"known to all, less the other nodes' work/seconds",
		secondsUntil(metAt[len(metAt)-1])-work*otherNodes/float64(runtime.GOMAXPROCS(0)))
}

// addPeakMemory records the peak memory of the largest core and of node 0.
func addPeakMemory(after testbed.UsageReading, values map[string]float64) {
	const core, sidecar = "core/all/memory at its peak", "sidecar/all/memory at its peak"
	for _, response := range after.Cores {
		values[core] = max(values[core], response.Usage.PeakBytes)
	}
	values[sidecar] = max(values[sidecar], after.FirstNode.Usage.PeakBytes)
}
