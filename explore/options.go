// Package explore is a model checker for the state machines of the control plane. The model checker
// tries all orders of messages and faults up to a limit, and longer orders by guided random walks. The
// command cottonarch explore runs the model checker; other programs may use the package directly.
package explore

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/explore/cluster"
)

// Options select what is explored and within which limits.
type Options struct {
	Model Model `json:"model"`
	// Members is the number of members of the initial membership, Keys the number of keys, and
	// Operators the number of concurrent clients.
	Members   int `json:"members"`
	Keys      int `json:"keys"`
	Operators int `json:"operators"`
	// Operations is the number of operations that each client requests; 0 means the default of the
	// search.
	Operations int `json:"deeds,omitempty"`
	// Waits, if set, are the durations by which time may advance, in place of the model's durations.
	Waits []time.Duration `json:"waits,omitempty"`
	// Depth limits the number of choices in a run of a breadth-first search. States limits the number
	// of states that the breadth-first searches of a model remember together.
	Depth  int `json:"depth"`
	States int `json:"states"`
	// KeyKinds, if set, holds the kind of each key. Keys and the kinds of the model are then not used.
	KeyKinds []cluster.KeyKind `json:"kinds,omitempty"`
	// Faults, if set, replace the fault limits of the model.
	Faults map[cluster.Fault]int `json:"faults,omitempty"`
	// Walks is the number of random walks, Steps the maximum number of choices in each.
	Walks int    `json:"walks"`
	Steps int    `json:"steps"`
	Seed  uint64 `json:"seed"`
	// Mutant names the fault that is put into the code under test on purpose, empty for none.
	Mutant cluster.Mutant `json:"break,omitempty"`
	// Ring makes members store their records in a ring, the daemon's file format, instead of a simple
	// model of a disk. A search with Ring is slower.
	Ring bool `json:"ring,omitempty"`
	// Stop, if set, is called between runs; a true result ends the search early.
	Stop func() bool `json:"-"`
}

// The bounds of the options.
const (
	minMembers, maxMembers = 3, 5
	maxKeys                = 8
	maxOperators           = 4
	maxDepth               = 200
	maxWalks               = 10_000_000
	maxFaults              = 100
)

// The number of operations that each client requests in a breadth-first search, in a random walk, and
// as the only client.
const (
	operationsBreadthFirst = 2
	operationsPerWalk      = 5
	operationsSingleClient = 9
)

// breadthFirstFaults returns the fault limits of each breadth-first search of a model.
func (o Options) breadthFirstFaults(model Model) []faultLimits {
	if len(o.Faults) > 0 {
		return []faultLimits{o.Faults}
	}
	return modelDefinitions[model].breadthFirstFaults
}

// walkFaults returns the fault limits of the random walks of a model.
func (o Options) walkFaults(model Model) faultLimits {
	if len(o.Faults) > 0 {
		return o.Faults
	}
	return modelDefinitions[model].walkFaults
}

// settings returns the settings of a cluster for one model and its fault limits.
func (o Options) settings(model Model, allowed faultLimits, operations int) cluster.Settings {
	definition := modelDefinitions[model]
	settings := cluster.Settings{
		Members: o.Members, Spares: definition.spares, Clients: o.Operators, Operations: cmp.Or(o.Operations, operations), Proposers: definition.proposers,
		Waits: definition.waitDurations, Faults: maps.Clone(allowed), ImmediateSelfDelivery: true, Ring: o.Ring, Mutant: o.Mutant,
	}
	if len(o.Waits) > 0 {
		settings.Waits = o.Waits
	}
	if len(o.KeyKinds) > 0 {
		settings.Keys = o.KeyKinds
		return settings
	}
	for i := range o.Keys {
		if model == Configuration && i > 0 {
			break // there is only one configuration key
		}
		settings.Keys = append(settings.Keys, definition.keys[i%len(definition.keys)])
	}
	return settings
}

// Validate returns an error that lists every invalid option, or nil.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "the exploration can't be run")
	addInvalid := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	checkRange := func(path string, n, lowest, highest int) {
		if n < lowest || n > highest {
			addInvalid(path, "must be from %d to %d", lowest, highest)
		}
	}
	if _, known := modelDefinitions[o.Model]; !known && o.Model != All {
		addInvalid("model", "there is no model %q", o.Model)
	}
	checkRange("members", o.Members, minMembers, maxMembers)
	checkRange("keys", o.Keys, 1, maxKeys)
	checkRange("operators", o.Operators, 1, maxOperators)
	checkRange("depth", o.Depth, 0, maxDepth)
	checkRange("walks", o.Walks, 0, maxWalks)
	checkRange("steps", o.Steps, 1, maxWalks)
	for f, n := range o.Faults {
		if !slices.Contains(cluster.Faults(), f) {
			addInvalid("faults", "there is no fault %q", f)
		}
		checkRange("faults", n, 0, maxFaults)
	}
	if _, known := mutants[o.Mutant]; !known && o.Mutant != "" {
		addInvalid("break", "there is no mutant %q; known: %s", o.Mutant, strings.Join(MutantNames(), ", "))
	}
	if len(invalid.Faults) == 0 {
		return nil
	}
	slices.SortFunc(invalid.Faults, func(a, b failure.Fault) int { return strings.Compare(a.Path+a.Message, b.Path+b.Message) })
	return invalid
}
