// Package workload puts a running mesh under one kind of load after the other and notes what
// each costs.
package workload

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/testbed"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// Point is what one load cost at one size. A value's name is role, duty and unit with
// strokes between: core/leases/messages a second. Invariant: values of a load that is an
// event are what it cost above the steady beats.
type Point struct {
	Nodes  int                `json:"nodes"`
	Load   string             `json:"load"`
	Values map[string]float64 `json:"values"`
	// Missing counts nodes that did not come to know in time.
	Missing int `json:"missing,omitempty"`
	// MeshCPU is the part of this machine's processors that the mesh used meanwhile; above
	// Crowded, times are the machine's rather than the mesh's.
	MeshCPU float64 `json:"busy"`
	// MachineCPU is the part of all this machine's processors that anything used meanwhile:
	// high where Busy is low means that others worked here too.
	MachineCPU float64 `json:"machine"`
	// MaxStall is for how many seconds a process of the mesh did not run at most, though it
	// should have.
	MaxStall float64 `json:"held,omitempty"`
}

// MaxCleanCPU is the part of the machine above which times are left out of fits.
const MaxCleanCPU = 0.85

// MaxCleanStall is how many seconds a process may have been held up before times are left out.
const MaxCleanStall = 0.5

// Clean tells whether times of this point are the mesh's own.
func (p Point) Clean() bool { return p.MeshCPU <= MaxCleanCPU && p.MaxStall <= MaxCleanStall }

// Names lists the loads in the order in which they run.
var Names = []string{"steady", "leave", "changes", "manifest", "restart", "zone", "apart", "start"}

var workloads = map[string]func(*Run) error{
	"steady": (*Run).steady, "leave": (*Run).leave, "changes": (*Run).changeRoute, "manifest": (*Run).replaceConfig,
	"restart": (*Run).restart, "zone": (*Run).loseZone, "apart": (*Run).partition, "start": (*Run).startAll,
}

// Known tells whether there is such a load.
func Known(name string) bool { return workloads[name] != nil }

// Run is one size's measuring.
type Run struct {
	*testbed.Mesh
	Window   time.Duration // the window of steady beats, and how long regions are apart
	MaxWait  time.Duration // of any one wait
	Deadline time.Time     // when the measuring is over; a wait does not go on beyond it
	Points   []Point
	baseline steadyRates
	serial   int
}

// steadyRates is what the mesh costs a second while nothing happens.
type steadyRates struct {
	known                                 bool
	cores, busiestCore, node, hollowNodes float64 // processor seconds
	messages, coreBytes, nodeBytes        float64
}

// minWait is how long a wait may always take, so that what has begun can end.
const minWait = 5 * time.Second

func (r *Run) waitLimit() time.Duration { return max(minWait, min(r.MaxWait, time.Until(r.Deadline))) }

// RunAll runs the loads; steady comes first whether it is named or not. It ends early, with
// what it has, once Until has passed.
func (r *Run) RunAll(names []string) error {
	if err := r.awaitSettled(); err != nil {
		return err
	}
	if !slices.Contains(names, "steady") {
		names = append([]string{"steady"}, names...)
	}
	for _, name := range Names {
		if !slices.Contains(names, name) || r.baseline.known && time.Now().After(r.Deadline) {
			continue
		}
		if err := workloads[name](r); err != nil {
			return failure.Wrap(err, failure.Internal, "load "+name)
		}
	}
	return nil
}

// awaitSettled waits until every node is ready and knows every endpoint.
func (r *Run) awaitSettled() error {
	_, missing, _, err := r.Await(process.Condition{Ready: true, Healthy: r.Endpoints()}, r.waitLimit()).Times()
	if err == nil && missing > 0 {
		err = failure.New(failure.DeadlineExceeded, "%d of %d nodes did not come to know every endpoint in %v; their counters: %s", missing, r.NodeCount, r.waitLimit(), r.failureCounters())
	}
	return err
}

