// Package workload runs one workload after the other on a running mesh and measures the cost of each
// workload.
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

// Names of the workloads in options and in stored results. The stored results of zoneFailureWorkload
// have the names "zone lost" and "zone back".
const (
	steadyWorkload        = "steady"   // only heartbeats
	leaveWorkload         = "leave"    // an endpoint leaves
	routeChangeWorkload   = "changes"  // one route of the configuration changes
	configReplaceWorkload = "manifest" // the whole configuration is replaced
	restartWorkload       = "restart"  // as many nodes restart as in one day
	zoneFailureWorkload   = "zone"     // a zone fails and recovers
	partitionWorkload     = "apart"    // a partition between regions heals
	restartAllWorkload    = "start"    // all nodes except node 0 restart simultaneously
)

// Names lists the workloads in the order of execution.
var Names = []string{steadyWorkload, leaveWorkload, routeChangeWorkload, configReplaceWorkload, restartWorkload, zoneFailureWorkload, partitionWorkload, restartAllWorkload}

// workloads maps the name of each workload to its implementation.
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

// Known reports whether a workload of this name exists.
func Known(name string) bool { return workloads[name] != nil }

// Point is the cost of one workload at one size. The name of a value is role/activity/unit, for example
// "core/leases/messages a second". Invariant: the CPU, message and byte values of a workload other than
// steady are the cost of the workload's event in excess of the steady state.
type Point struct {
	Nodes    int                `json:"nodes"`
	Workload string             `json:"load"`
	Values   map[string]float64 `json:"values"`
	// TimedOut is the number of nodes that did not learn of the event in time.
	TimedOut int `json:"missing,omitempty"`
	// MeshCPU is the mesh's CPU utilization, from 0 to 1, of the processors available to the program.
	// Above MaxReliableCPU, times depend on the speed of the machine more than on the mesh.
	MeshCPU float64 `json:"busy"`
	// MachineCPU is the CPU utilization of the whole machine, from 0 to 1, by all programs. A high
	// MachineCPU with a low MeshCPU means that other programs loaded the machine.
	MachineCPU float64 `json:"machine"`
	// MaxStall is the longest delay, in seconds, of a poll in a process of nodes. A long delay means
	// that the machine did not schedule the process in time.
	MaxStall float64 `json:"held,omitempty"`
}

// MaxReliableCPU is the MeshCPU above which times are excluded from fits.
const MaxReliableCPU = 0.85

// MaxReliableStall is the MaxStall, in seconds, above which times are excluded from fits.
const MaxReliableStall = 0.5

// HasReliableTimes reports whether the times of the point are properties of the mesh and not of an
// overloaded machine.
func (p Point) HasReliableTimes() bool {
	return p.MeshCPU <= MaxReliableCPU && p.MaxStall <= MaxReliableStall
}

// Runner runs the workloads on a mesh of one size and collects the points.
type Runner struct {
	*testbed.Mesh
	Window   time.Duration // length of the steady measurement and of the partition between regions
	MaxWait  time.Duration // limit of each wait
	Deadline time.Time     // end of the measurement; waits end by Deadline or after minWaitTimeout
	Points   []Point

	baseline     steadyRates
	configSerial int // serial number of the last configuration that was proposed
}

// minWaitTimeout is the timeout of a wait close to the deadline or after the deadline, so that an event
// in progress can end.
const minWaitTimeout = 5 * time.Second

// waitTimeout returns the timeout of a wait that starts at this time.
func (r *Runner) waitTimeout() time.Duration {
	return max(minWaitTimeout, min(r.MaxWait, time.Until(r.Deadline)))
}

// RunAll runs the named workloads in the order of Names. The steady workload always runs first, whether
// named or not. After the deadline, no further workload starts and RunAll returns nil; the points that
// were measured remain.
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
			return failure.Wrap(err, failure.Internal, "workload "+name)
		}
	}
	return nil
}

// awaitConverged waits until every node is ready and has every endpoint in its registry as healthy.
func (r *Runner) awaitConverged() error {
	timeout := r.waitTimeout()
	result, err := r.Await(process.Condition{Ready: true, Healthy: r.Endpoints()}, timeout).Result()
	if err == nil && result.TimedOut > 0 {
		err = failure.New(failure.DeadlineExceeded, "%d of %d nodes were not ready or did not learn of every endpoint within %v; failure counters: %s",
			result.TimedOut, r.NodeCount, timeout, r.failureCounters())
	}
	return err
}

// failureCounters formats the failure counters, summed over nodes and cores.
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

// countsFailures reports whether a counter increases on failures. The counter "claims" counts attempts
// to join, which are repeated after a failure.
func countsFailures(counter string) bool {
	return counter == "claims" || strings.HasSuffix(counter, "_failed") || strings.HasSuffix(counter, "turned_away")
}
