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

// repetitions is how often small events are measured.
const repetitions = 3

// leave lets endpoints leave, one after the other, from the last node on.
func (r *Run) leave() error {
	if r.NodeCount < 2 {
		return nil
	}
	left, node := []int{}, r.NodeCount
	err := r.measureEvent(leaveLoad, min(repetitions, r.NodeCount-1), func() (int64, *testbed.ConditionWait, error) {
		node--
		left = append(left, node)
		wait := r.Await(process.Condition{Unhealthy: r.Endpoints(node)}, r.waitTimeout())
		startedAt, err := r.SetState([]int{node}, endpoint.Leaving)
		return startedAt, wait, err
	})
	if err != nil {
		return err
	}
	return r.renewEndpoints(left)
}

// renewEndpoints restarts nodes whose endpoints have left, so that they get new ones.
func (r *Run) renewEndpoints(nodes []int) error {
	if _, _, err := r.StopNodes(nodes); err != nil {
		return err
	}
	if _, _, err := r.StartNodes(nodes); err != nil {
		return err
	}
	return r.awaitSettled()
}

// changeRoute changes one route of the configuration.
func (r *Run) changeRoute() error {
	return r.measureEvent(changesLoad, repetitions, func() (int64, *testbed.ConditionWait, error) {
		r.serial++
		return r.proposeAndAwait(http.MethodPatch, r.Target.Patch(r.serial))
	})
}

// replaceConfig replaces the whole configuration.
func (r *Run) replaceConfig() error {
	return r.measureEvent(configLoad, 1, func() (int64, *testbed.ConditionWait, error) {
		r.serial++
		return r.proposeAndAwait(http.MethodPut, r.Target.Config(r.serial))
	})
}

// proposeAndAwait proposes a configuration; time counts from when the operator sent it.
func (r *Run) proposeAndAwait(method string, config plan.Config) (int64, *testbed.ConditionWait, error) {
	sentAt := meter.Now()
	revision, err := r.Propose(method, config, r.waitTimeout())
	if err != nil {
		return 0, nil, err
	}
	return sentAt, r.Await(process.Condition{Revision: revision}, r.waitTimeout()), nil
}

// restart restarts nodes together: as many as the target restarts in a day, in proportion to the
// size.
func (r *Run) restart() error {
	count := int(math.Round(float64(r.Target.RestartsPerDay) * float64(r.NodeCount) / float64(r.Target.Nodes)))
	nodes := r.sharedNodes()
	return r.restartTogether(restartLoad, nodes[:min(max(1, count), len(nodes))])
}

// startAll lets every node but the full one start anew at the same time.
func (r *Run) startAll() error { return r.restartTogether(startLoad, r.sharedNodes()) }

// sharedNodes lists all nodes but node 0, whose usage is measured.
func (r *Run) sharedNodes() []int {
	nodes := []int{}
	for node := 1; node < r.NodeCount; node++ {
		nodes = append(nodes, node)
	}
	return nodes
}

// restartTogether stops nodes and starts them again; time counts from the stop.
func (r *Run) restartTogether(name string, nodes []int) error {
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

// startAndAwait starts nodes that were stopped and waits until all nodes know their endpoints.
func (r *Run) startAndAwait(nodes []int) (startedAt int64, wait *testbed.ConditionWait, err error) {
	startedAt, started, err := r.StartNodes(nodes)
	if err != nil {
		return 0, nil, err
	}
	return startedAt, r.Await(process.Condition{Ready: true, Healthy: started}, r.waitTimeout()), nil
}

// loseZone stops the nodes of one zone at once and starts them again: the last zone of the
// first region, which has no core as long as there are fewer cores than zones.
func (r *Run) loseZone() error {
	zone := r.Target.ZonesPerRegion() - 1
	var nodes []int
	for _, node := range r.sharedNodes() {
		if node%r.Target.Zones == zone {
			nodes = append(nodes, node)
		}
	}
	if len(nodes) == 0 {
		return nil
	}
	lost := func() (int64, *testbed.ConditionWait, error) {
		startedAt, stopped, err := r.StopNodes(nodes)
		if err != nil {
			return 0, nil, err
		}
		return startedAt, r.Await(process.Condition{Unhealthy: stopped}, r.waitTimeout()), nil
	}
	if err := r.measureEvent("zone lost", 1, lost); err != nil {
		return err
	}
	return r.measureEvent("zone back", 1, func() (int64, *testbed.ConditionWait, error) { return r.startAndAwait(nodes) })
}

// joinRegions cuts the regions apart for a while, changes the configuration meanwhile on the
// side of the majority, and joins the regions; time counts from the join.
func (r *Run) joinRegions() error {
	if r.Target.Regions < 2 {
		return nil
	}
	return r.measureEvent(apartLoad, 1, func() (int64, *testbed.ConditionWait, error) {
		if _, err := r.SetPartitioned(true); err != nil {
			return 0, nil, err
		}
		time.Sleep(r.Window)
		r.serial++
		revision, proposeErr := r.Propose(http.MethodPatch, r.Target.Patch(r.serial), r.waitTimeout())
		joinedAt, err := r.SetPartitioned(false)
		if proposeErr != nil {
			err = proposeErr
		}
		if err != nil {
			return 0, nil, err
		}
		return joinedAt, r.Await(process.Condition{Revision: revision, Ready: true, Healthy: r.Endpoints()}, r.waitTimeout()), nil
	})
}
