package search

import (
	"runtime"
	"slices"
	"sync"
)

// successor is a state reached from a parent state. Invariant: the path of the parent, followed by
// choice, leads to the successor.
type successor struct {
	choice    Choice
	hash      uint64
	violation *Violation
}

// noParent is the parent index of the initial state.
const noParent = -1

// defaultWorkers is the maximum number of concurrent runs if Limits.Workers is not set.
const defaultWorkers = 2

// node is a remembered state: the index of its parent state and the choice that led from there.
type node struct {
	parent int32
	choice Choice
}

// breadthSearch is a breadth-first search in progress.
type breadthSearch struct {
	limits   Limits
	report   Report
	seen     map[uint64]bool
	nodes    []node
	frontier []int32 // new states that the last layer found
	ended    bool
}

// BreadthFirst explores the states layer by layer until a violation, a limit, or the last reachable
// state. States are remembered only by their hash; a state is reconstructed by replaying its path.
func BreadthFirst(newSystem Factory, limits Limits) Report {
	first := newSystem()
	search := &breadthSearch{limits: limits, seen: map[uint64]bool{first.Hash(): true}, nodes: []node{{parent: noParent}}, frontier: []int32{0}}
	search.report = Report{States: 1, ChoiceCounts: map[Kind]int{}, Violation: first.Violation()}
	for depth := 1; depth <= limits.Depth && len(search.frontier) > 0 && search.report.Violation == nil; depth++ {
		if search.exploreLayer(newSystem); search.ended {
			break
		}
		search.report.Depth = depth
	}
	search.report.Complete = len(search.frontier) == 0 && !search.ended && search.report.Violation == nil
	return search.report
}

// exploreLayer explores the successors of the frontier, which become the next frontier.
func (s *breadthSearch) exploreLayer(newSystem Factory) {
	expansions := expandLayer(newSystem, s.limits, s.nodes, s.frontier)
	s.frontier = nil
	for _, expanded := range expansions {
		if expanded.skipped {
			s.ended = true
			return
		}
		for _, reached := range expanded.successors {
			if s.record(expanded.parent, reached); s.ended {
				return
			}
		}
	}
}

// record records one successor. The search ends at a violation, or when Limits.States states are
// remembered.
func (s *breadthSearch) record(parent int32, reached successor) {
	s.report.Runs++
	s.report.ChoiceCounts[reached.choice.Kind]++
	if reached.violation != nil {
		s.report.Violation, s.report.Trace = reached.violation, append(pathTo(s.nodes, parent), reached.choice)
		s.ended = true
		return
	}
	if s.seen[reached.hash] {
		return
	}
	s.seen[reached.hash] = true
	s.report.States++
	s.nodes = append(s.nodes, node{parent, reached.choice})
	s.frontier = append(s.frontier, int32(len(s.nodes)-1))
	s.ended = s.report.States >= s.limits.States
}

// pathTo returns the choices that lead from the initial state to a remembered state.
func pathTo(nodes []node, index int32) []Choice {
	var choices []Choice
	for ; nodes[index].parent != noParent; index = nodes[index].parent {
		choices = append(choices, nodes[index].choice)
	}
	slices.Reverse(choices)
	return choices
}

// expansion holds the successors of one remembered state. skipped says that the search was stopped
// before the state was expanded.
type expansion struct {
	parent     int32
	successors []successor
	skipped    bool
}

// expandLayer applies every choice of every state of a layer. The expansions have the order of the
// layer, so that the result does not depend on the scheduling of the workers.
func expandLayer(newSystem Factory, limits Limits, nodes []node, layer []int32) []expansion {
	out := make([]expansion, len(layer))
	workers := limits.Workers
	if workers <= 0 {
		workers = min(defaultWorkers, runtime.GOMAXPROCS(0))
	}
	next := 0
	var mu sync.Mutex
	claimNext := func() int {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1
	}
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for i := claimNext(); i < len(layer); i = claimNext() {
				if limits.stopRequested() {
					out[i].skipped = true
					continue
				}
				out[i] = expansion{parent: layer[i], successors: successorsOf(newSystem, pathTo(nodes, layer[i]))}
			}
		})
	}
	group.Wait()
	return out
}

// successorsOf returns the successors of the state at the end of a path, with one run per choice.
func successorsOf(newSystem Factory, trace []Choice) (out []successor) {
	system := replay(newSystem, trace)
	for i, choice := range system.Choices() {
		if i > 0 {
			system = replay(newSystem, trace)
		}
		system.Apply(choice)
		out = append(out, successor{choice, system.Hash(), system.Violation()})
	}
	return out
}

// replay applies the choices of a path to a new system.
func replay(newSystem Factory, trace []Choice) System {
	system := newSystem()
	for _, choice := range trace {
		system.Apply(choice)
	}
	return system
}
