// Package cluster runs the step functions of several cores, which the daemons run too,
// under an adversary that chooses the order of messages, faults and the passing of time.
// Each member has an owner, a replica, a roster acceptor and maker, and a ring on a disk
// that loses what was not synced.
package cluster

import (
	"time"

	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/sim/broken"
)

// Fault is a kind of fault that the adversary may choose.
type Fault string

// The kinds of fault. Each is bounded by its number in Settings.Faults. A message that is
// lost, or late behind any number of others, needs none: delivery is itself a choice, and
// may never come.
const (
	// Late lets a message be taken in whose writes are synced, and whose return is
	// delivered, later, by choices of their own.
	Late Fault = "late"
	// Double delivers a message and leaves a copy of it on its way.
	Double Fault = "double"
	// Lost takes a message away.
	Lost Fault = "lost"
	// Crash ends a process; what it wrote stays, also unsynced.
	Crash Fault = "crash"
	// Power ends a process and lets each unsynced write be kept or lost.
	Power Fault = "power"
	// Empty ends a process and takes its disk: it comes back as a new, empty member.
	Empty Fault = "empty"
	// Leave is a planned stop.
	Leave Fault = "leave"
	// Cut and CutOneWay cut a pair of members.
	Cut       Fault = "cut"
	CutOneWay Fault = "cut-one-way"
	// Silent makes the others hold a live member for dead.
	Silent Fault = "silent"
	// Jump moves a member's clock forward by an hour.
	Jump Fault = "jump"
	// Again sends an order again that was sent before.
	Again Fault = "again"
	// Wait lets time pass; without messages it is the only way on.
	Wait Fault = "wait"
	// Forget makes a replica forget all, which the break of that name alone may do.
	Forget Fault = "forget"
)

// Faults lists the kinds that may be given a number.
func Faults() []Fault {
	return []Fault{Late, Double, Lost, Crash, Power, Empty, Leave, Cut, CutOneWay, Silent, Jump, Again, Wait}
}

// Break names a rule that is broken on purpose, as the simulator knows them.
type Break string

// The breaks that are not handlers of operations; those are in sim/broken.
const (
	BreakQuorum  Break = "quorum"
	BreakReplica Break = "replica"
	BreakClock   Break = "clock"
	BreakMend    Break = "mend"
	BreakSoft    Break = "soft"
	BreakStop    Break = "stop"
	BreakFate    Break = "cell-fate"
)

// Settings say what is explored.
type Settings struct {
	// Members is how many founders there are, Spares how many more may join.
	Members, Spares int
	// Keys are the kinds of the keys that clients use.
	Keys []KeyKind
	// Clients is how many clients there are, Operations how many operations each may ask for.
	Clients int
	Deeds   int `json:"Deeds"`
	// Owners is how many members, from the first on, take operations.
	Owners int `json:"Owners"`
	// Waits are the spans by which time may pass.
	Waits  []time.Duration
	Faults map[Fault]int
	// Instant has each member answer itself at once.
	Instant bool
	// Ring has members write to the daemon's ring rather than to a plain list of records.
	Ring  bool
	Break Break `json:"Break"`
}

// Factory makes clusters of these settings.
func (s Settings) Factory() search.Factory {
	machine := broken.Book(string(s.Break), history)
	return func() search.System { return assemble(s, machine) }
}

// Check finds what is wrong with settings that were read from a file.
func (s Settings) Check() *failure.Error {
	if s.Members < 1 || s.Members+s.Spares > membersMost || s.Clients < 1 || s.Clients > clientsMost {
		return failure.New(failure.BadSettings, "a cluster has 1 to %d members and 1 to %d clients", membersMost, clientsMost)
	}
	for _, kind := range s.Keys {
		if makers[kind] == nil {
			return failure.New(failure.BadSettings, "there is no kind of key %q", kind)
		}
	}
	return nil
}

// membersMost and clientsMost bound a cluster.
const membersMost, clientsMost = 6, 16

// need is the number of returns that stands in for the majority.
func (s Settings) need() int {
	if s.Break == BreakQuorum {
		return 1
	}
	return 0
}

// allowed is the number of faults of a kind.
func (s Settings) allowed(f Fault) int {
	if f == Forget && s.Break == BreakReplica {
		return 2
	}
	return s.Faults[f]
}

// true majority of a roster, whatever stands in for it.
func majority(r quorum.Membership) int { return r.Size()/2 + 1 }
