package cluster

import (
	"cottonarch.example/cottonarch/explore/search"
)

// The kinds of choice that are not faults. The kind of a fault's choice equals the Fault.
const (
	requestKind  search.Kind = "ask"     // a client sends an operation to a member
	deliverKind  search.Kind = "deliver" // a message is delivered, its writes are synced and its response is delivered
	syncKind     search.Kind = "sync"    // a member syncs its disk and sends the responses that waited for the sync
	startKind    search.Kind = "restart" // the process of a member starts
	joinKind     search.Kind = "join"    // a member takes the next step toward becoming a counted voter
	announceKind search.Kind = "tell"    // a member announces a newer membership to another member
	stopKind     search.Kind = "stop"    // a planned stop ends the process, unless operations are in flight
	healKind     search.Kind = "heal"    // all links are restored, and no running member is presumed dead
)

// Choices returns the choices that are possible next, in a fixed order.
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

// faultAllowed reports whether another fault of a kind is allowed.
func (c *Cluster) faultAllowed(f Fault) bool { return c.faultsUsed[f] < c.settings.faultLimit(f) }

// proposingMembers returns the members that accept operations of clients.
func (c *Cluster) proposingMembers() []*member {
	var out []*member
	for _, m := range c.members[:min(c.settings.Proposers, len(c.members))] {
		if m.counted() && !m.stopping {
			out = append(out, m)
		}
	}
	return out
}

// clientChoices returns the operations that clients may send. Clients that have sent no operation
// are interchangeable, and so are members: only the first of several equivalent choices is returned.
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

// operationChoices returns the operations that a client may send to a member.
func (c *Cluster) operationChoices(requester *client, m *member) (out []search.Choice) {
	for i, obj := range c.objects {
		for _, operation := range obj.operations(requester) {
			out = append(out, search.Choice{Kind: requestKind, Client: requester.number, Member: m.number, Key: i, Operation: operation})
		}
	}
	return out
}

// messageChoices returns the choices that concern messages in transit.
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

// memberChoices returns the choices that concern only one member.
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
	if m.stopping {
		add(stopKind)
	}
	for _, f := range []Fault{Crash, PlannedStop, PresumedDead, ClockJump, AcceptorStateLoss} {
		if c.faultAllowed(f) && !(f == PlannedStop && m.stopping) && !(f == PresumedDead && m.presumedDead) {
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

// independentWrites is the number of unsynced writes that a power loss keeps or loses individually.
// All later writes are kept or lost together.
const independentWrites = 3

// powerLossChoices returns one power loss for each set of unsynced writes that may survive.
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

// canLoseDisk reports whether a member's disk may be lost. The counted disks that remain must form a
// majority in every membership that is or may be chosen.
func (c *Cluster) canLoseDisk(m *member) bool {
	memberships := []countedVoters{countedVotersOf(c.newestMembership())}
	for _, other := range c.members {
		memberships = append(memberships, countedVotersOf(other.membershipAcceptor.Current))
		if next := other.membershipAcceptor.Next; next != nil {
			memberships = append(memberships, countedVotersOf(*next))
		}
	}
	for _, voters := range memberships {
		remaining := 0
		for _, d := range voters.disks {
			if holder := c.memberWithDisk(d); holder != nil && holder != m {
				remaining++
			}
		}
		if remaining < voters.majority {
			return false
		}
	}
	return true
}

// membershipChoices returns the join steps and the announcements of newer memberships.
func (c *Cluster) membershipChoices() (out []search.Choice) {
	for _, m := range c.members {
		if !m.running {
			continue
		}
		if v, in := m.membershipAcceptor.Current.Find(m.diskID); (!in || !v.Counted) && m.membershipAcceptor.Current.Epoch > 0 && !m.stopping && m.reconfigurer.Idle() {
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

// linkChoices returns the links that may be cut, and the healing of all links.
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
	if c.communicationImpaired() {
		out = append(out, search.Choice{Kind: healKind})
	}
	return out
}

// communicationImpaired reports whether a link is cut or a member is wrongly presumed dead.
func (c *Cluster) communicationImpaired() bool {
	for _, m := range c.members {
		if m.presumedDead {
			return true
		}
	}
	return len(c.cutLinks) > 0
}
