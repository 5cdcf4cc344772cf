package cluster

import (
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/storage/ring"
)

// adoptMembership takes in a chosen membership, as a node does.
func (c *Cluster) adoptMembership(m *member, r quorum.Membership) {
	_, wasVoter := m.membershipAcceptor.Current.Find(m.diskID)
	r.MajorityOverride = c.settings.quorumOverride()
	records, newer := m.membershipAcceptor.Adopt(r)
	if !newer {
		return
	}
	c.checkWrite(m, m.appendRecords(records))
	m.reconfigurer.Adopted(r)
	m.copyReader, m.awaitedRound = nil, 0
	c.applyEffects(m, m.proposer.SetMembership(c.clock(m), r))
	if _, isVoter := r.Find(m.diskID); wasVoter && !isVoter {
		c.wipe(m)
	}
}

// wipe makes this a new disk: its slot was taken while it was away.
func (c *Cluster) wipe(m *member) {
	var records []ring.Record
	for _, tag := range m.registerAcceptor.RingKeys() {
		records = append(records, ring.Record{Key: tag})
	}
	for _, tag := range sortedTags(m.operations) {
		c.closeOperation(m.operations[tag])
	}
	m.operations = map[uint64]*clientOperation{}
	c.assignDisk(m)
	records = append(records, ring.Record{Key: diskTag, Data: []byte(m.diskID)}, m.membershipAcceptor.Record())
	c.checkWrite(m, m.appendRecords(records))
	c.beginRun(m)
}

// takeJoinStep takes the next step towards being counted, as a node does.
func (c *Cluster) takeJoinStep(m *member) {
	now, r := c.clock(m), m.membershipAcceptor.Current
	slot, isVoter := r.Find(m.diskID)
	self := quorum.Voter{Disk: m.diskID, Addr: m.addr()}
	switch {
	case isVoter && slot.Counted:
	case isVoter && slot.Joining && !c.canGrow(m):
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(self, maxVoters, false)))
	case isVoter && m.copiedAt == r.Epoch:
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, r, reconfiguration.PromoteVoter(m.diskID)))
	case isVoter && m.copyReader == nil:
		m.lastRound++
		m.copyReader = quorumread.New(m.lastRound, r, "", true, m.diskID)
		c.sendScans(m, m.copyReader.Tick(now))
	case !isVoter:
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(self, maxVoters, true)))
	}
}

// maxVoters is how many slots a membership has at most.
const maxVoters = 5

// canGrow tells whether a slot that has joined may be counted.
func (c *Cluster) canGrow(m *member) bool {
	others := 0
	for _, v := range m.membershipAcceptor.Current.Voters {
		other := c.holderOf(v.Disk)
		healthy := other != nil && other.running && !other.unheard && !other.leaving
		switch {
		case v.Joining && other != m && healthy:
			others++
		case !v.Joining && !healthy:
			return false
		}
	}
	return m.membershipAcceptor.Current.Size()%2 == 0 || others > 0
}

// learnCopy takes in what a majority held. As in a node the copy is complete only once it is
// synced: the message that says so waits behind its records.
func (c *Cluster) learnCopy(m *member) {
	copied := m.copyReader.Entries()
	for _, k := range c.keys() {
		if found, ok := copied[k]; ok {
			c.checkWrite(m, m.appendRecords(m.registerAcceptor.Merge(quorum.Row{Key: k, Record: found.Record})))
		}
	}
	m.lastRound++
	m.awaitedRound = m.lastRound
	synced := quorum.ScanResponse{Round: m.awaitedRound, Disk: m.diskID, Membership: m.copyReader.Membership.Epoch}
	m.unsyncedResponses = append(m.unsyncedResponses, seal(m.number, m.number, message.Message{ScanResponse: &synced}))
}

// copySynced takes the message that the copy is synced.
func (m *member) copySynced(r quorum.ScanResponse) {
	m.awaitedRound = 0
	if r.Membership == m.membershipAcceptor.Current.Epoch {
		m.copiedAt, m.copyReader = r.Membership, nil
	}
}
