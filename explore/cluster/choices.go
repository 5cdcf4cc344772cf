package cluster

import (
	"cottonarch.example/cottonarch/explore/search"
)

// The kinds of choice besides the faults, which are kinds of the same name.
const (
	requestKind  search.Kind = "ask"     // a client sends an operation to a member
	deliverKind  search.Kind = "deliver" // a message arrives, what it wrote is synced and its response arrives
	syncKind     search.Kind = "sync"    // a member syncs its disk and sends the responses that waited
	startKind    search.Kind = "restart" // a member that is down starts
	joinKind     search.Kind = "join"    // a member takes the next step towards being counted
	announceKind search.Kind = "tell"    // a member learns of another's newer membership
	stopKind     search.Kind = "stop"    // a member that leaves, with nothing in flight, ends
	healKind     search.Kind = "heal"    // all cuts end, and everybody is heard again
)

// Choices lists what may happen next, in a fixed order.
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
	if c.faultAllowed(TimeAdvance) {
		for _, span := range c.settings.Waits {
			add(search.Choice{Kind: search.Kind(TimeAdvance), Span: span})
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

// clientChoices lists the operations that clients may ask for. Clients that have not asked yet
// are interchangeable, and so are members: of equivalent choices only the first is listed.
func (c *Cluster) clientChoices() (out []search.Choice) {
	for i, cl := range c.clients {
		if i > 0 && c.clients[i-1].sent == 0 {
			break
		}
		if cl.pending != nil {
			continue
		}
		for _, m := range c.proposingMembers() {
			if m.number > cl.number {
				break
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

// operationChoices lists what one client may ask one member for.
func (c *Cluster) operationChoices(requester *client, m *member) (out []search.Choice) {
	for i, obj := range c.objects {
		for _, operation := range obj.operations(requester) {
			out = append(out, search.Choice{Kind: requestKind, Client: requester.number, Member: m.number, Key: i, Operation: operation})
		}
	}
	return out
}

// messageChoices lists what may happen to the messages in transit.
func (c *Cluster) messageChoices() (out []search.Choice) {
	for _, e := range c.messagesInTransit() {
		if !c.deliverable(e) {
			continue
		}
		choice := search.Choice{Kind: deliverKind, Member: e.from, Other: e.to, Message: e.id}
		out = append(out, choice)
		for _, f := range []Fault{DelayedSync, MessageDuplication, MessageLoss} {
			if f == DelayedSync && e.isResponse() || !c.faultAllowed(f) {
				continue
			}
			choice.Kind = search.Kind(f)
			out = append(out, choice)
		}
	}
	return out
}

// memberChoices lists what may happen to one member.
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
	for _, f := range []Fault{Crash, PlannedStop, PresumedDead, ClockJump, AcceptorStateLoss} {
		if c.faultAllowed(f) && !(f == PlannedStop && m.leaving) && !(f == PresumedDead && m.unheard) {
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

// powerLossChoices lists a loss of power for each set of unsynced writes that it may leave.
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

// canLoseDisk tells whether a member's disk may be lost: of the disks that count in a membership
// that is chosen, or may be, a majority is never lost.
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

// membershipChoices lists the steps of joining and the announcements of newer memberships.
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

// linkChoices lists the links that may be cut, and the end of all cuts.
func (c *Cluster) linkChoices() (out []search.Choice) {
	for i := 1; i <= len(c.members); i++ {
		for j := 1; j <= len(c.members); j++ {
			if i == j || c.isCut(i, j) {
				continue
			}
			if i < j && c.faultAllowed(LinkCut) {
				out = append(out, search.Choice{Kind: search.Kind(LinkCut), Member: i, Other: j})
			}
			if c.faultAllowed(OneWayLinkCut) {
				out = append(out, search.Choice{Kind: search.Kind(OneWayLinkCut), Member: i, Other: j})
			}
		}
	}
	if c.disturbed() {
		out = append(out, search.Choice{Kind: healKind})
	}
	return out
}

// disturbed tells whether a link is cut or a member is not heard.
func (c *Cluster) disturbed() bool {
	for _, m := range c.members {
		if m.unheard {
			return true
		}
	}
	return len(c.cuts) > 0
}
