package explore

import (
	"slices"
	"time"

	"cottonarch.example/cottonarch/explore/cluster"
)

// detection is where a mutant is detected: the model, the keys that it concerns and, if given,
// the faults that it needs in place of the model's own.
type detection struct {
	model  Model
	keys   []cluster.KeyKind
	faults faultLimits
	// singleClient has one client ask for more operations, one after the other; waitSpans, if
	// given, are spans of time in place of the model's own.
	singleClient bool
	waitSpans    []time.Duration
}

// mutants lists the mutants and where each is detected.
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
	"cell-history":           {model: Register, keys: []cluster.KeyKind{cluster.KeyspaceKey}, faults: faultLimits{cluster.TimeAdvance: 3}, singleClient: true, waitSpans: []time.Duration{5 * time.Second}},
}

// Focused narrows options with a mutant to where it is detected.
func (o Options) Focused() Options {
	detected, known := mutants[o.Mutant]
	if !known {
		return o
	}
	o.Model, o.KeyKinds = detected.model, detected.keys
	o.Ring = o.Ring || o.Mutant == cluster.MutantLazySync
	if len(o.Faults) == 0 {
		o.Faults = detected.faults
	}
	o.Waits = detected.waitSpans
	if detected.singleClient {
		o.Operators, o.Operations = 1, operationsSingleClient
	}
	return o
}

// MutantNames lists the names of all mutants.
func MutantNames() []string {
	var names []string
	for m := range mutants {
		names = append(names, string(m))
	}
	slices.Sort(names)
	return names
}
