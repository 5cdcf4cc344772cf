package cluster

import (
	"fmt"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/storage/ring"
)

const diskTag = "disk"

// member is one core. Invariants: rep holds, while the process is down, what its disk
// would give back; gated holds the returns that wait for a sync.
type member struct {
	number             int
	generation         int
	running            bool
	leaving            bool
	unheard            bool
	store              disk
	diskID             ident.Disk
	membershipAcceptor *membership.Acceptor
	registerAcceptor   *acceptor.Acceptor
	proposer           *proposer.Proposer
	reconfigurer       *reconfiguration.Reconfigurer
	copyReader         *quorumread.Reader
	copiedAt           ident.Epoch
	lastRound          uint64
	awaitedRound       uint64 // the turn of the word that a copy is synced, 0 if none is awaited
	unsyncedResponses  []envelope
	clockOffset        monotime.Duration
	clockWatch         monotime.StepLimiter
	// operations are the operations in hand, by tag.
	operations map[uint64]*clientOperation
}

func (m *member) addr() ident.Addr { return ident.Addr(fmt.Sprintf("m%d", m.number)) }

func (m *member) instance() string { return fmt.Sprintf("%s-%d", m.addr(), m.generation) }

func (m *member) counted() bool { return m.running && m.membershipAcceptor.Current.Counts(m.diskID) }

// appendRecords writes records without a sync.
func (m *member) appendRecords(records []ring.Record) error {
	if len(records) == 0 {
		return nil
	}
	return m.store.append(records)
}

// newDisk is an empty disk.
func (c *Cluster) newDisk() disk {
	if c.settings.Ring {
		return newRingDisk(c.settings.Mutant == MutantLazySync)
	}
	return newPlainDisk()
}

// open reads the disk as a new run does.
func (c *Cluster) open(m *member) bool {
	records, err := m.store.open()
	if err != nil {
		c.violate(RuleDisk, "m%d can't read its own disk: %v", m.number, err)
		return false
	}
	c.rebuild(m, records)
	return true
}

// reload makes of a member that is down what its disk would give back; it opens nothing,
// for to open a disk syncs it.
func (c *Cluster) reload(m *member) { c.rebuild(m, m.store.contents()) }

// rebuild makes replica and acceptor of what was read.
func (c *Cluster) rebuild(m *member, records []ring.Record) {
	m.diskID = ""
	for _, record := range records {
		if record.Key == diskTag {
			m.diskID = ident.Disk(record.Data)
		}
	}
	m.registerAcceptor, m.membershipAcceptor = acceptor.New(m.diskID), membership.New(m.diskID)
	for _, record := range records {
		if err := m.load(record); err != nil {
			c.violate(RuleDisk, "m%d can't read %s: %v", m.number, record.Key, err)
		}
	}
	m.membershipAcceptor.Current.MajorityOverride = c.settings.quorumOverride()
}

func (m *member) load(record ring.Record) error {
	switch {
	case len(record.Data) == 0, record.Key == diskTag:
		return nil
	case record.Key == membership.Tag:
		return m.membershipAcceptor.Load(record.Data)
	}
	_, err := m.registerAcceptor.Load(record)
	return err
}

// start begins a run from what the disk holds.
func (c *Cluster) start(m *member) {
	m.generation++
	if !c.open(m) {
		return
	}
	m.running, m.leaving, m.unsyncedResponses, m.operations = true, false, nil, map[uint64]*clientOperation{}
	if m.diskID == "" {
		c.assignDisk(m)
		c.checkWrite(m, m.appendRecords([]ring.Record{{Key: diskTag, Data: []byte(m.diskID)}}))
		c.checkWrite(m, m.store.sync())
	}
	m.clockWatch = monotime.StepLimiter{}
	c.beginRun(m)
}

// assignDisk gives a member's disk a new name.
func (c *Cluster) assignDisk(m *member) {
	c.diskCount++
	m.diskID = ident.Disk(fmt.Sprintf("disk%d", c.diskCount))
	now := m.membershipAcceptor.Current
	m.registerAcceptor, m.membershipAcceptor = acceptor.New(m.diskID), membership.New(m.diskID)
	m.membershipAcceptor.Current = now
}

// beginRun makes the parts of a run that hold nothing of the disk.
func (c *Cluster) beginRun(m *member) {
	m.reconfigurer, m.copyReader, m.copiedAt, m.awaitedRound = reconfiguration.New(m.diskID, m.instance()), nil, 0, 0
	m.lastRound = ident.FirstRequestNumber(m.instance())
	m.proposer = proposer.New(string(m.diskID)+"."+m.instance(), c.stateMachine)
	m.proposer.Local = func(k ident.Key) quorum.Record { return m.registerAcceptor.Peek(k) }
	for _, other := range c.members {
		if other.diskID != "" {
			m.proposer.SetPatchCapable(other.diskID, true)
		}
	}
	m.proposer.SetMembership(c.clock(m), m.membershipAcceptor.Current)
}

// clock is what the member's steps are told: time that was watched go by, unless that rule
// is broken.
func (c *Cluster) clock(m *member) monotime.Time {
	raw := c.now.Add(m.clockOffset)
	if c.settings.Mutant == MutantClock {
		return raw
	}
	return m.clockWatch.Observe(raw)
}

