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

// diskIDKey is the ring key of a disk's identifier.
const diskIDKey = "disk"

// member is one core. Invariants: while the process is down, registerAcceptor and membershipAcceptor
// hold the state that opening the disk would recover; unsyncedResponses holds the responses that
// wait for a sync.
type member struct {
	number       int // from 1
	generation   int // number of process starts
	running      bool
	stopping     bool // a planned stop has begun
	presumedDead bool // by the other members, whether or not the member runs

	store              disk
	diskID             ident.Disk // empty before the first start
	membershipAcceptor *membership.Acceptor
	registerAcceptor   *acceptor.Acceptor
	unsyncedResponses  []envelope

	proposer      *proposer.Proposer
	operations    map[uint64]*clientOperation // in flight, by ticket
	reconfigurer  *reconfiguration.Reconfigurer
	copyReader    *quorumread.Reader    // nil if no copy is in progress
	copiedEpoch   ident.MembershipEpoch // epoch of the membership at which the copy was completed, 0 if no copy is complete
	lastRound     uint64
	copySyncRound uint64 // round of the awaited message that the copy is synced, 0 if none is awaited

	clockOffset monotime.Duration
	stepLimiter monotime.StepLimiter
}

func (m *member) addr() ident.Addr { return ident.Addr(fmt.Sprintf("m%d", m.number)) }

func (m *member) instance() string { return fmt.Sprintf("%s-%d", m.addr(), m.generation) }

// counted reports whether the member runs and its disk is a counted voter.
func (m *member) counted() bool { return m.running && m.membershipAcceptor.Current.IsCounted(m.diskID) }

// appendRecords writes records to the disk without syncing the disk.
func (m *member) appendRecords(records []ring.Record) error {
	if len(records) == 0 {
		return nil
	}
	return m.store.append(records)
}

// newDisk returns an empty disk of the type that the settings ask for.
func (c *Cluster) newDisk() disk {
	if c.settings.Ring {
		return newRingDisk(c.settings.Mutant == MutantLazySync)
	}
	return newPlainDisk()
}

// openDisk opens a member's disk as a new process does, and reports whether the disk was readable.
func (c *Cluster) openDisk(m *member) bool {
	records, err := m.store.open()
	if err != nil {
		c.recordViolation(RuleDiskError, "m%d cannot open its own disk: %v", m.number, err)
		return false
	}
	c.rebuildAcceptors(m, records)
	return true
}

// reloadDisk sets the acceptors of a stopped member to the state that its disk would recover. The
// disk is not opened, because opening would sync the disk.
func (c *Cluster) reloadDisk(m *member) { c.rebuildAcceptors(m, m.store.peek()) }

// rebuildAcceptors restores the disk identifier and the acceptors of a member from the records.
func (c *Cluster) rebuildAcceptors(m *member, records []ring.Record) {
	m.diskID = ""
	for _, record := range records {
		if record.Key == diskIDKey {
			m.diskID = ident.Disk(record.Data)
		}
	}
	m.registerAcceptor, m.membershipAcceptor = acceptor.New(m.diskID), membership.New(m.diskID)
	for _, record := range records {
		if err := m.loadRecord(record); err != nil {
			c.recordViolation(RuleDiskError, "m%d cannot load record %s: %v", m.number, record.Key, err)
		}
	}
	m.membershipAcceptor.Current.MajorityOverride = c.settings.quorumOverride()
}

// loadRecord loads a record into the acceptor that wrote the record.
func (m *member) loadRecord(record ring.Record) error {
	switch {
	case len(record.Data) == 0, record.Key == diskIDKey:
		return nil
	case record.Key == membership.RingKey:
		return m.membershipAcceptor.Load(record.Data)
	}
	_, err := m.registerAcceptor.Load(record)
	return err
}

// start starts a member's process from the content of the disk.
func (c *Cluster) start(m *member) {
	m.generation++
	if !c.openDisk(m) {
		return
	}
	m.running, m.stopping, m.unsyncedResponses, m.operations = true, false, nil, map[uint64]*clientOperation{}
	if m.diskID == "" {
		c.assignDisk(m)
		c.checkWrite(m, m.appendRecords([]ring.Record{{Key: diskIDKey, Data: []byte(m.diskID)}}))
		c.checkWrite(m, m.store.sync())
	}
	m.stepLimiter = monotime.StepLimiter{}
	c.initVolatileState(m)
}

// assignDisk assigns a new identifier to a member's disk and resets the acceptors, except for the
// current membership.
func (c *Cluster) assignDisk(m *member) {
	c.diskCount++
	m.diskID = ident.Disk(fmt.Sprintf("disk%d", c.diskCount))
	current := m.membershipAcceptor.Current
	m.registerAcceptor, m.membershipAcceptor = acceptor.New(m.diskID), membership.New(m.diskID)
	m.membershipAcceptor.Current = current
}

// initVolatileState initializes the parts of a process whose state is not on the disk.
func (c *Cluster) initVolatileState(m *member) {
	m.reconfigurer, m.copyReader, m.copiedEpoch, m.copySyncRound = reconfiguration.New(m.diskID, m.instance()), nil, 0, 0
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

// clock returns the time that is passed to the member's steps. A step limiter bounds the effect of
// clock jumps, unless MutantClock is set.
func (c *Cluster) clock(m *member) monotime.Time {
	raw := c.now.Add(m.clockOffset)
	if c.settings.Mutant == MutantClock {
		return raw
	}
	return m.stepLimiter.Observe(raw)
}

// kill ends a member's process. The operations in flight end with an unknown outcome.
func (c *Cluster) kill(m *member) {
	for _, ticket := range sortedTickets(m.operations) {
		c.completeOperation(m.operations[ticket])
	}
	m.running, m.stopping = false, false
	m.unsyncedResponses, m.operations = nil, nil
	m.proposer, m.reconfigurer, m.copyReader = nil, nil, nil
}

// aliveDisks returns the disks that a voter presumes alive, its own included.
func (c *Cluster) aliveDisks(at *member) []ident.Disk {
	out := []ident.Disk{at.diskID}
	for _, m := range c.members {
		if m != at && m.running && !m.presumedDead && !c.isCut(m.number, at.number) {
			out = append(out, m.diskID)
		}
	}
	return out
}

// memberWithDisk returns the member that has a disk, or nil if no member has the disk.
func (c *Cluster) memberWithDisk(d ident.Disk) *member {
	for _, m := range c.members {
		if m.diskID == d && d != "" {
			return m
		}
	}
	return nil
}

// checkWrite records a violation if a write failed: no modeled fault makes a write fail.
func (c *Cluster) checkWrite(m *member, err error) {
	if err != nil {
		c.recordViolation(RuleDiskError, "m%d cannot write to its own disk: %v", m.number, err)
	}
}
