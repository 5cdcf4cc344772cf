package explore

import (
	"time"

	"cottonarch.example/cottonarch/explore/cluster"
)

// Model names a part of the control plane that is explored.
type Model string

// The models, and All of them.
const (
	Register      Model = "register"      // keys with values, sequences, keyspaces and audit segments
	Membership    Model = "membership"    // members that lose their disk, and join again
	Configuration Model = "configuration" // proposals of configurations
	Locks         Model = "locks"         // leases of locks
	All           Model = "all"
)

// Models lists the models in the order in which All explores them.
func Models() []Model { return []Model{Register, Configuration, Locks, Membership} }

// modelDefinition is what a model explores unless the options say otherwise.
type modelDefinition struct {
	keys      []cluster.KeyKind
	waitSpans []time.Duration
	// faultMixes are explored breadth first, one after the other; walkFaults are the faults of
	// walks.
	faultMixes []faultLimits
	walkFaults faultLimits
	// spares is how many members may join, proposers how many members take operations.
	spares    int
	proposers int
}

// faultLimits are how many faults of each kind may happen.
type faultLimits = map[cluster.Fault]int

// modelDefinitions are the definitions of the models. Their spans of time are one after which
// messages are sent again and one after which a round is given up, and for locks one after which
// a lease expires.
var modelDefinitions = map[Model]modelDefinition{
	Register: {
		keys:      []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey, cluster.KeyspaceKey, cluster.AuditKey},
		waitSpans: []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond},
		faultMixes: []faultLimits{
			{}, {cluster.DelayedSync: 1}, {cluster.DelayedSync: 1, cluster.Crash: 1}, {cluster.DelayedSync: 1, cluster.PowerLoss: 1},
			{cluster.PlannedStop: 1}, {cluster.MessageDuplication: 1, cluster.TimeAdvance: 1},
		},
		walkFaults: faultLimits{
			cluster.DelayedSync: 4, cluster.Crash: 2, cluster.PowerLoss: 2, cluster.TimeAdvance: 8, cluster.PlannedStop: 1, cluster.MessageDuplication: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.OneWayLinkCut: 1,
		},
		proposers: 2,
	},
	Configuration: {
		keys:       []cluster.KeyKind{cluster.ConfigKey},
		waitSpans:  []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond},
		faultMixes: []faultLimits{{}, {cluster.Resend: 1}, {cluster.Resend: 1, cluster.Crash: 1}, {cluster.DelayedSync: 1, cluster.TimeAdvance: 1}},
		walkFaults: faultLimits{
			cluster.DelayedSync: 3, cluster.Crash: 2, cluster.PowerLoss: 1, cluster.Resend: 3, cluster.TimeAdvance: 8, cluster.MessageDuplication: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.OneWayLinkCut: 1,
		},
		proposers: 2,
	},
	Locks: {
		keys:       []cluster.KeyKind{cluster.LockKey},
		waitSpans:  []time.Duration{200 * time.Millisecond, 1400 * time.Millisecond},
		faultMixes: []faultLimits{{}, {cluster.TimeAdvance: 1}, {cluster.ClockJump: 1}, {cluster.Crash: 1, cluster.TimeAdvance: 1}},
		walkFaults: faultLimits{
			cluster.DelayedSync: 3, cluster.Crash: 2, cluster.PowerLoss: 1, cluster.ClockJump: 2, cluster.TimeAdvance: 8, cluster.MessageDuplication: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.OneWayLinkCut: 1,
		},
		proposers: 2,
	},
	Membership: {
		keys:       []cluster.KeyKind{cluster.ValueKey},
		waitSpans:  []time.Duration{400 * time.Millisecond, 2100 * time.Millisecond},
		faultMixes: []faultLimits{{cluster.DiskLoss: 1}, {cluster.DiskLoss: 1, cluster.TimeAdvance: 1}, {cluster.PresumedDead: 1}},
		walkFaults: faultLimits{
			cluster.DelayedSync: 4, cluster.DiskLoss: 2, cluster.Crash: 2, cluster.PowerLoss: 2, cluster.PresumedDead: 1, cluster.TimeAdvance: 8, cluster.MessageLoss: 2,
			cluster.PlannedStop: 1,
		},
		spares: 1, proposers: 2,
	},
}
