package cluster

import (
	"slices"

	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/explore/canon"
	"cottonarch.example/cottonarch/storage/ring"
)

// stateFilter omits counters, which no step reads, and functions that are the same for all members.
var stateFilter = canon.NewFieldFilter(
	canon.Skip[proposer.Proposer]("stateMachine", "LocalRecord", "Prepares", "Rounds", "Repaired", "AbandonedTerms", "PatchesSent", "PatchesRejected"),
	canon.Skip[reconfiguration.Reconfigurer]("change"),
	canon.Skip[ring.MemoryFile]("folder"),
)

// Hash returns the hash of the state that later steps, choices and checks may depend on.
func (c *Cluster) Hash() uint64 {
	e := stateFilter.Encoder()
	defer e.Release()
	e.Now = c.now
	e.Put(c.faultsUsed)
	e.Put(c.cutLinks)
	e.Put(c.chosenMemberships)
	e.Put(c.diskCount)
	e.Put(c.objects)
	e.Put(c.clients)
	for _, m := range c.members {
		c.putMember(e, m)
	}
	for _, envelope := range c.messagesInTransit() {
		e.Put(envelope.id)
	}
	e.Put([]bool{c.majorityLost, c.violation != nil})
	return e.Hash()
}

// putMember writes the state of a member. The times in the state of its process are relative to the
// member's own clock.
func (c *Cluster) putMember(e *canon.Encoder, m *member) {
	e.Now = c.now
	e.Put([]bool{m.running, m.stopping, m.presumedDead})
	e.Put(m.generation)
	e.Put(m.diskID)
	e.Put(m.store.state())
	for _, k := range c.keys() {
		e.Put(m.registerAcceptor.Peek(k))
	}
	e.Put(m.membershipAcceptor.State)
	if !m.running {
		return
	}
	e.Now = c.clock(m)
	e.Put(m.proposer)
	e.Put(m.reconfigurer)
	e.Put(m.copyReader)
	e.Put([]uint64{uint64(m.copiedEpoch), m.lastRound, m.copySyncRound})
	for _, envelope := range m.unsyncedResponses {
		e.Put(envelope.id)
	}
	for _, ticket := range slices.Sorted(slices.Values(sortedTickets(m.operations))) {
		e.Put(ticket)
	}
}
