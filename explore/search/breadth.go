package search

import (
	"runtime"
	"slices"
	"sync"
)

// successor is one state reached from a parent. Invariant: the parent's path and choice lead
// to it.
type successor struct {
	choice    Choice
	hash      uint64
	violation *Violation
}

// noParent is the parent of the first state.
const noParent = -1

// defaultWorkers is how many runs are made at a time at most, if the limits do not say.
const defaultWorkers = 2

// node is a remembered state: the choice that led to it, and the index of the state before.
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
	frontier []int32 // the states that the last layer found first
	ended    bool
}

// BreadthFirst explores layer by layer until a violation, the limits, or the end. States are
// remembered by hash alone; a path to one is made again from its choices.
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

// exploreLayer explores one more layer.
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

// record notes one state reached; the search ends at a violation or the last state that is
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

// pathTo lists the choices that lead to a remembered state.
func pathTo(nodes []node, index int32) []Choice {
	var choices []Choice
	for ; nodes[index].parent != noParent; index = nodes[index].parent {
		choices = append(choices, nodes[index].choice)
	}
	slices.Reverse(choices)
	return choices
}

// expansion is what one remembered state leads to; it is skipped if the search was stopped.
type expansion struct {
	parent     int32
	successors []successor
	skipped    bool
}

// expandLayer tries every choice of every state of a layer. The expansions are in the order of
// the layer, whichever worker made them.
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

// successorsOf makes one run for each choice that a path leaves.
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

// replay makes the choices of a path again.
func replay(newSystem Factory, trace []Choice) System {
	system := newSystem()
	for _, choice := range trace {
		system.Apply(choice)
	}
	return system
}
