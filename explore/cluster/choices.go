package cluster

import (
	"fmt"
	"time"

	"cottonarch.example/cottonarch/explore/search"
)

// The kinds of choice beside the faults, which are kinds of the same name.
const (
	requestKind  search.Kind = "ask"     // a client sends an operation to a member
	deliverKind  search.Kind = "deliver" // a message arrives; what it wrote is synced and its return arrives
	syncKind     search.Kind = "sync"    // a member's disk syncs, its returns leave
	startKind    search.Kind = "restart" // a member that is down starts
	joinKind     search.Kind = "join"    // a member takes the next step towards being counted
	announceKind search.Kind = "tell"    // a member hears of another's newer roster
	stopKind     search.Kind = "stop"    // a member that leaves, and has nothing in hand, ends
	healKind     search.Kind = "heal"    // all cuts end, and who was silent is heard
)

// Choices lists what may happen next.
func (c *Cluster) Choices() []search.Choice {
	var out []search.Choice
	add := func(list ...search.Choice) { out = append(out, list...) }
	add(c.clientChoices()...)
	add(c.messageChoices()...)
	for _, m := range c.members {
		add(c.memberChoices(m)...)
	}
	add(c.membershipChoices()...)
	add(c.linkChoices()...)
	if c.faultAllowed(TimePasses) {
		for _, span := range c.settings.Waits {
			add(search.Choice{Kind: search.Kind(TimePasses), Span: span})
		}
	}
	for i, choice := range out {
		out[i].Fault = c.settings.faultLimit(Fault(choice.Kind)) > 0
	}
	return out
}

// faultAllowed tells whether one more fault of a kind is allowed.
func (c *Cluster) faultAllowed(f Fault) bool { return c.faultsUsed[f] < c.settings.faultLimit(f) }

// proposingMembers lists the members that take clients' operations.
func (c *Cluster) proposingMembers() []*member {
	var out []*member
	for _, m := range c.members[:min(c.settings.Proposers, len(c.members))] {
		if m.counted() && !m.leaving {
			out = append(out, m)
		}
	}
	return out
}

func (c *Cluster) clientChoices() (out []search.Choice) {
	for i, cl := range c.clients {
		if i > 0 && c.clients[i-1].sent == 0 {
			break // clients are alike until they have asked
		}
		if cl.pending != nil {
			continue
		}
		for _, m := range c.proposingMembers() {
			if m.number > cl.number {
				break // so are members
			}
			if cl.sent < c.settings.Operations {
				out = append(out, c.operationChoices(cl, m)...)
			}
			if cl.lastProposal != nil && c.faultAllowed(Resend) {
				out = append(out, search.Choice{Kind: search.Kind(Resend), Client: cl.number, Member: m.number})
			}
		}
	}
	return out
}

func (c *Cluster) operationChoices(requester *client, m *member) (out []search.Choice) {
	for i, obj := range c.objects {
		for _, operation := range obj.operations(requester) {
			out = append(out, search.Choice{Kind: requestKind, Client: requester.number, Member: m.number, Key: i, Operation: operation})
		}
	}
	return out
}

func (c *Cluster) messageChoices() (out []search.Choice) {
	for _, e := range c.messagesInTransit() {
		if !c.deliverable(e) {
			continue
		}
		choice := search.Choice{Kind: deliverKind, Member: e.from, Other: e.to, Message: e.id}
		out = append(out, choice)
		for _, f := range []Fault{LateSync, Duplicate, MessageLoss} {
			if f == LateSync && e.isResponse() || !c.faultAllowed(f) {
				continue
			}
			choice.Kind = search.Kind(f)
			out = append(out, choice)
		}
	}
	return out
}

func (c *Cluster) memberChoices(m *member) (out []search.Choice) {
	add := func(kind search.Kind) { out = append(out, search.Choice{Kind: kind, Member: m.number}) }
	if !m.running {
		add(startKind)
		if c.faultAllowed(PowerLoss) && m.store.unsynced() > 0 {
			out = append(out, powerLossChoices(m)...)
		}
		return out
	}
	if len(m.unsyncedResponses) > 0 || m.store.unsynced() > 0 && c.faultAllowed(PowerLoss) {
		add(syncKind)
	}
	if m.leaving {
		add(stopKind)
	}
	for _, f := range []Fault{Crash, PlannedStop, Unheard, ClockJump, Amnesia} {
		if c.faultAllowed(f) && !(f == PlannedStop && m.leaving) && !(f == Unheard && m.unheard) {
			add(search.Kind(f))
		}
	}
	if c.faultAllowed(DiskLoss) && c.canLoseDisk(m) {
		add(search.Kind(DiskLoss))
	}
	if c.faultAllowed(PowerLoss) && m.store.unsynced() > 0 {
		out = append(out, powerLossChoices(m)...)
	}
	return out
}

// independentWrites is how many unsynced writes are each kept or lost on their own; those after
// them are kept or lost together.
const independentWrites = 3

// powerLossChoices lists each choice of the unsynced writes that a loss of power leaves.
func powerLossChoices(m *member) (out []search.Choice) {
	n := m.store.unsynced()
	low := min(n, independentWrites)
	for mask := range uint64(1) << low {
		out = append(out, search.Choice{Kind: search.Kind(PowerLoss), Member: m.number, Mask: mask})
		if n > low {
			out = append(out, search.Choice{Kind: search.Kind(PowerLoss), Member: m.number, Mask: mask | ^uint64(0)<<low})
		}
	}
	return out
}

