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
	// settleTime is how long after all nodes know of an event the usage still counts as its cost.
	settleTime = 500 * time.Millisecond
	// meshPrefix begins the names of figures that are times of the mesh as a whole.
	meshPrefix = "mesh/"
)

// convergenceQuantiles are the shares of the nodes for which the time is noted until they know of an event.
var convergenceQuantiles = map[string]float64{"half": 0.5, "99 in 100": 0.99, "all": 1}

// triggerFunc brings an event about. It returns the instant from which time counts, as a reading
// of meter.Now, and the wait until all nodes know of the event.
type triggerFunc func() (startedAt int64, wait *testbed.ConditionWait, err error)

// measureEvent brings an event about as many times as asked and notes the mean of its costs.
func (r *Runner) measureEvent(name string, times int, trigger triggerFunc) error {
	point := Point{Nodes: r.NodeCount, Workload: name, Values: map[string]float64{}}
	for range times {
		if err := r.measureOnce(&point, float64(times), trigger); err != nil {
			return err
		}
	}
	if point.TimedOut > 0 { // times over fewer nodes would be too good
		maps.DeleteFunc(point.Values, func(value string, _ float64) bool { return strings.HasPrefix(value, meshPrefix) })
	}
	r.Points = append(r.Points, point)
	return nil
}

// measureOnce brings the event about once and adds its cost, divided by times, to the point.
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
		return nil // the time until all nodes know is not known
	}
	r.addConvergenceTimes(u, startedAt, result.MetAt, add)
	addPeakMemory(after, point.Values)
	return nil
}

// addEventCost adds what an event cost above the steady state.
func (r *Runner) addEventCost(u usage, add func(name string, value float64)) {
	coreCount := float64(r.Target.Cores)
	add("core/all/messages", (u.messageCount()-r.baseline.messages*u.seconds)/coreCount)
	add("core/all/bytes", (u.coreTraffic.Bytes()-r.baseline.coreBytes*u.seconds)/coreCount)
	add("core/all/processor seconds", (u.totalCoreCPU()-r.baseline.coresCPU*u.seconds)/coreCount)
	add("core/busiest/processor seconds", u.busiestCoreCPU()-r.baseline.busiestCoreCPU*u.seconds)
	add("sidecar/all/bytes", u.nodeBytes-r.baseline.nodeBytes*u.seconds)
	add("sidecar/all/processor seconds", u.nodeCPU()-r.baseline.nodeCPU*u.seconds)
}

// addConvergenceTimes adds how long nodes took to know of an event.
func (r *Runner) addConvergenceTimes(u usage, startedAt int64, metAt []int64, add func(name string, value float64)) {
	secondsUntil := func(instant int64) float64 { return float64(instant-startedAt) / float64(time.Second) }
	for name, quantile := range convergenceQuantiles {
		i := max(0, int(math.Ceil(quantile*float64(len(metAt))))-1)
		add(meshPrefix+"known to "+name+"/seconds", secondsUntil(metAt[i]))
	}
	// All nodes share a few processors here, which those of a deployment do not. So the processor time
	// above the steady state is subtracted, except for one node's.
	work := max(0, u.sharedNodeCPU()+u.nodeCPU()-(r.baseline.sharedNodesCPU+r.baseline.nodeCPU)*u.seconds)
	otherNodes := float64(r.NodeCount-1) / float64(r.NodeCount)
	add(meshPrefix+"known to all, less the other nodes' work/seconds",
		secondsUntil(metAt[len(metAt)-1])-work*otherNodes/float64(runtime.GOMAXPROCS(0)))
}

func addPeakMemory(after testbed.UsageReading, values map[string]float64) {
	const core, sidecar = "core/all/memory at its peak", "sidecar/all/memory at its peak"
	for _, response := range after.Cores {
		values[core] = max(values[core], response.Usage.PeakBytes)
	}
	values[sidecar] = max(values[sidecar], after.FirstNode.Usage.PeakBytes)
}
