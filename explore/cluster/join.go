package cluster

import (
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/storage/ring"
)

// adoptMembership adopts a chosen membership, as a node does.
func (c *Cluster) adoptMembership(m *member, chosen quorum.Membership) {
	_, wasVoter := m.membershipAcceptor.Current.Find(m.diskID)
	chosen.MajorityOverride = c.settings.quorumOverride()
	records, newer := m.membershipAcceptor.Adopt(chosen)
	if !newer {
		return
	}
	c.checkWrite(m, m.appendRecords(records))
	m.reconfigurer.Adopted(chosen)
	m.copyReader, m.copySyncRound = nil, 0
	c.applyEffects(m, m.proposer.SetMembership(c.clock(m), chosen))
	if _, isVoter := chosen.Find(m.diskID); wasVoter && !isVoter {
		c.wipeDisk(m)
	}
}

// wipeDisk turns a member's disk into a new, empty disk. A node does so when another disk has taken its
// slot in the membership.
func (c *Cluster) wipeDisk(m *member) {
	var records []ring.Record
	for _, key := range m.registerAcceptor.RingKeys() {
		records = append(records, ring.Record{Key: key})
	}
	for _, ticket := range sortedTickets(m.operations) {
		c.completeOperation(m.operations[ticket])
	}
	m.operations = map[uint64]*clientOperation{}
	c.assignDisk(m)
	records = append(records, ring.Record{Key: diskIDKey, Data: []byte(m.diskID)}, m.membershipAcceptor.Record())
	c.checkWrite(m, m.appendRecords(records))
	c.initVolatileState(m)
}

// takeJoinStep takes a member's next step toward becoming a counted voter, as a node does.
func (c *Cluster) takeJoinStep(m *member) {
	now, current := c.clock(m), m.membershipAcceptor.Current
	slot, isVoter := current.Find(m.diskID)
	self := quorum.Voter{Disk: m.diskID, Addr: m.addr()}
	switch {
	case isVoter && slot.Counted:
	case isVoter && slot.Joining && !c.canPromoteJoining(m):
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, current, reconfiguration.TakeSlot(self, maxVoters, false)))
	case isVoter && m.copiedEpoch == current.Epoch:
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, current, reconfiguration.PromoteVoter(m.diskID)))
	case isVoter && m.copyReader == nil:
		m.lastRound++
		m.copyReader = quorumread.New(m.lastRound, current, "", true, m.diskID)
		c.sendScans(m, m.copyReader.Tick(now))
	case !isVoter:
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, current, reconfiguration.TakeSlot(self, maxVoters, true)))
	}
}

// maxVoters is the maximum number of slots of a membership.
const maxVoters = 5

// canPromoteJoining reports whether a member in a new slot may become a counted voter. All voters whose
// slots are not new must be healthy. The number of voters must be odd after the promotion, or after the
// promotion of another healthy member in a new slot as well.
func (c *Cluster) canPromoteJoining(m *member) bool {
	otherJoining := 0
	for _, v := range m.membershipAcceptor.Current.Voters {
		other := c.memberWithDisk(v.Disk)
		healthy := other != nil && other.running && !other.presumedDead && !other.stopping
		switch {
		case v.Joining && other != m && healthy:
			otherJoining++
		case !v.Joining && !healthy:
			return false
		}
	}
	return m.membershipAcceptor.Current.Size()%2 == 0 || otherJoining > 0
}

// mergeCopy writes the records that were read from a majority to the member's disk. As in a node, the
// copy is complete only once the records are synced: a message of the member to itself, which waits
// for the sync, reports the completion.
func (c *Cluster) mergeCopy(m *member) {
	copied := m.copyReader.Entries()
	for _, k := range c.keys() {
		if found, ok := copied[k]; ok {
			c.checkWrite(m, m.appendRecords(m.registerAcceptor.Merge(quorum.Row{Key: k, Record: found.Record})))
		}
	}
	m.lastRound++
	m.copySyncRound = m.lastRound
	synced := quorum.ScanResponse{Round: m.copySyncRound, Disk: m.diskID, Membership: m.copyReader.Membership.Epoch}
	m.unsyncedResponses = append(m.unsyncedResponses, newEnvelope(m.number, m.number, message.Message{ScanResponse: &synced}))
}

// handleCopySynced handles the message that the copied records are synced. The copy counts as complete
// only if the membership has not changed since the copy began.
func (m *member) handleCopySynced(response quorum.ScanResponse) {
	m.copySyncRound = 0
	if response.Membership == m.membershipAcceptor.Current.Epoch {
		m.copiedEpoch, m.copyReader = response.Membership, nil
	}
}
