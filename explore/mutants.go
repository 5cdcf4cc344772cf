package explore

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/explore/cluster"
)

// detection describes how a mutant is detected: the model, the kinds of keys and, if set, the faults
// that replace those of the model.
type detection struct {
	model  Model
	keys   []cluster.KeyKind
	faults faultLimits
	// singleClient replaces the clients by one client that requests more operations in sequence.
	// waitDurations, if set, replace those of the model.
	singleClient  bool
	waitDurations []time.Duration
}

// mutants holds the mutants and how each is detected.
var mutants = map[cluster.Mutant]detection{
	cluster.MutantQuorum:     {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantAcceptor:   {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantReadRepair: {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantLazySync:   {model: Register, keys: []cluster.KeyKind{cluster.SequenceKey}, faults: faultLimits{cluster.DelayedSync: 1, cluster.Crash: 1, cluster.PowerLoss: 1}},
	cluster.MutantStop:       {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantOutcome:    {model: Register, keys: []cluster.KeyKind{cluster.KeyspaceKey}},
	cluster.MutantClock:      {model: Locks, keys: []cluster.KeyKind{cluster.LockKey}, faults: faultLimits{cluster.ClockJump: 1}},
	"lock":                   {model: Locks, keys: []cluster.KeyKind{cluster.LockKey}},
	"cell-keep":              {model: Locks, keys: []cluster.KeyKind{cluster.LockKey}},
	"offer":                  {model: Configuration, keys: []cluster.KeyKind{cluster.ConfigKey}},
	"audit":                  {model: Register, keys: []cluster.KeyKind{cluster.AuditKey}},
	"history":                {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	"cell-twice":             {model: Register, keys: []cluster.KeyKind{cluster.KeyspaceKey}},
	"cell-old":               {model: Register, keys: []cluster.KeyKind{cluster.KeyspaceKey}},
	"cell-skip":              {model: Register, keys: []cluster.KeyKind{cluster.KeyspaceKey}},
	"cell-history":           {model: Register, keys: []cluster.KeyKind{cluster.KeyspaceKey}, faults: faultLimits{cluster.TimeAdvance: 3}, singleClient: true, waitDurations: []time.Duration{5 * time.Second}},
}

// NarrowedToMutant returns the options, limited to the search that detects Options.Mutant.
func (o Options) NarrowedToMutant() Options {
	detected, known := mutants[o.Mutant]
	if !known {
		return o
	}
	o.Model, o.KeyKinds = detected.model, detected.keys
	o.Ring = o.Ring || o.Mutant == cluster.MutantLazySync
	if len(o.Faults) == 0 {
		o.Faults = detected.faults
	}
	o.Waits = detected.waitDurations
	if detected.singleClient {
		o.Operators, o.Operations = 1, operationsSingleClient
	}
	return o
}

// MutantNames returns the sorted names of all mutants.
func MutantNames() []string {
	var names []string
	for m := range mutants {
		names = append(names, string(m))
	}
	slices.Sort(names)
	return names
}
