package explore

import (
	"time"

	"cottonarch.example/cottonarch/explore/cluster"
)

// Model names a part of the control plane that a search explores.
type Model string

// The models. All selects every model.
const (
	Register      Model = "register"      // keys with values, sequences, keyspaces and audit segments
	Membership    Model = "membership"    // members that lose their disk and rejoin
	Configuration Model = "configuration" // proposals of configurations
	Locks         Model = "locks"         // locks and their leases
	All           Model = "all"
)

// Models lists the models in the order in which All explores them.
func Models() []Model { return []Model{Register, Configuration, Locks, Membership} }

// modelDefinition holds the defaults of a model, which Options may override.
type modelDefinition struct {
	keys          []cluster.KeyKind
	waitDurations []time.Duration
	// breadthFirstFaults holds the fault limits of each breadth-first search, in order; walkFaults are
	// the fault limits of the random walks.
	breadthFirstFaults []faultLimits
	walkFaults         faultLimits
	// spares is the number of members that may join, proposers the number of members that accept
	// operations of clients.
	spares    int
	proposers int
}

// faultLimits is the maximum number of faults of each kind in a run.
type faultLimits = map[cluster.Fault]int

// modelDefinitions holds the definitions of the models. The first of waitDurations makes members resend
// messages; the second makes proposers abandon a round and, for Locks, makes a lease expire.
var modelDefinitions = map[Model]modelDefinition{
	Register: {
		keys:          []cluster.KeyKind{cluster.ValueKey, cluster.SequenceKey, cluster.KeyspaceKey, cluster.AuditKey},
		waitDurations: []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond},
		breadthFirstFaults: []faultLimits{
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
		keys:               []cluster.KeyKind{cluster.ConfigKey},
		waitDurations:      []time.Duration{200 * time.Millisecond, 1300 * time.Millisecond},
		breadthFirstFaults: []faultLimits{{}, {cluster.Resend: 1}, {cluster.Resend: 1, cluster.Crash: 1}, {cluster.DelayedSync: 1, cluster.TimeAdvance: 1}},
		walkFaults: faultLimits{
			cluster.DelayedSync: 3, cluster.Crash: 2, cluster.PowerLoss: 1, cluster.Resend: 3, cluster.TimeAdvance: 8, cluster.MessageDuplication: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.OneWayLinkCut: 1,
		},
		proposers: 2,
	},
	Locks: {
		keys:               []cluster.KeyKind{cluster.LockKey},
		waitDurations:      []time.Duration{200 * time.Millisecond, 1400 * time.Millisecond},
		breadthFirstFaults: []faultLimits{{}, {cluster.TimeAdvance: 1}, {cluster.ClockJump: 1}, {cluster.Crash: 1, cluster.TimeAdvance: 1}},
		walkFaults: faultLimits{
			cluster.DelayedSync: 3, cluster.Crash: 2, cluster.PowerLoss: 1, cluster.ClockJump: 2, cluster.TimeAdvance: 8, cluster.MessageDuplication: 2, cluster.MessageLoss: 3,
			cluster.LinkCut: 1, cluster.OneWayLinkCut: 1,
		},
		proposers: 2,
	},
	Membership: {
		keys:               []cluster.KeyKind{cluster.ValueKey},
		waitDurations:      []time.Duration{400 * time.Millisecond, 2100 * time.Millisecond},
		breadthFirstFaults: []faultLimits{{cluster.DiskLoss: 1}, {cluster.DiskLoss: 1, cluster.TimeAdvance: 1}, {cluster.PresumedDead: 1}},
		walkFaults: faultLimits{
			cluster.DelayedSync: 4, cluster.DiskLoss: 2, cluster.Crash: 2, cluster.PowerLoss: 2, cluster.PresumedDead: 1, cluster.TimeAdvance: 8, cluster.MessageLoss: 2,
			cluster.PlannedStop: 1,
		},
		spares: 1, proposers: 2,
	},
}
