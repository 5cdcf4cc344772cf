package search

import (
	"runtime"
	"sync"
)

// child is one state reached from a parent. Invariant: the parent's path and choice lead
// to it.
type child struct {
	choice Choice
	hash   uint64
	breach *Breach
}

// node is a remembered state: the choice that led to it and where from.
type node struct {
	parent int32
	choice Choice
}

// breadth explores layer by layer. States are remembered by hash alone; a path is made
// again from its choices.
func breadth(begin Factory, b Bound, r *Report) map[uint64]bool {
	seen := map[uint64]bool{}
	first := begin()
	seen[first.Hash()] = true
	r.States = 1
	if r.Breach = first.Breach(); r.Breach != nil || b.States == 0 {
		return seen
	}
	nodes := []node{{parent: -1}}
	layer := []int32{0}
	for depth := 1; depth <= b.Depth && len(layer) > 0; depth++ {
		grown := grow(begin, b, nodes, layer)
		layer = layer[:0:0]
		for _, family := range grown {
			if family.skipped {
				return seen
			}
			for _, c := range family.children {
				r.Runs++
				r.Taken[c.choice.Kind]++
				if c.breach != nil {
					r.Breach, r.Trace = c.breach, append(path(nodes, family.parent), c.choice)
					return seen
				}
				if seen[c.hash] {
					continue
				}
				if len(seen) >= b.States {
					return seen
				}
				seen[c.hash] = true
				r.States++
				nodes = append(nodes, node{family.parent, c.choice})
				layer = append(layer, int32(len(nodes)-1))
			}
		}
		r.Depth = depth
	}
	r.Whole = len(layer) == 0
	return seen
}

// path lists the choices that lead to a remembered state.
func path(nodes []node, at int32) []Choice {
	var back []Choice
	for ; nodes[at].parent >= 0; at = nodes[at].parent {
		back = append(back, nodes[at].choice)
	}
	for i, j := 0, len(back)-1; i < j; i, j = i+1, j-1 {
		back[i], back[j] = back[j], back[i]
	}
	return back
}

// family is what one remembered state leads to.
type family struct {
	parent   int32
	children []child
	skipped  bool
}

// grow tries every choice of every state of a layer. The families are in the order of the
// layer, whichever worker made them.
func grow(begin Factory, b Bound, nodes []node, layer []int32) []family {
	out := make([]family, len(layer))
	workers := b.Workers
	if workers <= 0 {
		workers = min(2, runtime.GOMAXPROCS(0))
	}
	next := 0
	var mu sync.Mutex
	take := func() int {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1
	}
	var all sync.WaitGroup
	for range workers {
		all.Go(func() {
			for i := take(); i < len(layer); i = take() {
				if b.stopped() {
					out[i].skipped = true
					continue
				}
				out[i] = family{parent: layer[i], children: children(begin, path(nodes, layer[i]))}
			}
		})
	}
	all.Wait()
	return out
}

// children makes one run for each choice that a path leaves.
func children(begin Factory, trace []Choice) (out []child) {
	s := again(begin, trace)
	for i, c := range s.Choices() {
		if i > 0 {
			s = again(begin, trace)
		}
		s.Apply(c)
		out = append(out, child{c, s.Hash(), s.Breach()})
	}
	return out
}

// again makes a path's choices anew.
func again(begin Factory, trace []Choice) System {
	s := begin()
	for _, c := range trace {
		s.Apply(c)
	}
	return s
}
