// Package cluster runs the state machines of several cores, the same code that the daemons run,
// under an adversary that chooses the order of messages, the faults and the advance of time. Each
// member has a proposer, a register acceptor, a membership acceptor, a reconfigurer and a disk that
// may lose unsynced writes.
package cluster

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/sim/mutant"
)

// Fault is a kind of fault that the adversary may inject.
type Fault string

// The kinds of fault. Settings.Faults bounds the number of faults of each kind. Delayed and
// reordered messages need no fault: the delivery of each message is a choice of its own, which may
// be made at any later time or never.
const (
	// DelayedSync delivers a message. Later, separate choices sync the writes of the message and
	// deliver the response.
	DelayedSync Fault = "late"
	// MessageDuplication delivers a message and leaves a copy of the message in transit.
	MessageDuplication Fault = "double"
	// MessageLoss drops a message in transit.
	MessageLoss Fault = "lost"
	// Crash ends a process. All writes survive, including unsynced writes.
	Crash Fault = "crash"
	// PowerLoss ends a process. Any subset of the unsynced writes may be lost.
	PowerLoss Fault = "power"
	// DiskLoss ends a process and replaces its disk with an empty disk, so that the member returns
	// as a new member.
	DiskLoss Fault = "empty"
	// PlannedStop begins a planned stop: the member accepts no new operations and ends once its
	// operations in flight have ended.
	PlannedStop Fault = "leave"
	// LinkCut cuts the link between two members in both directions, OneWayLinkCut in one direction.
	LinkCut       Fault = "cut"
	OneWayLinkCut Fault = "cut-one-way"
	// PresumedDead makes the other members presume that a running member is dead, as if its
	// heartbeats were lost. All other messages of the member are still delivered.
	PresumedDead Fault = "silent"
	// ClockJump moves a member's clock forward by an hour.
	ClockJump Fault = "jump"
	// Resend makes a client send its last proposal again.
	Resend Fault = "again"
	// TimeAdvance advances the time; without messages, only time changes the state of the members.
	TimeAdvance Fault = "wait"
	// AcceptorStateLoss discards the state of an acceptor; only MutantAcceptor allows this fault.
	AcceptorStateLoss Fault = "forget"
)

// Faults returns the kinds of fault that settings may allow.
func Faults() []Fault {
	return []Fault{DelayedSync, MessageDuplication, MessageLoss, Crash, PowerLoss, DiskLoss, PlannedStop, LinkCut, OneWayLinkCut, PresumedDead, ClockJump, Resend, TimeAdvance}
}

// Mutant names a deliberate defect, as in mutation testing, that the invariants must detect. The
// simulator uses the same names.
type Mutant string

// The mutants that do not replace handlers of operations. Package sim/mutant has the mutants that
// replace handlers.
const (
	MutantQuorum     Mutant = "quorum"    // one response counts as a majority
	MutantAcceptor   Mutant = "replica"   // acceptors may lose the accepted state
	MutantClock      Mutant = "clock"     // leases are measured with a clock that may jump
	MutantReadRepair Mutant = "mend"      // reads do not repair outdated copies
	MutantLazySync   Mutant = "soft"      // opening a ring does not sync the ring
	MutantStop       Mutant = "stop"      // planned stops do not wait for operations in flight
	MutantOutcome    Mutant = "cell-fate" // unknown outcomes are treated as rejections
)

// Settings configure a cluster to explore. Traces store the settings.
type Settings struct {
	// Members is the number of founders, Spares the number of further members that may join.
	Members, Spares int
	// Keys holds the kind of each key that the clients use.
	Keys []KeyKind
	// Clients is the number of clients, Operations the maximum number of operations per client.
	Clients    int
	Operations int `json:"Deeds"`
	// Proposers is the number of members that accept operations, beginning with the first member.
	Proposers int `json:"Owners"`
	// Waits holds the durations by which TimeAdvance may advance the time.
	Waits []time.Duration
	// Faults holds the maximum number of faults of each kind.
	Faults map[Fault]int
	// ImmediateSelfDelivery delivers the messages of a member to itself immediately.
	ImmediateSelfDelivery bool `json:"Instant"`
	// Ring makes members write to the ring of the daemon instead of a list of records.
	Ring bool
	// Mutant is the deliberate defect of the cluster; empty means no defect.
	Mutant Mutant `json:"Break"`
}

// Factory returns a factory of clusters with these settings.
func (s Settings) Factory() search.Factory {
	machine := mutant.Handlers(string(s.Mutant), historyRetention)
	return func() search.System { return newCluster(s, machine) }
}

// Validate returns an error if settings that were read from a file are invalid.
func (s Settings) Validate() *failure.Error {
	if s.Members < 1 || s.Members+s.Spares > maxMembers || s.Clients < 1 || s.Clients > maxClients {
		return failure.New(failure.BadSettings, "a cluster must have 1 to %d members, spares included, and 1 to %d clients", maxMembers, maxClients)
	}
	for _, kind := range s.Keys {
		if objectFactories[kind] == nil {
			return failure.New(failure.BadSettings, "unknown kind of key %q", kind)
		}
	}
	return nil
}

// maxMembers is the maximum number of members, including spares, and maxClients the maximum number
// of clients.
const maxMembers, maxClients = 6, 16

// quorumOverride returns the number of responses that replaces the majority, or 0 for the true
// majority.
func (s Settings) quorumOverride() int {
	if s.Mutant == MutantQuorum {
		return 1
	}
	return 0
}

// faultLimit returns the maximum number of faults of a kind.
func (s Settings) faultLimit(f Fault) int {
	if f == AcceptorStateLoss && s.Mutant == MutantAcceptor {
		return 2
	}
	return s.Faults[f]
}

// majority returns the true majority of a membership, without regard to MajorityOverride.
func majority(membership quorum.Membership) int { return membership.Size()/2 + 1 }
