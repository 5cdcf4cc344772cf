// Package cluster runs the state machines of several cores, the same that the daemons run, under
// an adversary that chooses the order of messages, faults and the passing of time. Each member
// has a proposer, an acceptor of the register and one of the membership, a reconfigurer, and a
// ring on a disk that loses what was not synced.
package cluster

import (
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/sim/mutant"
)

// Fault is a kind of fault that the adversary may choose.
type Fault string

// The kinds of fault. Each is bounded by its number in Settings.Faults. A message that is
// delayed behind any number of others needs no fault: its delivery is itself a choice, and may
// never come.
const (
	// DelayedSync delivers a message whose writes are synced, and whose response is delivered, later
	// by choices of their own.
	DelayedSync Fault = "late"
	// MessageDuplication delivers a message and leaves a copy of it in transit.
	MessageDuplication Fault = "double"
	// MessageLoss takes a message out of transit.
	MessageLoss Fault = "lost"
	// Crash ends a process; what it wrote stays, also unsynced.
	Crash Fault = "crash"
	// PowerLoss ends a process and lets each unsynced write be kept or lost.
	PowerLoss Fault = "power"
	// DiskLoss ends a process and takes its disk: it comes back as a new, empty member.
	DiskLoss Fault = "empty"
	// PlannedStop begins a planned stop.
	PlannedStop Fault = "leave"
	// LinkCut and OneWayLinkCut cut the link between two members, in both directions or one.
	LinkCut       Fault = "cut"
	OneWayLinkCut Fault = "cut-one-way"
	// PresumedDead makes the other members presume that a running member is dead.
	PresumedDead Fault = "silent"
	// ClockJump moves a member's clock forward by an hour.
	ClockJump Fault = "jump"
	// Resend sends a proposal again that was sent before.
	Resend Fault = "again"
	// TimeAdvance advances the time; without messages, only time changes the state of the members.
	TimeAdvance Fault = "wait"
	// AcceptorStateLoss discards the state of an acceptor; only MutantAcceptor allows this fault.
	AcceptorStateLoss Fault = "forget"
)

// Faults lists the kinds that may be given a number.
func Faults() []Fault {
	return []Fault{DelayedSync, MessageDuplication, MessageLoss, Crash, PowerLoss, DiskLoss, PlannedStop, LinkCut, OneWayLinkCut, PresumedDead, ClockJump, Resend, TimeAdvance}
}

// Mutant names a rule that is broken on purpose, as in the simulator.
type Mutant string

// The mutants that are not handlers of operations; those are in sim/mutant.
const (
	MutantQuorum     Mutant = "quorum"    // one response passes for a majority
	MutantAcceptor   Mutant = "replica"   // acceptors forget what they accepted
	MutantClock      Mutant = "clock"     // leases are measured by a clock that may jump
	MutantReadRepair Mutant = "mend"      // copies are not repaired
	MutantLazySync   Mutant = "soft"      // opening a ring does not sync it
	MutantStop       Mutant = "stop"      // planned stops wait for nothing
	MutantOutcome    Mutant = "cell-fate" // unknown outcomes pass for rejections
)

// Settings say what is explored. Traces hold them.
type Settings struct {
	// Members is how many founders there are, Spares how many more may join.
	Members, Spares int
	// Keys are the kinds of the keys that clients use.
	Keys []KeyKind
	// Clients is how many clients there are, Operations how many operations each may ask for.
	Clients    int
	Operations int `json:"Deeds"`
	// Proposers is how many members, from the first on, take operations.
	Proposers int `json:"Owners"`
	// Waits are the spans by which time may pass.
	Waits  []time.Duration
	Faults map[Fault]int
	// ImmediateSelfDelivery delivers the messages of a member to itself at once.
	ImmediateSelfDelivery bool `json:"Instant"`
	// Ring has members write to the daemon's ring rather than to a plain list of records.
	Ring   bool
	Mutant Mutant `json:"Break"`
}

// Factory returns a maker of clusters with these settings.
func (s Settings) Factory() search.Factory {
	machine := mutant.Handlers(string(s.Mutant), historyRetention)
	return func() search.System { return assemble(s, machine) }
}

// Validate returns what is wrong with settings that were read from a file, nil if nothing is.
func (s Settings) Validate() *failure.Error {
	if s.Members < 1 || s.Members+s.Spares > maxMembers || s.Clients < 1 || s.Clients > maxClients {
		return failure.New(failure.BadSettings, "a cluster has 1 to %d members and 1 to %d clients", maxMembers, maxClients)
	}
	for _, kind := range s.Keys {
		if objectFactories[kind] == nil {
			return failure.New(failure.BadSettings, "there is no kind of key %q", kind)
		}
	}
	return nil
}

// maxMembers and maxClients bound a cluster.
const maxMembers, maxClients = 6, 16

// quorumOverride is the number of responses that stands in for a majority, 0 if none does.
func (s Settings) quorumOverride() int {
	if s.Mutant == MutantQuorum {
		return 1
	}
	return 0
}

// faultLimit is how many faults of a kind are allowed.
func (s Settings) faultLimit(f Fault) int {
	if f == AcceptorStateLoss && s.Mutant == MutantAcceptor {
		return 2
	}
	return s.Faults[f]
}

// majority is the true majority of a membership, whatever stands in for it.
func majority(r quorum.Membership) int { return r.Size()/2 + 1 }
