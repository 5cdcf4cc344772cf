// Package cluster runs the step functions of several cores, which the daemons run too,
// under an adversary that chooses the order of messages, faults and the passing of time.
// Each member has an owner, a replica, a roster acceptor and maker, and a ring on a disk
// that loses what was not synced.
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
// lost, or late behind any number of others, needs none: delivery is itself a choice, and
// may never come.
const (
	// LateSync lets a message be taken in whose writes are synced, and whose return is
	// delivered, later, by choices of their own.
	LateSync Fault = "late"
	// Duplicate delivers a message and leaves a copy of it on its way.
	Duplicate Fault = "double"
	// MessageLoss takes a message away.
	MessageLoss Fault = "lost"
	// Crash ends a process; what it wrote stays, also unsynced.
	Crash Fault = "crash"
	// PowerLoss ends a process and lets each unsynced write be kept or lost.
	PowerLoss Fault = "power"
	// DiskLoss ends a process and takes its disk: it comes back as a new, empty member.
	DiskLoss Fault = "empty"
	// PlannedStop is a planned stop.
	PlannedStop Fault = "leave"
	// LinkCut and CutOneWay cut a pair of members.
	LinkCut     Fault = "cut"
	DirectedCut Fault = "cut-one-way"
	// Unheard makes the others hold a live member for dead.
	Unheard Fault = "silent"
	// ClockJump moves a member's clock forward by an hour.
	ClockJump Fault = "jump"
	// Resend sends an order again that was sent before.
	Resend Fault = "again"
	// TimePasses lets time pass; without messages it is the only way on.
	TimePasses Fault = "wait"
	// Amnesia makes a replica forget all, which the break of that name alone may do.
	Amnesia Fault = "forget"
)

// Faults lists the kinds that may be given a number.
func Faults() []Fault {
	return []Fault{LateSync, Duplicate, MessageLoss, Crash, PowerLoss, DiskLoss, PlannedStop, LinkCut, DirectedCut, Unheard, ClockJump, Resend, TimePasses}
}

// Mutant names a rule that is broken on purpose, as the simulator knows them.
type Mutant string

// The breaks that are not handlers of operations; those are in sim/broken.
const (
	MutantQuorum     Mutant = "quorum"
	MutantAcceptor   Mutant = "replica"
	MutantClock      Mutant = "clock"
	MutantReadRepair Mutant = "mend"
	MutantLazySync   Mutant = "soft"
	MutantStop       Mutant = "stop"
	MutantOutcome    Mutant = "cell-fate"
)

// Settings say what is explored.
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
	// Instant has each member answer itself at once.
	Instant bool
	// Ring has members write to the daemon's ring rather than to a plain list of records.
	Ring   bool
	Mutant Mutant `json:"Break"`
}

// Factory makes clusters of these settings.
func (s Settings) Factory() search.Factory {
	machine := mutant.Handlers(string(s.Mutant), historyRetention)
	return func() search.System { return assemble(s, machine) }
}

// Validate finds what is wrong with settings that were read from a file.
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

// maxMembers and clientsMost bound a cluster.
const maxMembers, maxClients = 6, 16

// quorumOverride is the number of returns that stands in for the majority.
func (s Settings) quorumOverride() int {
	if s.Mutant == MutantQuorum {
		return 1
	}
	return 0
}

// faultLimit is the number of faults of a kind.
func (s Settings) faultLimit(f Fault) int {
	if f == Amnesia && s.Mutant == MutantAcceptor {
		return 2
	}
	return s.Faults[f]
}

// true majority of a roster, whatever stands in for it.
func majority(r quorum.Membership) int { return r.Size()/2 + 1 }
