// Package explore checks the state machines of the control plane against all orders of messages
// and faults up to a limit, and beyond it by guided random walks. Other programs may embed it;
// cottonarch explore is its command.
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

// Options say what is explored and how far.
type Options struct {
	Model     Model `json:"model"`
	Members   int   `json:"members"`
	Keys      int   `json:"keys"`
	Operators int   `json:"operators"`
	// Operations is how many operations an operator asks for, if not as many as the search sets.
	Operations int `json:"deeds,omitempty"`
	// Waits are the spans by which time may pass, in place of the model's own.
	Waits []time.Duration `json:"waits,omitempty"`
	// Depth bounds the breadth-first search by choices, States by remembered states.
	Depth  int `json:"depth"`
	States int `json:"states"`
	// KeyKinds are the kinds of the keys, in place of Keys of the model's own.
	KeyKinds []cluster.KeyKind `json:"kinds,omitempty"`
	// Faults are the limits of faults, in place of the model's own.
	Faults map[cluster.Fault]int `json:"faults,omitempty"`
	// Walks is how many random walks follow, of Steps choices each.
	Walks int    `json:"walks"`
	Steps int    `json:"steps"`
	Seed  uint64 `json:"seed"`
	// Mutant is the rule that is broken on purpose, none if empty.
	Mutant cluster.Mutant `json:"break,omitempty"`
	// Ring has members write to the daemon's ring, which is slower.
	Ring bool `json:"ring,omitempty"`
	// Stop, when set, is asked between runs and ends the search early.
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

// How many operations each client asks for in a breadth-first search, in a walk, and if it is
// the only client.
const (
	operationsBreadthFirst = 2
	operationsPerWalk      = 5
	operationsSingleClient = 9
)

// faultMixes lists the faults of each breadth-first search of a model.
func (o Options) faultMixes(model Model) []faultLimits {
	if len(o.Faults) > 0 {
		return []faultLimits{o.Faults}
	}
	return modelDefinitions[model].faultMixes
}

// walkFaults are the faults of the walks of a model.
func (o Options) walkFaults(model Model) faultLimits {
	if len(o.Faults) > 0 {
		return o.Faults
	}
	return modelDefinitions[model].walkFaults
}

// settings are the settings of a cluster for one model and some faults.
func (o Options) settings(model Model, allowed faultLimits, operations int) cluster.Settings {
	definition := modelDefinitions[model]
	settings := cluster.Settings{
		Members: o.Members, Spares: definition.spares, Clients: o.Operators, Operations: cmp.Or(o.Operations, operations), Proposers: definition.proposers,
		Waits: definition.waitSpans, Faults: maps.Clone(allowed), ImmediateSelfDelivery: true, Ring: o.Ring, Mutant: o.Mutant,
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
			break // there is one configuration
		}
		settings.Keys = append(settings.Keys, definition.keys[i%len(definition.keys)])
	}
	return settings
}

// Validate returns every fault of the options, nil if there is none.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "this can't be explored")
	add := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	between := func(path string, n, lowest, highest int) {
		if n < lowest || n > highest {
			add(path, "must be from %d to %d", lowest, highest)
		}
	}
	if _, known := modelDefinitions[o.Model]; !known && o.Model != All {
		add("model", "there is no model %q", o.Model)
	}
	between("members", o.Members, minMembers, maxMembers)
	between("keys", o.Keys, 1, maxKeys)
	between("operators", o.Operators, 1, maxOperators)
	between("depth", o.Depth, 0, maxDepth)
	between("walks", o.Walks, 0, maxWalks)
	between("steps", o.Steps, 1, maxWalks)
	for f, n := range o.Faults {
		if !slices.Contains(cluster.Faults(), f) {
			add("faults", "there is no fault %q", f)
		}
		between("faults", n, 0, maxFaults)
	}
	if _, known := mutants[o.Mutant]; !known && o.Mutant != "" {
		add("break", "there is no break %q; known are %s", o.Mutant, strings.Join(MutantNames(), ", "))
	}
	if len(invalid.Faults) == 0 {
		return nil
	}
	slices.SortFunc(invalid.Faults, func(a, b failure.Fault) int { return strings.Compare(a.Path+a.Message, b.Path+b.Message) })
	return invalid
}