// kill ends the process; the operations in hand end with an unknown outcome.
func (c *Cluster) kill(m *member) {
	for _, tag := range sortedTags(m.operations) {
		c.outcomeUnknown(m.operations[tag])
	}
	m.running, m.leaving, m.unsyncedResponses, m.operations, m.proposer, m.reconfigurer, m.copyReader = false, false, nil, nil, nil, nil, nil
}

// adoptMembership takes a chosen roster in, as a node does.
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
		c.outcomeUnknown(m.operations[tag])
	}
	m.operations = map[uint64]*clientOperation{}
	c.assignDisk(m)
	records = append(records, ring.Record{Key: diskTag, Data: []byte(m.diskID)}, m.membershipAcceptor.Record())
	c.checkWrite(m, m.appendRecords(records))
	c.beginRun(m)
}

// take part in the roster: the next step towards being counted, as a node does it.
func (c *Cluster) takeJoinStep(m *member) {
	now, r := c.clock(m), m.membershipAcceptor.Current
	slot, isVoter := r.Find(m.diskID)
	self := quorum.Voter{Disk: m.diskID, Addr: m.addr()}
	switch {
	case isVoter && slot.Counted:
	case isVoter && slot.Joining && !c.canGrow(m):
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(self, maxVoters, false)))
	case isVoter && m.copiedAt == r.Epoch:
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, r, reconfiguration.CountIn(m.diskID)))
	case isVoter && m.copyReader == nil:
		m.lastRound++
		m.copyReader = quorumread.New(m.lastRound, r, "", true, m.diskID)
		c.sendScans(m, m.copyReader.Tick(now))
	case !isVoter:
		c.sendMembershipRequests(m, m.reconfigurer.Begin(now, r, reconfiguration.TakeSlot(self, maxVoters, true)))
	}
}

// maxVoters is how many slots a roster has at most.
const maxVoters = 5

// canGrow tells whether a slot that has joined may be counted in.
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

// learnCopy takes in what a majority held. As in a node the copy is done only once it is
// synced: the word of that waits behind its records.
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

// copySynced takes the word that the copy is synced.
func (m *member) copySynced(r quorum.ScanResponse) {
	m.awaitedRound = 0
	if r.Membership == m.membershipAcceptor.Current.Epoch {
		m.copiedAt, m.copyReader = r.Membership, nil
	}
}

// aliveDisks lists the disks that a voter has lately heard.
func (c *Cluster) aliveDisks(at *member) []ident.Disk {
	out := []ident.Disk{at.diskID}
	for _, m := range c.members {
		if m != at && m.running && !m.unheard && !c.isCut(m.number, at.number) {
			out = append(out, m.diskID)
		}
	}
	return out
}

// holderOf is the member that has a disk, nil if none has.
func (c *Cluster) holderOf(d ident.Disk) *member {
	for _, m := range c.members {
		if m.diskID == d && d != "" {
			return m
		}
	}
	return nil
}

// checkWrite notes that a write failed, which nothing here may cause.
func (c *Cluster) checkWrite(m *member, err error) {
	if err != nil {
		c.violate(RuleDisk, "m%d can't write: %v", m.number, err)
	}
}

// handle serves a message and gives what it makes the member say in return.
func (c *Cluster) handle(m *member, from int, msg message.Message) []message.Message {
	now := c.clock(m)
	switch {
	case msg.Request != nil:
		return c.onRequest(m, *msg.Request)
	case msg.MembershipRequest != nil:
		response, records, respond := m.membershipAcceptor.Step(*msg.MembershipRequest, c.aliveDisks(m))
		c.checkWrite(m, m.appendRecords(records))
		if respond {
			return []message.Message{{MembershipResponse: &response}}
		}
	case msg.Scan != nil && m.counted():
		if page, ok := m.registerAcceptor.Scan(m.membershipAcceptor.Current.Epoch, *msg.Scan); ok {
			return []message.Message{{ScanResponse: &page}}
		}
	case msg.Response != nil:
		c.applyEffects(m, m.proposer.Step(now, *msg.Response))
	case msg.MembershipResponse != nil:
		c.onMembershipResponse(m, *msg.MembershipResponse)
	case msg.ScanResponse != nil && from == m.number && msg.ScanResponse.Round == m.awaitedRound:
		m.copySynced(*msg.ScanResponse)
	case msg.ScanResponse != nil && m.copyReader != nil && m.awaitedRound == 0:
		sends, done := m.copyReader.Step(now, *msg.ScanResponse)
		c.sendScans(m, sends)
		if done {
			c.learnCopy(m)
		}
	}
	return nil
}

func (c *Cluster) onRequest(m *member, a quorum.Request) []message.Message {
	if _, in := m.membershipAcceptor.Current.Find(m.diskID); !in {
		return nil
	}
	r, records, respond := m.registerAcceptor.Step(m.membershipAcceptor.Current.Epoch, a)
	c.checkWrite(m, m.appendRecords(records))
	if !respond {
		return nil
	}
	return []message.Message{{Response: &r}}
}

func (c *Cluster) onMembershipResponse(m *member, r membership.Response) {
	sends, next := m.reconfigurer.Step(c.clock(m), r)
	c.sendMembershipRequests(m, sends)
	if next != nil {
		c.membershipChosen(m, *next)
		c.adoptMembership(m, *next)
	}
}
