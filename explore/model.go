// Package explore checks the step functions of the control plane against all orders of
// messages and faults up to a bound, and beyond it by guided random walks. Others may embed
// it; cottonarch explore is its command.
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

// Model names what is explored.
type Model string

// The models.
const (
	Register      Model = "register"
	Membership    Model = "membership"
	Configuration Model = "configuration"
	Locks         Model = "locks"
	All           Model = "all"
)

// Models lists the models in the order in which All explores them.
func Models() []Model { return []Model{Register, Configuration, Locks, Membership} }

// Options say what is explored and how far.
type Options struct {
	Model     Model `json:"model"`
	Members   int   `json:"members"`
	Keys      int   `json:"keys"`
	Operators int   `json:"operators"`
	// Operations is how many operations an operator asks for, if it is not the search's own number.
	Operations int `json:"deeds,omitempty"`
	// Waits are the spans by which time may pass, in place of the model's own.
	Waits []time.Duration `json:"waits,omitempty"`
	// Depth bounds the breadth-first search by choices, States by remembered states.
	Depth  int `json:"depth"`
	States int `json:"states"`
	// KeyKinds are the kinds of the keys, in place of Keys of the model's own.
	KeyKinds []cluster.KeyKind `json:"kinds,omitempty"`
	// Faults are the numbers of faults in place of the model's own.
	Faults map[cluster.Fault]int `json:"faults,omitempty"`
	// Walks random walks of Steps choices follow.
	Walks  int            `json:"walks"`
	Steps  int            `json:"steps"`
	Seed   uint64         `json:"seed"`
	Mutant cluster.Mutant `json:"break,omitempty"`
	// Ring has members write to the daemon's ring, which is slower.
	Ring bool `json:"ring,omitempty"`
	// Stop, when set, is asked between runs and ends the search early.
	Stop func() bool `json:"-"`
}

// modelDefinition is what a model explores by itself.
type modelDefinition struct {
	keys      []cluster.KeyKind
	waitSpans []time.Duration
	// faultMixes are explored breadth first, one after the other; faults are those of walks.
	faultMixes []faultLimits
	walkFaults faultLimits
	spares     int
	proposers  int
}

type faultLimits = map[cluster.Fault]int

// modelDefinitions hold the models. Waits are a span after which messages are sent again, one after
// which a round is given up, and for locks one after which a claim is over.
var modelDefinitions = map[Model]modelDefinition{
	Register: {
		keys:      []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey, cluster.EntryKey, cluster.AuditKey},
		waitSpans: []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond},
		faultMixes: []faultLimits{
			{}, {cluster.LateSync: 1}, {cluster.LateSync: 1, cluster.Crash: 1}, {cluster.LateSync: 1, cluster.PowerLoss: 1},
			{cluster.PlannedStop: 1}, {cluster.Duplicate: 1, cluster.TimePasses: 1},
		},
		walkFaults: faultLimits{
			cluster.LateSync: 4, cluster.Crash: 2, cluster.PowerLoss: 2, cluster.TimePasses: 8, cluster.PlannedStop: 1, cluster.Duplicate: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.DirectedCut: 1,
		},
		proposers: 2,
	},
	Configuration: {
		keys:       []cluster.KeyKind{cluster.ConfigKey},
		waitSpans:  []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond},
		faultMixes: []faultLimits{{}, {cluster.Resend: 1}, {cluster.Resend: 1, cluster.Crash: 1}, {cluster.LateSync: 1, cluster.TimePasses: 1}},
		walkFaults: faultLimits{
			cluster.LateSync: 3, cluster.Crash: 2, cluster.PowerLoss: 1, cluster.Resend: 3, cluster.TimePasses: 8, cluster.Duplicate: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.DirectedCut: 1,
		},
		proposers: 2,
	},
	Locks: {
		keys:       []cluster.KeyKind{cluster.LockKey},
		waitSpans:  []time.Duration{200 * time.Millisecond, 1400 * time.Millisecond},
		faultMixes: []faultLimits{{}, {cluster.TimePasses: 1}, {cluster.ClockJump: 1}, {cluster.Crash: 1, cluster.TimePasses: 1}},
		walkFaults: faultLimits{
			cluster.LateSync: 3, cluster.Crash: 2, cluster.PowerLoss: 1, cluster.ClockJump: 2, cluster.TimePasses: 8, cluster.Duplicate: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.DirectedCut: 1,
		},
		proposers: 2,
	},
	Membership: {
		keys:       []cluster.KeyKind{cluster.ValueKey},
		waitSpans:  []time.Duration{400 * time.Millisecond, 2100 * time.Millisecond},
		faultMixes: []faultLimits{{cluster.DiskLoss: 1}, {cluster.DiskLoss: 1, cluster.TimePasses: 1}, {cluster.Unheard: 1}},
		walkFaults: faultLimits{
			cluster.LateSync: 4, cluster.DiskLoss: 2, cluster.Crash: 2, cluster.PowerLoss: 2, cluster.Unheard: 1, cluster.TimePasses: 8, cluster.MessageLoss: 2,
			cluster.PlannedStop: 1,
		},
		spares: 1, proposers: 2,
	},
}

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