// canLoseDisk tells whether a member's disk may be lost: more than a minority of the disks that
// count in any roster that is chosen, or may be, never is.
func (c *Cluster) canLoseDisk(m *member) bool {
	memberships := []countedVoters{countedVotersOf(c.newestMembership())}
	for _, other := range c.members {
		memberships = append(memberships, countedVotersOf(other.membershipAcceptor.Current))
		if next := other.membershipAcceptor.Next; next != nil {
			memberships = append(memberships, countedVotersOf(*next))
		}
	}
	for _, r := range memberships {
		remaining := 0
		for _, d := range r.disks {
			if holder := c.holderOf(d); holder != nil && holder != m {
				remaining++
			}
		}
		if remaining < r.majority {
			return false
		}
	}
	return true
}

func (c *Cluster) membershipChoices() (out []search.Choice) {
	for _, m := range c.members {
		if !m.running {
			continue
		}
		if v, in := m.membershipAcceptor.Current.Find(m.diskID); (!in || !v.Counted) && m.membershipAcceptor.Current.Epoch > 0 && !m.leaving && m.reconfigurer.Idle() {
			out = append(out, search.Choice{Kind: joinKind, Member: m.number})
		}
		for _, other := range c.members {
			if other.running && m.membershipAcceptor.Current.Epoch > other.membershipAcceptor.Current.Epoch && !c.isCut(m.number, other.number) {
				out = append(out, search.Choice{Kind: announceKind, Member: m.number, Other: other.number})
			}
		}
	}
	return out
}

func (c *Cluster) linkChoices() (out []search.Choice) {
	for i := 1; i <= len(c.members); i++ {
		for j := 1; j <= len(c.members); j++ {
			if i == j || c.isCut(i, j) {
				continue
			}
			if i < j && c.faultAllowed(LinkCut) {
				out = append(out, search.Choice{Kind: search.Kind(LinkCut), Member: i, Other: j})
			}
			if c.faultAllowed(DirectedCut) {
				out = append(out, search.Choice{Kind: search.Kind(DirectedCut), Member: i, Other: j})
			}
		}
	}
	if c.disturbed() {
		out = append(out, search.Choice{Kind: healKind})
	}
	return out
}

// disturbed tells whether anything is cut or silent.
func (c *Cluster) disturbed() bool {
	for _, m := range c.members {
		if m.unheard {
			return true
		}
	}
	return len(c.cuts) > 0
}

// Describe tells a choice in words, before it is applied.
func (c *Cluster) Describe(choice search.Choice) string {
	if describeChoice, ok := descriptions[choice.Kind]; ok {
		return describeChoice(c, choice)
	}
	return string(choice.Kind)
}

func describeTransit(c *Cluster, choice search.Choice) string {
	e := c.inTransit[choice.Message]
	return fmt.Sprintf("m%d -> m%d: %s", e.from, e.to, describeMessage(e.msg))
}

// descriptions are the words for each kind of choice.
var descriptions = map[search.Kind]func(*Cluster, search.Choice) string{
	requestKind: func(c *Cluster, choice search.Choice) string {
		return fmt.Sprintf("client %d asks m%d: %s of %s", choice.Client, choice.Member, choice.Operation, c.objects[choice.Key].key())
	},
	search.Kind(Resend): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("client %d sends its last order again, to m%d", choice.Client, choice.Member)
	},
	deliverKind: func(c *Cluster, choice search.Choice) string { return "deliver " + describeTransit(c, choice) },
	search.Kind(LateSync): func(c *Cluster, choice search.Choice) string {
		return "deliver, not synced and not answered yet, " + describeTransit(c, choice)
	},
	search.Kind(Duplicate): func(c *Cluster, choice search.Choice) string {
		return "deliver, with a copy still on its way, " + describeTransit(c, choice)
	},
	search.Kind(MessageLoss): func(c *Cluster, choice search.Choice) string { return "lose " + describeTransit(c, choice) },
	syncKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d syncs its disk, its returns leave", choice.Member)
	},
	startKind: func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d starts", choice.Member) },
	joinKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d takes the next step towards being counted", choice.Member)
	},
	announceKind: func(c *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d tells m%d of roster %d", choice.Member, choice.Other, c.members[choice.Member-1].membershipAcceptor.Current.Epoch)
	},
	stopKind: func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d has left and ends", choice.Member)
	},
	search.Kind(Crash):     func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d is killed", choice.Member) },
	search.Kind(PowerLoss): func(c *Cluster, choice search.Choice) string { return c.describePowerLoss(choice) },
	search.Kind(DiskLoss):  func(_ *Cluster, choice search.Choice) string { return fmt.Sprintf("m%d loses its disk", choice.Member) },
	search.Kind(PlannedStop): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d begins a planned stop", choice.Member)
	},
	search.Kind(Unheard): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("the others hear m%d no more", choice.Member)
	},
	search.Kind(ClockJump): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d's clock jumps forward by an hour", choice.Member)
	},
	search.Kind(Amnesia): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("m%d's replica forgets all", choice.Member)
	},
	search.Kind(LinkCut): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("cut m%d from m%d", choice.Member, choice.Other)
	},
	search.Kind(DirectedCut): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("cut the way m%d -> m%d", choice.Member, choice.Other)
	},
	search.Kind(TimePasses): func(_ *Cluster, choice search.Choice) string {
		return fmt.Sprintf("%v pass", choice.Span.Round(time.Millisecond))
	},
}

func (c *Cluster) describePowerLoss(choice search.Choice) string {
	n := c.members[choice.Member-1].store.unsynced()
	out := fmt.Sprintf("m%d loses power; of %d unsynced writes it keeps", choice.Member, n)
	survivors := ""
	for i := range n {
		if keepsWrite(choice.Mask, i) {
			survivors += fmt.Sprintf(" %d", i+1)
		}
	}
	if survivors == "" {
		survivors = " none"
	}
	return out + survivors
}

func keepsWrite(mask uint64, write int) bool { return mask>>min(write, 63)&1 == 1 }
