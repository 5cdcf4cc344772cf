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

// layers is a breadth-first search under way.
type layers struct {
	bound  Bound
	report Report
	seen   map[uint64]bool
	nodes  []node
	now    []int32 // the states that the last layer found first
	full   bool
}

// Breadth explores layer by layer until a breach, the bound, or the end. States are
// remembered by hash alone; a path is made again from its choices.
func Breadth(begin Factory, b Bound) Report {
	first := begin()
	l := &layers{bound: b, seen: map[uint64]bool{first.Hash(): true}, nodes: []node{{parent: -1}}, now: []int32{0}}
	l.report = Report{States: 1, Taken: map[Kind]int{}, Breach: first.Breach()}
	for depth := 1; depth <= b.Depth && len(l.now) > 0 && l.report.Breach == nil; depth++ {
		if l.next(begin); l.full {
			break
		}
		l.report.Depth = depth
	}
	l.report.Whole = len(l.now) == 0 && !l.full && l.report.Breach == nil
	return l.report
}

// next explores one layer more.
func (l *layers) next(begin Factory) {
	grown := grow(begin, l.bound, l.nodes, l.now)
	l.now = nil
	for _, f := range grown {
		if f.skipped {
			l.full = true
			return
		}
		for _, c := range f.children {
			if l.take(f.parent, c); l.full {
				return
			}
		}
	}
}

// take notes one state reached; the search is full after a breach or the last state.
func (l *layers) take(parent int32, c child) {
	l.report.Runs++
	l.report.Taken[c.choice.Kind]++
	if c.breach != nil {
		l.report.Breach, l.report.Trace = c.breach, append(path(l.nodes, parent), c.choice)
		l.full = true
		return
	}
	if l.seen[c.hash] {
		return
	}
	l.seen[c.hash] = true
	l.report.States++
	l.nodes = append(l.nodes, node{parent, c.choice})
	l.now = append(l.now, int32(len(l.nodes)-1))
	l.full = l.report.States >= l.bound.States
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
