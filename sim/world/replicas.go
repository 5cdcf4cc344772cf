package world

import (
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/sim/invariant"
)

// CompareReplicas checks that every voter holds the same record of every key. The caller must let the
// world run without faults first, so that read repair and the anti-entropy pass have repaired all
// stale replicas.
func (w *World) CompareReplicas() {
	var reference *Core
	var expected map[ident.Key]quorum.Record
	for _, c := range w.Cores {
		if !c.Healthy() {
			continue
		}
		copies := c.node.AcceptedStates()
		if reference == nil {
			reference, expected = c, copies
			continue
		}
		for _, k := range keysOfEither(expected, copies) {
			w.Checker.Observe(invariant.NotRepaired)
			if a, b := expected[k], copies[k]; !a.SameState(b) {
				w.Violate(invariant.NotRepaired, "key %s: core %s holds revision %d accepted under %v, core %s holds revision %d accepted under %v", k, reference.Addr, a.Revision, a.Accepted, c.Addr, b.Revision, b.Accepted)
			}
		}
	}
}

// keysOfEither returns the keys of both maps in sorted order, each once.
func keysOfEither(a, b map[ident.Key]quorum.Record) []ident.Key {
	keys := slices.Sorted(maps.Keys(a))
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
