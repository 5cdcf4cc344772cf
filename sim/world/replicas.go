package world

import (
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/sim/invariant"
)

// CompareReplicas checks, after a calm time, that every voter holds the same record of every
// key: read repair and the anti-entropy pass must have repaired the rest.
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
				w.Violate(invariant.NotRepaired, "%s: %s holds revision %d of %v, %s holds %d of %v", k, reference.Addr, a.Revision, a.Accepted, c.Addr, b.Revision, b.Accepted)
			}
		}
	}
}

// keysOfEither lists the keys of both maps in order, each once.
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