// failureCounters sums what nodes and cores counted as failed.
func (r *Run) failureCounters() string {
	reading, err := r.Read()
	if err != nil {
		return err.Error()
	}
	totals := map[string]int64{}
	for _, response := range append(append(reading.Cores, reading.SharedNodes...), reading.FirstNode) {
		for n, v := range response.Counters {
			if v > 0 && (n == "claims" || strings.HasSuffix(n, "_failed") || strings.HasSuffix(n, "turned_away")) {
				totals[n] += v
			}
		}
	}
	lines := []string{}
	for _, n := range slices.Sorted(maps.Keys(totals)) {
		lines = append(lines, fmt.Sprintf("%s %d", n, totals[n]))
	}
	return strings.Join(lines, ", ")
}

// usage is what passed between two looks.
type usage struct {
	seconds                   float64 // seconds
	byPath                    map[string]meter.Traffic
	coreCPU                   []float64 // processor seconds by core
	nodeProcessCPU            []float64 // by process that holds nodes, the whole node's first
	nodeCPU, hollowCPU        float64
	nodeBytes, heartbeatBytes float64 // bytes of the whole node, with the mesh and with its endpoint
	coreTraffic               meter.Traffic
	meshCPU, machineCPU       float64
	counters                  map[string]int64
}

func (r *Run) usageBetween(before, after testbed.Reading) usage {
	u := usage{seconds: float64(after.ReadAt-before.ReadAt) / 1e9, counters: map[string]int64{}}
	nodeIP, totalCoreCPU := r.Target.NodeIP(0), 0.0
	for i := range after.Cores {
		u.byPath = meter.Sum(u.byPath, meter.Subtract(after.Cores[i].ByPath, before.Cores[i].ByPath))
		peers := meter.Subtract(after.Cores[i].ByPeer, before.Cores[i].ByPeer)
		for _, c := range peers {
			u.coreTraffic = u.coreTraffic.Add(c)
		}
		u.nodeBytes += float64(peers[nodeIP].BytesIn + peers[nodeIP].BytesOut)
		cpu := after.Cores[i].Usage.CPUSeconds - before.Cores[i].Usage.CPUSeconds
		u.coreCPU, totalCoreCPU = append(u.coreCPU, cpu), totalCoreCPU+cpu
		for n, v := range after.Cores[i].Counters {
			u.counters[n] += v - before.Cores[i].Counters[n]
		}
	}
	u.nodeCPU = after.FirstNode.Usage.CPUSeconds - before.FirstNode.Usage.CPUSeconds
	u.nodeProcessCPU = []float64{u.nodeCPU}
	for i := range after.SharedNodes {
		c := meter.Subtract(after.SharedNodes[i].ByPeer, before.SharedNodes[i].ByPeer)[nodeIP]
		u.nodeBytes += float64(c.BytesIn + c.BytesOut)
		cpu := after.SharedNodes[i].Usage.CPUSeconds - before.SharedNodes[i].Usage.CPUSeconds
		u.hollowCPU, u.nodeProcessCPU = u.hollowCPU+cpu, append(u.nodeProcessCPU, cpu)
	}
	for from, c := range meter.Subtract(after.FirstNode.ByPeer, before.FirstNode.ByPeer) {
		if from == nodeIP {
			u.heartbeatBytes += float64(c.BytesIn + c.BytesOut)
		} else {
			u.nodeBytes += float64(c.BytesIn + c.BytesOut)
		}
	}
	u.machineCPU = meter.UsedShare(before.MachineTicks, after.MachineTicks)
	u.meshCPU = (totalCoreCPU + u.hollowCPU + u.nodeCPU) / u.seconds / float64(runtime.GOMAXPROCS(0))
	return u
}

func (u usage) totalCoreCPU() (sum float64) {
	for _, c := range u.coreCPU {
		sum += c
	}
	return sum
}

func (u usage) messageCount() (n float64) {
	for _, c := range u.byPath {
		n += float64(c.Messages)
	}
	return n
}

// steadyAttempts is how often steady beats are looked at before the machine counts as unfit.
const steadyAttempts = 4

func (r *Run) steady() error { return r.measureSteady(steadyAttempts) }

