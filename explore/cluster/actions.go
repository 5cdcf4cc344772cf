package cluster

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
)

// Apply applies one of the choices that Choices returned.
func (c *Cluster) Apply(choice search.Choice) {
	if f := Fault(choice.Kind); c.settings.faultLimit(f) > 0 {
		c.faultsUsed[f]++
	}
	actions[choice.Kind](c, choice)
	c.deliverSelfMessages()
}

// memberFor returns the member that a choice concerns.
func (c *Cluster) memberFor(choice search.Choice) *member { return c.members[choice.Member-1] }

// takeMessage removes the message of a choice from transit and returns the message.
func (c *Cluster) takeMessage(choice search.Choice) envelope {
	e := c.inTransit[choice.Message]
	delete(c.inTransit, choice.Message)
	return e
}

// clockJumpSpan is the duration by which ClockJump advances a clock.
const clockJumpSpan = time.Hour

// actions holds the function that applies each kind of choice.
var actions map[search.Kind]func(*Cluster, search.Choice)

func init() {
	actions = map[search.Kind]func(*Cluster, search.Choice){
		requestKind: func(c *Cluster, choice search.Choice) { c.issueOperation(c.memberFor(choice), choice) },
		search.Kind(Resend): func(c *Cluster, choice search.Choice) {
			c.resendProposal(c.memberFor(choice), c.clients[choice.Client-1])
		},
		deliverKind:                     func(c *Cluster, choice search.Choice) { c.deliverAndSync(c.takeMessage(choice)) },
		search.Kind(DelayedSync):        func(c *Cluster, choice search.Choice) { c.deliverUnsynced(c.takeMessage(choice)) },
		search.Kind(MessageDuplication): func(c *Cluster, choice search.Choice) { c.deliverAndSync(c.inTransit[choice.Message]) },
		search.Kind(MessageLoss):        func(c *Cluster, choice search.Choice) { c.takeMessage(choice) },
		syncKind:                        func(c *Cluster, choice search.Choice) { c.sync(c.memberFor(choice)) },
		startKind:                       func(c *Cluster, choice search.Choice) { c.start(c.memberFor(choice)) },
		joinKind:                        func(c *Cluster, choice search.Choice) { c.takeJoinStep(c.memberFor(choice)) },
		announceKind: func(c *Cluster, choice search.Choice) {
			c.adoptMembership(c.members[choice.Other-1], c.memberFor(choice).membershipAcceptor.Current)
		},
		stopKind:                       func(c *Cluster, choice search.Choice) { c.finishStop(c.memberFor(choice)) },
		healKind:                       func(c *Cluster, _ search.Choice) { c.healLinks() },
		search.Kind(Crash):             func(c *Cluster, choice search.Choice) { c.crash(c.memberFor(choice)) },
		search.Kind(PowerLoss):         func(c *Cluster, choice search.Choice) { c.losePower(c.memberFor(choice), choice.Mask) },
		search.Kind(DiskLoss):          func(c *Cluster, choice search.Choice) { c.loseDisk(c.memberFor(choice)) },
		search.Kind(PlannedStop):       func(c *Cluster, choice search.Choice) { c.beginStop(c.memberFor(choice)) },
		search.Kind(PresumedDead):      func(c *Cluster, choice search.Choice) { c.memberFor(choice).presumedDead = true },
		search.Kind(ClockJump):         func(c *Cluster, choice search.Choice) { c.memberFor(choice).clockOffset += clockJumpSpan },
		search.Kind(AcceptorStateLoss): func(c *Cluster, choice search.Choice) { c.resetAcceptor(c.memberFor(choice)) },
		search.Kind(LinkCut):           func(c *Cluster, choice search.Choice) { c.cutLink(choice, true) },
		search.Kind(OneWayLinkCut):     func(c *Cluster, choice search.Choice) { c.cutLink(choice, false) },
		search.Kind(TimeAdvance):       func(c *Cluster, choice search.Choice) { c.advanceTime(choice.Span) },
	}
}

// cutLink cuts the link between two members in one or both directions.
func (c *Cluster) cutLink(choice search.Choice, both bool) {
	c.cutLinks[[2]int{choice.Member, choice.Other}] = true
	if both {
		c.cutLinks[[2]int{choice.Other, choice.Member}] = true
	}
}

// healLinks restores all links. No member is presumed dead afterwards.
func (c *Cluster) healLinks() {
	clear(c.cutLinks)
	for _, m := range c.members {
		m.presumedDead = false
	}
}

// crash ends a member's process. Unsynced writes survive in the page cache.
func (c *Cluster) crash(m *member) {
	c.kill(m)
	c.reloadDisk(m)
}

// losePower ends a member's process, if running, and drops the unsynced writes whose bit in mask is
// not set.
func (c *Cluster) losePower(m *member, mask uint64) {
	if m.running {
		c.kill(m)
	}
	if err := m.store.dropUnsynced(mask); err != nil {
		c.recordViolation(RuleDiskError, "m%d cannot recover its own disk after a power loss: %v", m.number, err)
		return
	}
	c.reloadDisk(m)
}

// loseDisk ends a member's process and replaces its disk with an empty disk.
func (c *Cluster) loseDisk(m *member) {
	c.majorityLost = c.majorityLost || c.overlapsOtherFault(m)
	c.kill(m)
	m.store = c.newDisk()
	c.reloadDisk(m)
}

// overlapsOtherFault reports whether another member is unavailable while member m loses its disk, or
// a reconfiguration is in progress that may have been planned while a member was unavailable.
// Together these may cost the cluster a majority, so that the cluster need not become available
// again.
func (c *Cluster) overlapsOtherFault(m *member) bool {
	for _, other := range c.members {
		unavailable := !other.running || other.presumedDead || other.stopping
		if other != m && other.generation > 0 && (unavailable || !other.reconfigurer.Idle()) {
			return true
		}
	}
	return false
}

// resetAcceptor discards the state of a member's register acceptor.
func (c *Cluster) resetAcceptor(m *member) { m.registerAcceptor = acceptor.New(m.diskID) }

// beginStop begins a planned stop: the proposer releases the keys without operations in flight.
func (c *Cluster) beginStop(m *member) {
	m.stopping = true
	_, effects := m.proposer.Release()
	c.applyEffects(m, effects)
}

// finishStop ends the process of a stopping member, unless operations are in flight. With
// MutantStop, the process ends in any case.
func (c *Cluster) finishStop(m *member) {
	done, effects := m.proposer.Release()
	c.applyEffects(m, effects)
	if (!done || len(m.operations) > 0) && c.settings.Mutant != MutantStop {
		return
	}
	if len(m.operations) > 0 {
		c.recordViolation(RuleDroppedOperations, "m%d stopped with %d operations in flight", m.number, len(m.operations))
	}
	c.crash(m)
}

// countedVoters holds the disks of the counted voters of a membership, and the number of disks that
// form a majority.
type countedVoters struct {
	disks    []ident.Disk
	majority int
}

func countedVotersOf(membership quorum.Membership) countedVoters {
	out := countedVoters{majority: majority(membership)}
	for _, v := range membership.Voters {
		if v.Counted {
			out.disks = append(out.disks, v.Disk)
		}
	}
	if membership.Epoch == 0 {
		out.majority = 0
	}
	return out
}