// settings are those of a cluster of one model under some faults.
func (o Options) settings(model Model, allowed faultLimits, operations int) cluster.Settings {
	definition := modelDefinitions[model]
	settings := cluster.Settings{
		Members: o.Members, Spares: definition.spares, Clients: o.Operators, Operations: cmp.Or(o.Operations, operations), Proposers: definition.proposers,
		Waits: definition.waitSpans, Faults: maps.Clone(allowed), Instant: true, Ring: o.Ring, Mutant: o.Mutant,
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

// A client asks for so many operations in the breadth-first search, and in walks.
const (
	operationsBreadthFirst = 2
	operationsPerWalk      = 5
	operationsSingleClient = 9
)

// Validate finds what is wrong with the options.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "this can't be explored")
	add := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Note: fmt.Sprintf(format, args...)})
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
	slices.SortFunc(invalid.Faults, func(a, b failure.Fault) int { return strings.Compare(a.Path+a.Note, b.Path+b.Note) })
	return invalid
}

// What may be asked for.
const (
	minMembers, maxMembers = 3, 5
	maxKeys                = 8
	maxOperators           = 4
	maxDepth               = 200
	maxWalks               = 10_000_000
	maxFaults              = 100
)

// detection is where a break shows: the model, the keys that it concerns and, when given, the
// faults that it needs in place of the model's own.
type detection struct {
	model  Model
	keys   []cluster.KeyKind
	faults faultLimits
	// singleClient has one client ask for more operations, one after the other, and waits are the spans
	// in place of the model's own.
	singleClient bool
	waitSpans    []time.Duration
}

// mutants lists what can be broken on purpose.
var mutants = map[cluster.Mutant]detection{
	cluster.MutantQuorum:     {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantAcceptor:   {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantReadRepair: {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantLazySync:   {model: Register, keys: []cluster.KeyKind{cluster.SequenceKey}, faults: faultLimits{cluster.LateSync: 1, cluster.Crash: 1, cluster.PowerLoss: 1}},
	cluster.MutantStop:       {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	cluster.MutantOutcome:    {model: Register, keys: []cluster.KeyKind{cluster.EntryKey}},
	cluster.MutantClock:      {model: Locks, keys: []cluster.KeyKind{cluster.LockKey}, faults: faultLimits{cluster.ClockJump: 1}},
	"lock":                   {model: Locks, keys: []cluster.KeyKind{cluster.LockKey}},
	"cell-keep":              {model: Locks, keys: []cluster.KeyKind{cluster.LockKey}},
	"offer":                  {model: Configuration, keys: []cluster.KeyKind{cluster.ConfigKey}},
	"audit":                  {model: Register, keys: []cluster.KeyKind{cluster.AuditKey}},
	"history":                {model: Register, keys: []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey}},
	"cell-twice":             {model: Register, keys: []cluster.KeyKind{cluster.EntryKey}},
	"cell-old":               {model: Register, keys: []cluster.KeyKind{cluster.EntryKey}},
	"cell-skip":              {model: Register, keys: []cluster.KeyKind{cluster.EntryKey}},
	"cell-history":           {model: Register, keys: []cluster.KeyKind{cluster.EntryKey}, faults: faultLimits{cluster.TimePasses: 3}, singleClient: true, waitSpans: []time.Duration{5 * time.Second}},
}

// Focused narrows options with a break to where it shows.
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

// MutantNames lists what can be broken on purpose.
func MutantNames() []string {
	var out []string
	for b := range mutants {
		out = append(out, string(b))
	}
	slices.Sort(out)
	return out
}