func (r *Run) measureSteady(attempts int) error {
	before, err := r.Read()
	if err != nil {
		return err
	}
	cores, nodes, err := r.Profile(r.Window)
	if err != nil {
		return err
	}
	after, err := r.Read()
	if err != nil {
		return err
	}
	u, coreCount := r.usageBetween(before, after), float64(r.Target.Cores)
	if late := u.seconds - r.Window.Seconds(); late > r.Window.Seconds()/4+0.5 {
		// The machine stood still meanwhile: nothing can be told from this look.
		if attempts--; attempts > 0 {
			return r.measureSteady(attempts)
		}
		return failure.New(failure.DeadlineExceeded, "a look of %v took %.1f s: the machine was held up", r.Window, u.seconds)
	}
	r.baseline = steadyRates{true, u.totalCoreCPU() / u.seconds, slices.Max(u.coreCPU) / u.seconds, u.nodeCPU / u.seconds, u.hollowCPU / u.seconds, u.messageCount() / u.seconds, float64(u.coreTraffic.BytesIn+u.coreTraffic.BytesOut) / u.seconds, u.nodeBytes / u.seconds}
	values := map[string]float64{
		"core/all/processor cores": u.totalCoreCPU() / u.seconds / coreCount, "core/busiest/processor cores": slices.Max(u.coreCPU) / u.seconds,
		"core/all/messages a second": u.messageCount() / u.seconds / coreCount, "core/all/bytes a second": float64(u.coreTraffic.BytesIn+u.coreTraffic.BytesOut) / u.seconds / coreCount,
		"sidecar/all/processor cores": u.nodeCPU / u.seconds, "sidecar/all/bytes a second": u.nodeBytes / u.seconds, "sidecar/its endpoint/bytes a second": u.heartbeatBytes / u.seconds,
		"sidecar/all/memory": after.FirstNode.Usage.ResidentBytes,
	}
	sidecarMessages := 0.0
	for path, c := range u.byPath {
		d := meter.ActivityOf(path).Name
		values["core/"+d+"/messages a second"] += float64(c.Messages) / u.seconds / coreCount
		values["core/"+d+"/body bytes a second"] += float64(c.BytesIn+c.BytesOut) / u.seconds / coreCount
		if path != "/cottonarch/v1/messages" {
			sidecarMessages += float64(c.Messages)
		}
		if c.Failed > 0 {
			values["core/"+d+"/turned away a second"] += float64(c.Failed) / u.seconds / coreCount
		}
	}
	values["sidecar/all/messages a second"] = sidecarMessages / u.seconds / float64(r.NodeCount)
	if r.NodeCount > 1 {
		values["sidecar/hollow, mean/processor cores"] = u.hollowCPU / u.seconds / float64(r.NodeCount-1)
	}
	for i, c := range cores {
		values["core/all/memory"] = max(values["core/all/memory"], after.Cores[i].Usage.ResidentBytes)
		for d, p := range c.CPUShares {
			values["core/"+d+"/processor cores"] += p * u.coreCPU[i] / u.seconds / coreCount
		}
	}
	// One node is too small to be told apart by samples: the parts are those of all nodes.
	sum, parts := 0.0, map[string]float64{}
	for i, before := range nodes {
		for d, p := range before.CPUShares {
			parts[d], sum = parts[d]+p*u.nodeProcessCPU[i], sum+p*u.nodeProcessCPU[i]
		}
	}
	for d, p := range parts {
		values["sidecar/"+d+"/processor cores"] = p / max(sum, 1e-9) * u.nodeCPU / u.seconds
	}
	for _, n := range []string{"sweeps", "deeds", "rounds"} {
		values["core/"+n+"/a second"] = float64(u.counters[n]) / u.seconds / coreCount
	}
	r.Points = append(r.Points, Point{Nodes: r.NodeCount, Load: "steady", Values: values, MeshCPU: u.meshCPU, MachineCPU: u.machineCPU})
	return nil
}

