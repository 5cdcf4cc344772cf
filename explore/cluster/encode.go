package cluster

import (
	"slices"

	"cottonarch.example/cottonarch/explore/canon"
	"cottonarch.example/cottonarch/kernel/ident"
)

// plan leaves out the counters of an owner, which no step reads, and functions that are the
// same for all.
var plan = canon.NewPlan(map[string][]string{
	"proposer.Proposer":            {"machine", "Local", "Prepares", "Rounds", "Repaired", "AbandonedTerms", "PatchesSent", "PatchesRejected"},
	"reconfiguration.Reconfigurer": {"change"},
	"ring.MemFile":                 {"owner"},
})

// Hash names the state: all that a later step, choice or check may depend on.
func (c *Cluster) Hash() uint64 {
	e := plan.Encoder()
	defer e.Free()
	e.Now = c.now
	e.Put(c.used)
	e.Put(c.cuts)
	e.Put(c.chosen)
	e.Put(c.disks)
	e.Put(c.objects)
	e.Put(c.clients)
	for _, m := range c.members {
		c.putMember(e, m)
	}
	for _, one := range c.waiting() {
		e.Put(one.id)
	}
	e.Put([]bool{c.harsh, c.found != nil})
	return e.Hash()
}

func (c *Cluster) putMember(e *canon.Encoder, m *member) {
	e.Now = c.now
	e.Put([]bool{m.up, m.leaving, m.silent})
	e.Put(m.run)
	e.Put(m.disk)
	e.Put(m.store.state())
	for _, k := range c.keys() {
		e.Put(m.rep.Peek(k))
	}
	e.Put(m.acc.State)
	if !m.up {
		return
	}
	e.Now = c.clock(m)
	e.Put(m.own)
	e.Put(m.make)
	e.Put(m.copy)
	e.Put([]ident.Epoch{m.copied, ident.Epoch(m.turns), ident.Epoch(m.awaits)})
	for _, one := range m.gated {
		e.Put(one.id)
	}
	for _, tag := range slices.Sorted(slices.Values(sortedTags(m.orders))) {
		e.Put(tag)
	}
}
