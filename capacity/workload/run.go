// Package workload puts a running mesh under one kind of load after the other and measures the cost
// of each.
package workload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/testbed"
)

// Names of the workloads, as operators choose them and figures are stored.
const (
	steadyLoad  = "steady"   // heartbeats and nothing else
	leaveLoad   = "leave"    // an endpoint leaves
	changesLoad = "changes"  // one route of the configuration changes
	configLoad  = "manifest" // the whole configuration is replaced
	restartLoad = "restart"  // nodes restart, as many as in a day
	zoneLoad    = "zone"     // a zone is lost and comes back
	apartLoad   = "apart"    // regions that were cut apart are joined
	startLoad   = "start"    // all nodes start at once
)

// Names lists the workloads in the order in which they run.
var Names = []string{steadyLoad, leaveLoad, changesLoad, configLoad, restartLoad, zoneLoad, apartLoad, startLoad}

var workloads = map[string]func(*Run) error{
	steadyLoad:  (*Run).steady,
	leaveLoad:   (*Run).leave,
	changesLoad: (*Run).changeRoute,
	configLoad:  (*Run).replaceConfig,
	restartLoad: (*Run).restart,
	zoneLoad:    (*Run).loseZone,
	apartLoad:   (*Run).joinRegions,
	startLoad:   (*Run).startAll,
}

// Known tells whether there is a workload of that name.
func Known(name string) bool { return workloads[name] != nil }

// Point is what one workload cost at one size. A value's name is role/activity/unit, for
// example core/leases/messages a second. Invariant: values of a workload that is an event are
// what it cost above the steady state.
type Point struct {
	Nodes  int                `json:"nodes"`
	Load   string             `json:"load"`
	Values map[string]float64 `json:"values"`
	// Missing is how many nodes did not learn of the event in time.
	Missing int `json:"missing,omitempty"`
	// MeshCPU is the part of this machine's processors that the mesh used meanwhile; above
	// MaxCleanCPU, times are the machine's rather than the mesh's.
	MeshCPU float64 `json:"busy"`
	// MachineCPU is the part of all this machine's processors that any process used meanwhile. If it
	// is high while MeshCPU is low, other programs loaded the machine.
	MachineCPU float64 `json:"machine"`
	// MaxStall is the longest time in seconds by which a process of the mesh was scheduled late.
	MaxStall float64 `json:"held,omitempty"`
}

// MaxCleanCPU is the part of the machine above which times are left out of fits.
const MaxCleanCPU = 0.85

// MaxCleanStall is the stall in seconds above which times are left out of fits.
const MaxCleanStall = 0.5

// Clean tells whether times of this point are the mesh's own.
func (p Point) Clean() bool { return p.MeshCPU <= MaxCleanCPU && p.MaxStall <= MaxCleanStall }

// Run is the measurement of one size.
type Run struct {
	*testbed.Mesh
	Window   time.Duration // of the steady state, and how long regions are cut apart
	MaxWait  time.Duration // of any one wait
	Deadline time.Time     // of the measurement; a wait does not go on beyond it
	Points   []Point

	baseline steadyRates
	serial   int // of the last configuration proposed
}

// minWait is how long a wait may take even after the deadline, so that an event that has begun can end.
const minWait = 5 * time.Second

func (r *Run) waitTimeout() time.Duration {
	return max(minWait, min(r.MaxWait, time.Until(r.Deadline)))
}

// RunAll runs the workloads; the steady state comes first whether it is named or not. It ends
// early, with what it has, once the deadline has passed.
func (r *Run) RunAll(names []string) error {
	if err := r.awaitSettled(); err != nil {
		return err
	}
	for _, name := range Names {
		if name != steadyLoad && !slices.Contains(names, name) {
			continue
		}
		if r.baseline.known && time.Now().After(r.Deadline) {
			return nil
		}
		if err := workloads[name](r); err != nil {
			return failure.Wrap(err, failure.Internal, "load "+name)
		}
	}
	return nil
}

// awaitSettled waits until every node is ready and knows every endpoint.
func (r *Run) awaitSettled() error {
	timeout := r.waitTimeout()
	result, err := r.Await(process.Condition{Ready: true, Healthy: r.Endpoints()}, timeout).Result()
	if err == nil && result.Missing > 0 {
		err = failure.New(failure.DeadlineExceeded, "%d of %d nodes did not come to know every endpoint in %v; their counters: %s",
			result.Missing, r.NodeCount, timeout, r.failureCounters())
	}
	return err
}

// failureCounters shows the counters of failures, summed over nodes and cores.
func (r *Run) failureCounters() string {
	reading, err := r.Read()
	if err != nil {
		return err.Error()
	}
	totals := map[string]int64{}
	for _, response := range reading.Responses() {
		for name, value := range response.Counters {
			if value > 0 && countsFailures(name) {
				totals[name] += value
			}
		}
	}
	lines := []string{}
	for _, name := range slices.Sorted(maps.Keys(totals)) {
		lines = append(lines, fmt.Sprintf("%s %d", name, totals[name]))
	}
	return strings.Join(lines, ", ")
}

// countsFailures tells whether a counter rises when something fails; "claims" counts joins, which
// repeat when they fail.
func countsFailures(counter string) bool {
	return counter == "claims" || strings.HasSuffix(counter, "_failed") || strings.HasSuffix(counter, "turned_away")
}
