package workload

import (
	"math"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/testbed"
	"cottonarch.example/cottonarch/mesh/endpoint"
)

// repetitions is how many times an event that changes a single endpoint or a single route is measured.
const repetitions = 3

// leaveEndpoints measures the leaving of endpoints, one at a time, starting with the endpoint of the
// last node.
func (r *Runner) leaveEndpoints() error {
	if r.NodeCount < 2 {
		return nil
	}
	left, node := []int{}, r.NodeCount
	err := r.measureEvent(leaveWorkload, min(repetitions, r.NodeCount-1), func() (int64, *testbed.ConditionWait, error) {
		node--
		left = append(left, node)
		wait := r.Await(process.Condition{Unhealthy: r.Endpoints(node)}, r.waitTimeout())
		startedAt, err := r.SetState([]int{node}, endpoint.Leaving)
		return startedAt, wait, err
	})
	if err != nil {
		return err
	}
	return r.replaceLeftEndpoints(left)
}

// replaceLeftEndpoints restarts nodes whose endpoints have left, so that the nodes get new endpoints.
func (r *Runner) replaceLeftEndpoints(nodes []int) error {
	if _, _, err := r.StopNodes(nodes); err != nil {
		return err
	}
	if _, _, err := r.StartNodes(nodes); err != nil {
		return err
	}
	return r.awaitConverged()
}

// changeRoute measures the change of one route of the configuration.
func (r *Runner) changeRoute() error {
	return r.measureEvent(routeChangeWorkload, repetitions, func() (int64, *testbed.ConditionWait, error) {
		r.configSerial++
		return r.proposeAndAwait(http.MethodPatch, r.Target.Patch(r.configSerial))
	})
}

// replaceConfig measures the replacement of the whole configuration.
func (r *Runner) replaceConfig() error {
	return r.measureEvent(configReplaceWorkload, 1, func() (int64, *testbed.ConditionWait, error) {
		r.configSerial++
		return r.proposeAndAwait(http.MethodPut, r.Target.Config(r.configSerial))
	})
}

// proposeAndAwait proposes a configuration. The convergence time starts when the proposal is sent to
// the core.
func (r *Runner) proposeAndAwait(method string, config plan.Config) (int64, *testbed.ConditionWait, error) {
	sentAt := meter.Now()
	revision, err := r.Propose(method, config, r.waitTimeout())
	if err != nil {
		return 0, nil, err
	}
	return sentAt, r.Await(process.Condition{Revision: revision}, r.waitTimeout()), nil
}

// restartNodes measures the simultaneous restart of several nodes. The number of nodes is the target's
// number of restarts per day, scaled to the size of the measured mesh.
func (r *Runner) restartNodes() error {
	count := int(math.Round(float64(r.Target.RestartsPerDay) * float64(r.NodeCount) / float64(r.Target.Nodes)))
	nodes := r.sharedNodes()
	return r.restartTogether(restartWorkload, nodes[:min(max(1, count), len(nodes))])
}

// restartAllNodes measures the simultaneous restart of all nodes except node 0.
func (r *Runner) restartAllNodes() error {
	return r.restartTogether(restartAllWorkload, r.sharedNodes())
}

// sharedNodes returns all nodes except node 0. Node 0 must keep running, because its usage is measured.
func (r *Runner) sharedNodes() []int {
	nodes := []int{}
	for node := 1; node < r.NodeCount; node++ {
		nodes = append(nodes, node)
	}
	return nodes
}

// restartTogether stops and restarts nodes. The convergence time starts with the stop.
func (r *Runner) restartTogether(name string, nodes []int) error {
	if len(nodes) == 0 {
		return nil
	}
	return r.measureEvent(name, 1, func() (int64, *testbed.ConditionWait, error) {
		stoppedAt, _, err := r.StopNodes(nodes)
		if err != nil {
			return 0, nil, err
		}
		_, wait, err := r.startAndAwait(nodes)
		return stoppedAt, wait, err
	})
}

// startAndAwait restarts stopped nodes and starts to wait until all nodes are ready and know the
// endpoints of the restarted nodes.
func (r *Runner) startAndAwait(nodes []int) (startedAt int64, wait *testbed.ConditionWait, err error) {
	startedAt, started, err := r.StartNodes(nodes)
	if err != nil {
		return 0, nil, err
	}
	return startedAt, r.Await(process.Condition{Ready: true, Healthy: started}, r.waitTimeout()), nil
}

// failAndRestoreZone measures the simultaneous stop and the simultaneous restart of all nodes of one
// zone: the last zone of the first region. That zone has no core unless there are more cores than
// Target.Zones - Target.Regions. The cores keep running in any case.
func (r *Runner) failAndRestoreZone() error {
	lastZone := r.Target.ZonesPerRegion() - 1
	var nodes []int
	for _, node := range r.sharedNodes() {
		if node%r.Target.Zones == lastZone {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		return nil
	}
	failNodes := func() (int64, *testbed.ConditionWait, error) {
		startedAt, stopped, err := r.StopNodes(nodes)
		if err != nil {
			return 0, nil, err
		}
		return startedAt, r.Await(process.Condition{Unhealthy: stopped}, r.waitTimeout()), nil
	}
	if err := r.measureEvent("zone lost", 1, failNodes); err != nil {
		return err
	}
	return r.measureEvent("zone back", 1, func() (int64, *testbed.ConditionWait, error) { return r.startAndAwait(nodes) })
}

// healPartition measures the healing of a partition between regions. The partition lasts for Window
// plus the time until the side with the majority of the cores has accepted a change of the
// configuration. The convergence time starts when the partition heals.
func (r *Runner) healPartition() error {
	if r.Target.Regions < 2 {
		return nil
	}
	return r.measureEvent(partitionWorkload, 1, func() (int64, *testbed.ConditionWait, error) {
		if _, err := r.SetPartitioned(true); err != nil {
			return 0, nil, err
		}
		time.Sleep(r.Window)
		r.configSerial++
		revision, proposeErr := r.Propose(http.MethodPatch, r.Target.Patch(r.configSerial), r.waitTimeout())
		healedAt, err := r.SetPartitioned(false)
		if proposeErr != nil {
			err = proposeErr
		}
		if err != nil {
			return 0, nil, err
		}
		return healedAt, r.Await(process.Condition{Revision: revision, Ready: true, Healthy: r.Endpoints()}, r.waitTimeout()), nil
	})
}
