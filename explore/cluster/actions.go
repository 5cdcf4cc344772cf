package cluster

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/explore/search"
)

// Apply makes one of the choices.
func (c *Cluster) Apply(choice search.Choice) {
	if f := Fault(choice.Kind); c.settings.faultLimit(f) > 0 {
		c.faultsUsed[f]++
	}
	actions[choice.Kind](c, choice)
	c.deliverToSelf()
}

// memberOf is the member that a choice names.
func (c *Cluster) memberOf(choice search.Choice) *member { return c.members[choice.Member-1] }

// takeMessage takes a message out of transit.
func (c *Cluster) takeMessage(choice search.Choice) envelope {
	e := c.inTransit[choice.Message]
	delete(c.inTransit, choice.Message)
	return e
}

// clockJumpSpan is how far a clock jumps.
const clockJumpSpan = time.Hour

// actions are what each kind of choice does.
var actions map[search.Kind]func(*Cluster, search.Choice)

func init() {
	actions = map[search.Kind]func(*Cluster, search.Choice){
		requestKind:                     func(c *Cluster, choice search.Choice) { c.issue(c.memberOf(choice), choice) },
		search.Kind(Resend):             func(c *Cluster, choice search.Choice) { c.resend(c.memberOf(choice), c.clients[choice.Client-1]) },
		deliverKind:                     func(c *Cluster, choice search.Choice) { c.exchange(c.takeMessage(choice)) },
		search.Kind(DelayedSync):        func(c *Cluster, choice search.Choice) { c.deliverUnsynced(c.takeMessage(choice)) },
		search.Kind(MessageDuplication): func(c *Cluster, choice search.Choice) { c.exchange(c.inTransit[choice.Message]) },
		search.Kind(MessageLoss):        func(c *Cluster, choice search.Choice) { c.takeMessage(choice) },
		syncKind:                        func(c *Cluster, choice search.Choice) { c.sync(c.memberOf(choice)) },
		startKind:                       func(c *Cluster, choice search.Choice) { c.start(c.memberOf(choice)) },
		joinKind:                        func(c *Cluster, choice search.Choice) { c.takeJoinStep(c.memberOf(choice)) },
		announceKind: func(c *Cluster, choice search.Choice) {
			c.adoptMembership(c.members[choice.Other-1], c.memberOf(choice).membershipAcceptor.Current)
		},
		stopKind:                       func(c *Cluster, choice search.Choice) { c.finishStop(c.memberOf(choice)) },
		healKind:                       func(c *Cluster, _ search.Choice) { c.healLinks() },
		search.Kind(Crash):             func(c *Cluster, choice search.Choice) { c.crash(c.memberOf(choice)) },
		search.Kind(PowerLoss):         func(c *Cluster, choice search.Choice) { c.losePower(c.memberOf(choice), choice.Mask) },
		search.Kind(DiskLoss):          func(c *Cluster, choice search.Choice) { c.loseDisk(c.memberOf(choice)) },
		search.Kind(PlannedStop):       func(c *Cluster, choice search.Choice) { c.beginStop(c.memberOf(choice)) },
		search.Kind(PresumedDead):      func(c *Cluster, choice search.Choice) { c.memberOf(choice).unheard = true },
		search.Kind(ClockJump):         func(c *Cluster, choice search.Choice) { c.memberOf(choice).clockOffset += clockJumpSpan },
		search.Kind(AcceptorStateLoss): func(c *Cluster, choice search.Choice) { c.forgetAcceptor(c.memberOf(choice)) },
		search.Kind(LinkCut):           func(c *Cluster, choice search.Choice) { c.cutLink(choice, true) },
		search.Kind(OneWayLinkCut):     func(c *Cluster, choice search.Choice) { c.cutLink(choice, false) },
		search.Kind(TimeAdvance):       func(c *Cluster, choice search.Choice) { c.passTime(choice.Span) },
	}
}

// cutLink cuts the link between two members in one direction or both.
func (c *Cluster) cutLink(choice search.Choice, both bool) {
	c.cuts[[2]int{choice.Member, choice.Other}] = true
	if both {
		c.cuts[[2]int{choice.Other, choice.Member}] = true
	}
}

// healLinks ends all cuts, and has everybody heard again.
func (c *Cluster) healLinks() {
	clear(c.cuts)
	for _, m := range c.members {
		m.unheard = false
	}
}

// crash ends the process; what it wrote stays in the page cache.
func (c *Cluster) crash(m *member) {
	c.kill(m)
	c.reload(m)
}

// losePower ends the process, if one runs, and takes those unsynced writes whose bit is not set.
func (c *Cluster) losePower(m *member, mask uint64) {
	if m.running {
		c.kill(m)
	}
	if err := m.store.lose(mask); err != nil {
		c.violate(RuleDiskError, "m%d can't read its own disk: %v", m.number, err)
		return
	}
	c.reload(m)
}

// loseDisk takes the disk away: the member comes back as a new one.
func (c *Cluster) loseDisk(m *member) {
	c.majorityLost = c.majorityLost || c.overlapsLoss(m)
	c.kill(m)
	m.store = c.newDisk()
	c.reload(m)
}

// overlapsLoss tells whether another member is away while this one loses its disk, or a
// reconfiguration is in progress that may have been planned when one was: together that may be
// more than a minority, and the cluster need not be able to serve again.
func (c *Cluster) overlapsLoss(m *member) bool {
	for _, other := range c.members {
		away := !other.running || other.unheard || other.leaving
		if other != m && other.generation > 0 && (away || !other.reconfigurer.Idle()) {
			return true
		}
	}
	return false
}

// forgetAcceptor makes the register acceptor forget all that it accepted.
func (c *Cluster) forgetAcceptor(m *member) { m.registerAcceptor = acceptor.New(m.diskID) }

// beginStop begins a planned stop: keys without operations in flight are released.
func (c *Cluster) beginStop(m *member) {
	m.leaving = true
	_, effects := m.proposer.Release()
	c.applyEffects(m, effects)
}

// finishStop ends a member that leaves, once it has no operations in flight.
func (c *Cluster) finishStop(m *member) {
	done, effects := m.proposer.Release()
	c.applyEffects(m, effects)
	if (!done || len(m.operations) > 0) && c.settings.Mutant != MutantStop {
		return
	}
	if len(m.operations) > 0 {
		c.violate(RuleDroppedOperations, "m%d stopped with %d operations in flight", m.number, len(m.operations))
	}
	c.crash(m)
}

// countedVoters are the disks that count in a membership, and how many of them must be left.
type countedVoters struct {
	disks    []ident.Disk
	majority int
}

func countedVotersOf(r quorum.Membership) countedVoters {
	out := countedVoters{majority: majority(r)}
	for _, v := range r.Voters {
		if v.Counted {
			out.disks = append(out.disks, v.Disk)
		}
	}
	if r.Epoch == 0 {
		out.majority = 0
	}
	return out
}