// measureEvent measures one thing that happens: do brings it about and gives the moment from
// which time counts and how nodes come to know.
func (r *Run) measureEvent(name string, times int, trigger func() (startedAt int64, wait *testbed.ConditionWait, err error)) error {
	values, point := map[string]float64{}, Point{Nodes: r.NodeCount, Load: name}
	for range times {
		before, err := r.Read()
		if err != nil {
			return err
		}
		startedAt, wait, err := trigger()
		if err != nil {
			return err
		}
		knownAt, missing, maxStall, err := wait.Times()
		if err != nil {
			return err
		}
		<-time.After(500 * time.Millisecond) // what still follows belongs to it
		after, err := r.Read()
		if err != nil {
			return err
		}
		t, n := r.usageBetween(before, after), float64(times)
		point.Missing += missing
		point.MaxStall = max(point.MaxStall, maxStall.Seconds())
		point.MeshCPU, point.MachineCPU = max(point.MeshCPU, t.meshCPU), max(point.MachineCPU, t.machineCPU)
		add := func(what string, x float64) { values[what] += max(0, x) / n }
		add("core/all/messages", (t.messageCount()-r.baseline.messages*t.seconds)/float64(r.Target.Cores))
		add("core/all/bytes", (float64(t.coreTraffic.BytesIn+t.coreTraffic.BytesOut)-r.baseline.coreBytes*t.seconds)/float64(r.Target.Cores))
		add("core/all/processor seconds", (t.totalCoreCPU()-r.baseline.cores*t.seconds)/float64(r.Target.Cores))
		add("core/busiest/processor seconds", slices.Max(t.coreCPU)-r.baseline.busiestCore*t.seconds)
		add("sidecar/all/bytes", t.nodeBytes-r.baseline.nodeBytes*t.seconds)
		add("sidecar/all/processor seconds", t.nodeCPU-r.baseline.node*t.seconds)
		if missing > 0 || len(knownAt) == 0 {
			continue // it has no time
		}
		for q, x := range map[string]float64{"half": 0.5, "99 in 100": 0.99, "all": 1} {
			i := max(0, int(math.Ceil(x*float64(len(knownAt))))-1)
			add("mesh/known to "+q+"/seconds", float64(knownAt[i]-startedAt)/1e9)
		}
		// Here all nodes share a few processors, which a deployment's do not: what they
		// worked is taken off but for one node's.
		work := max(0, t.hollowCPU+t.nodeCPU-(r.baseline.hollowNodes+r.baseline.node)*t.seconds)
		add("mesh/known to all, less the other nodes' work/seconds", float64(knownAt[len(knownAt)-1]-startedAt)/1e9-work*float64(r.NodeCount-1)/float64(r.NodeCount)/float64(runtime.GOMAXPROCS(0)))
		for _, c := range after.Cores {
			values["core/all/memory at its peak"] = max(values["core/all/memory at its peak"], c.Usage.PeakBytes)
		}
		values["sidecar/all/memory at its peak"] = max(values["sidecar/all/memory at its peak"], after.FirstNode.Usage.PeakBytes)
	}
	if point.Missing > 0 {
		for n := range values {
			if strings.HasPrefix(n, "mesh/") {
				delete(values, n)
			}
		}
	}
	point.Values = values
	r.Points = append(r.Points, point)
	return nil
}

// renewEndpoints puts nodes back to a fresh endpoint after a load that used theirs up.
func (r *Run) renewEndpoints(nodes []int) error {
	if _, _, err := r.StopNodes(nodes); err != nil {
		return err
	}
	if _, _, err := r.StartNodes(nodes); err != nil {
		return err
	}
	return r.awaitSettled()
}

func (r *Run) leave() error {
	if r.NodeCount < 2 {
		return nil
	}
	left, node := []int{}, r.NodeCount
	err := r.measureEvent("leave", min(3, r.NodeCount-1), func() (int64, *testbed.ConditionWait, error) {
		node--
		left = append(left, node)
		wait := r.Await(process.Condition{Unhealthy: r.Endpoints(node)}, r.waitLimit())
		startedAt, _, err := r.SetState([]int{node}, endpoint.Leaving)
		return startedAt, wait, err
	})
	if err != nil {
		return err
	}
	return r.renewEndpoints(left)
}

func (r *Run) changeRoute() error {
	return r.measureEvent("changes", 3, func() (int64, *testbed.ConditionWait, error) {
		r.serial++
		return r.proposeAndAwait("PATCH", r.Target.Patch(r.serial))
	})
}

