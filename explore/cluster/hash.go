package cluster

import (
	"slices"

	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/explore/canon"
	"cottonarch.example/cottonarch/storage/ring"
)

// stateFilter leaves out counters, which no step reads, and functions that are the same for
// all members.
var stateFilter = canon.NewFieldFilter(
	canon.Skip[proposer.Proposer]("stateMachine", "LocalRecord", "Prepares", "Rounds", "Repaired", "AbandonedTerms", "PatchesSent", "PatchesRejected"),
	canon.Skip[reconfiguration.Reconfigurer]("change"),
	canon.Skip[ring.MemoryFile]("folder"),
)

// Hash identifies the state: all that a later step, choice or check may depend on.
func (c *Cluster) Hash() uint64 {
	e := stateFilter.Encoder()
	defer e.Release()
	e.Now = c.now
	e.Put(c.faultsUsed)
	e.Put(c.cuts)
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

// putMember writes one member; times count from its own clock.
func (c *Cluster) putMember(e *canon.Encoder, m *member) {
	e.Now = c.now
	e.Put([]bool{m.running, m.leaving, m.unheard})
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
	e.Put([]uint64{uint64(m.copiedAt), m.lastRound, m.awaitedRound})
	for _, envelope := range m.unsyncedResponses {
		e.Put(envelope.id)
	}
	for _, tag := range slices.Sorted(slices.Values(sortedTags(m.operations))) {
		e.Put(tag)
	}
}
