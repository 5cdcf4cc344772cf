package cluster

import (
	"fmt"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/storage/ring"
)

// diskTag is the ring key of a disk's identifier.
const diskTag = "disk"

// member is one core. Invariants: registerAcceptor and membershipAcceptor hold, while the process
// is down, what its disk would give back; unsyncedResponses hold the responses that wait for a
// sync.
type member struct {
	number     int // from 1
	generation int // counts the starts of its process
	running    bool
	leaving    bool // a planned stop has begun
	unheard    bool // the others take it for dead

	store              disk
	diskID             ident.Disk // empty before the first start
	membershipAcceptor *membership.Acceptor
	registerAcceptor   *acceptor.Acceptor
	unsyncedResponses  []envelope

	proposer     *proposer.Proposer
	operations   map[uint64]*clientOperation // in flight, by tag
	reconfigurer *reconfiguration.Reconfigurer
	copyReader   *quorumread.Reader    // nil if no copy is in progress
	copiedAt     ident.MembershipEpoch // the membership at which the copy was complete, 0 if it is not
	lastRound    uint64
	awaitedRound uint64 // the round of the message that a copy is synced, 0 if none is awaited

	clockOffset monotime.Duration
	clockWatch  monotime.StepLimiter
}

func (m *member) addr() ident.Addr { return ident.Addr(fmt.Sprintf("m%d", m.number)) }

func (m *member) instance() string { return fmt.Sprintf("%s-%d", m.addr(), m.generation) }

// counted tells whether the member runs and its disk counts.
func (m *member) counted() bool { return m.running && m.membershipAcceptor.Current.IsCounted(m.diskID) }

// appendRecords writes records without a sync.
func (m *member) appendRecords(records []ring.Record) error {
	if len(records) == 0 {
		return nil
	}
	return m.store.append(records)
}

// newDisk makes an empty disk.
func (c *Cluster) newDisk() disk {
	if c.settings.Ring {
		return newRingDisk(c.settings.Mutant == MutantLazySync)
	}
	return newPlainDisk()
}

// open reads the disk as a new process does; it tells whether that succeeded.
func (c *Cluster) open(m *member) bool {
	records, err := m.store.open()
	if err != nil {
		c.violate(RuleDiskError, "m%d can't read its own disk: %v", m.number, err)
		return false
	}
	c.rebuild(m, records)
	return true
}

// reload gives a member that is down what its disk would give back. It does not open the disk,
// for that would sync it.
func (c *Cluster) reload(m *member) { c.rebuild(m, m.store.contents()) }

// rebuild makes the acceptors from what was read.
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
			c.violate(RuleDiskError, "m%d can't read %s: %v", m.number, record.Key, err)
		}
	}
	m.membershipAcceptor.Current.MajorityOverride = c.settings.quorumOverride()
}

// load takes one record into the acceptor that it belongs to.
func (m *member) load(record ring.Record) error {
	switch {
	case len(record.Data) == 0, record.Key == diskTag:
		return nil
	case record.Key == membership.RingKey:
		return m.membershipAcceptor.Load(record.Data)
	}
	_, err := m.registerAcceptor.Load(record)
	return err
}

// start starts a process from what the disk holds.
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

// assignDisk gives a member's disk a new identifier.
func (c *Cluster) assignDisk(m *member) {
	c.diskCount++
	m.diskID = ident.Disk(fmt.Sprintf("disk%d", c.diskCount))
	now := m.membershipAcceptor.Current
	m.registerAcceptor, m.membershipAcceptor = acceptor.New(m.diskID), membership.New(m.diskID)
	m.membershipAcceptor.Current = now
}

// beginRun makes the parts of a process that hold nothing of the disk.
func (c *Cluster) beginRun(m *member) {
	m.reconfigurer, m.copyReader, m.copiedAt, m.awaitedRound = reconfiguration.New(m.diskID, m.instance()), nil, 0, 0
	m.lastRound = ident.FirstRequestNumber(m.instance())
	m.proposer = proposer.New(string(m.diskID)+"."+m.instance(), c.stateMachine)
	m.proposer.LocalRecord = func(k ident.Key) quorum.Record { return m.registerAcceptor.Peek(k) }
	for _, other := range c.members {
		if other.diskID != "" {
			m.proposer.SetPatchCapable(other.diskID, true)
		}
	}
	m.proposer.SetMembership(c.clock(m), m.membershipAcceptor.Current)
}

// clock is what the member's steps are told: time that passed while it watched, unless the mutant
// has an unwatched clock.
func (c *Cluster) clock(m *member) monotime.Time {
	raw := c.now.Add(m.clockOffset)
	if c.settings.Mutant == MutantClock {
		return raw
	}
	return m.clockWatch.Observe(raw)
}

// kill ends the process; its operations in flight end with an unknown outcome.
func (c *Cluster) kill(m *member) {
	for _, tag := range sortedTags(m.operations) {
		c.closeOperation(m.operations[tag])
	}
	m.running, m.leaving = false, false
	m.unsyncedResponses, m.operations = nil, nil
	m.proposer, m.reconfigurer, m.copyReader = nil, nil, nil
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
		c.violate(RuleDiskError, "m%d can't write: %v", m.number, err)
	}
}