func (r *Run) replaceConfig() error {
	return r.measureEvent("manifest", 1, func() (int64, *testbed.ConditionWait, error) {
		r.serial++
		return r.proposeAndAwait("PUT", r.Target.Config(r.serial))
	})
}

// proposeAndAwait counts from when the operator sent it.
func (r *Run) proposeAndAwait(method string, config map[string]any) (int64, *testbed.ConditionWait, error) {
	sentAt := meter.Now()
	revision, err := r.Propose(method, config, r.waitLimit())
	if err != nil {
		return 0, nil, err
	}
	return sentAt, r.Await(process.Condition{Revision: revision}, r.waitLimit()), nil
}

// restartedNodes is the part of the nodes that the target restarts in a day, hollow ones only.
func (r *Run) restartedNodes() []int {
	n := int(math.Round(float64(r.Target.RestartsPerDay) * float64(r.NodeCount) / float64(r.Target.Nodes)))
	nodes := []int{}
	for i := 1; i < r.NodeCount && len(nodes) < max(1, n); i++ {
		nodes = append(nodes, i)
	}
	return nodes
}

func (r *Run) restart() error {
	nodes := r.restartedNodes()
	if len(nodes) == 0 {
		return nil
	}
	return r.measureEvent("restart", 1, func() (int64, *testbed.ConditionWait, error) {
		stoppedAt, _, err := r.StopNodes(nodes)
		if err != nil {
			return 0, nil, err
		}
		_, restarted, err := r.StartNodes(nodes)
		return stoppedAt, r.Await(process.Condition{Ready: true, Healthy: restarted}, r.waitLimit()), err
	})
}

// loseZone is the nodes of one district: the last of the first region, which has no core as
// long as there are fewer cores than districts.
func (r *Run) loseZone() error {
	var nodes []int
	zonesPerRegion := r.Target.Zones / r.Target.Regions
	for i := 1; i < r.NodeCount; i++ {
		if i%r.Target.Zones == zonesPerRegion-1 {
			nodes = append(nodes, i)
		}
	}
	if len(nodes) == 0 {
		return nil
	}
	if err := r.measureEvent("zone lost", 1, func() (int64, *testbed.ConditionWait, error) {
		gone := r.Endpoints(nodes...)
		startedAt, _, err := r.StopNodes(nodes)
		return startedAt, r.Await(process.Condition{Unhealthy: gone}, r.waitLimit()), err
	}); err != nil {
		return err
	}
	return r.measureEvent("zone back", 1, func() (int64, *testbed.ConditionWait, error) {
		startedAt, restarted, err := r.StartNodes(nodes)
		return startedAt, r.Await(process.Condition{Ready: true, Healthy: restarted}, r.waitLimit()), err
	})
}

// startAll lets every node but the whole one start anew at the same moment.
func (r *Run) startAll() error {
	nodes := []int{}
	for i := 1; i < r.NodeCount; i++ {
		nodes = append(nodes, i)
	}
	return r.measureEvent("start", 1, func() (int64, *testbed.ConditionWait, error) {
		stoppedAt, _, err := r.StopNodes(nodes)
		if err != nil {
			return 0, nil, err
		}
		_, restarted, err := r.StartNodes(nodes)
		return stoppedAt, r.Await(process.Condition{Ready: true, Healthy: restarted}, r.waitLimit()), err
	})
}

// partition cuts the regions apart for a while, changes the manifest meanwhile on the side
// of the majority, joins them and counts from then.
func (r *Run) partition() error {
	if r.Target.Regions < 2 {
		return nil
	}
	return r.measureEvent("apart", 1, func() (int64, *testbed.ConditionWait, error) {
		if _, err := r.SetPartitioned(true); err != nil {
			return 0, nil, err
		}
		<-time.After(r.Window)
		r.serial++
		revision, err := r.Propose("PATCH", r.Target.Patch(r.serial), r.waitLimit())
		joinedAt, joinErr := r.SetPartitioned(false)
		if err == nil {
			err = joinErr
		}
		return joinedAt, r.Await(process.Condition{Revision: revision, Ready: true, Healthy: r.Endpoints()}, r.waitLimit()), err
	})
}
