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
	steadyWorkload        = "steady"   // heartbeats and nothing else
	leaveWorkload         = "leave"    // an endpoint leaves
	routeChangeWorkload   = "changes"  // one route of the configuration changes
	configReplaceWorkload = "manifest" // the whole configuration is replaced
	restartWorkload       = "restart"  // nodes restart, as many as in a day
	zoneFailureWorkload   = "zone"     // a zone is lost and comes back
	partitionWorkload     = "apart"    // regions that were cut apart are joined
	restartAllWorkload    = "start"    // all nodes start at once
)

// Names lists the workloads in the order in which they run.
var Names = []string{steadyWorkload, leaveWorkload, routeChangeWorkload, configReplaceWorkload, restartWorkload, zoneFailureWorkload, partitionWorkload, restartAllWorkload}

var workloads = map[string]func(*Runner) error{
	steadyWorkload:        (*Runner).runSteady,
	leaveWorkload:         (*Runner).leaveEndpoints,
	routeChangeWorkload:   (*Runner).changeRoute,
	configReplaceWorkload: (*Runner).replaceConfig,
	restartWorkload:       (*Runner).restartNodes,
	zoneFailureWorkload:   (*Runner).failAndRestoreZone,
	partitionWorkload:     (*Runner).healPartition,
	restartAllWorkload:    (*Runner).restartAllNodes,
}

// Known tells whether there is a workload of that name.
func Known(name string) bool { return workloads[name] != nil }

// Point is what one workload cost at one size. A value's name is role/activity/unit, for
// example core/leases/messages a second. Invariant: values of a workload that is an event are
// what it cost above the steady state.
type Point struct {
	Nodes    int                `json:"nodes"`
	Workload string             `json:"load"`
	Values   map[string]float64 `json:"values"`
	// TimedOut is how many nodes did not learn of the event in time.
	TimedOut int `json:"missing,omitempty"`
	// MeshCPU is the part of this machine's processors that the mesh used meanwhile; above
	// MaxReliableCPU, times are the machine's rather than the mesh's.
	MeshCPU float64 `json:"busy"`
	// MachineCPU is the part of all this machine's processors that any process used meanwhile. If it
	// is high while MeshCPU is low, other programs loaded the machine.
	MachineCPU float64 `json:"machine"`
	// MaxStall is the longest time in seconds by which a process of the mesh was scheduled late.
	MaxStall float64 `json:"held,omitempty"`
}

// MaxReliableCPU is the part of the machine above which times are left out of fits.
const MaxReliableCPU = 0.85

// MaxReliableStall is the stall in seconds above which times are left out of fits.
const MaxReliableStall = 0.5

// HasReliableTimes tells whether times of this point are the mesh's own.
func (p Point) HasReliableTimes() bool {
	return p.MeshCPU <= MaxReliableCPU && p.MaxStall <= MaxReliableStall
}

// Runner is the measurement of one size.
type Runner struct {
	*testbed.Mesh
	Window   time.Duration // of the steady state, and how long regions are cut apart
	MaxWait  time.Duration // of any one wait
	Deadline time.Time     // of the measurement; a wait does not go on beyond it
	Points   []Point

	baseline     steadyRates
	configSerial int // of the last configuration proposed
}

// minWaitTimeout is how long a wait may take even after the deadline, so that an event that has begun can end.
const minWaitTimeout = 5 * time.Second

func (r *Runner) waitTimeout() time.Duration {
	return max(minWaitTimeout, min(r.MaxWait, time.Until(r.Deadline)))
}

// RunAll runs the workloads; the steady state comes first whether it is named or not. It ends
// early, with what it has, once the deadline has passed.
func (r *Runner) RunAll(names []string) error {
	if err := r.awaitConverged(); err != nil {
		return err
	}
	for _, name := range Names {
		if name != steadyWorkload && !slices.Contains(names, name) {
			continue
		}
		if r.baseline.measured && time.Now().After(r.Deadline) {
			return nil
		}
		if err := workloads[name](r); err != nil {
			return failure.Wrap(err, failure.Internal, "load "+name)
		}
	}
	return nil
}

// awaitConverged waits until every node is ready and knows every endpoint.
func (r *Runner) awaitConverged() error {
	timeout := r.waitTimeout()
	result, err := r.Await(process.Condition{Ready: true, Healthy: r.Endpoints()}, timeout).Result()
	if err == nil && result.TimedOut > 0 {
		err = failure.New(failure.DeadlineExceeded, "%d of %d nodes did not come to know every endpoint in %v; their counters: %s",
			result.TimedOut, r.NodeCount, timeout, r.failureCounters())
	}
	return err
}

// failureCounters shows the counters of failures, summed over nodes and cores.
func (r *Runner) failureCounters() string {
	reading, err := r.ReadUsage()
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
