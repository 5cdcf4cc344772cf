package cluster

import (
	"fmt"

	"cottonarch.example/cottonarch/control/core/message"
	membership "cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/membership/reconfiguration"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/control/register/quorumread"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

const diskTag = "disk"

// member is one core. Invariants: rep holds, while the process is down, what its disk
// would give back; gated holds the returns that wait for a sync.
type member struct {
	number  int
	run     int
	up      bool
	leaving bool
	silent  bool
	store   disk
	disk    ident.Disk
	acc     *membership.Acceptor
	rep     *acceptor.Acceptor
	own     *proposer.Proposer
	make    *reconfiguration.Reconfigurer
	copy    *quorumread.Reader
	copied  ident.Epoch
	turns   uint64
	awaits  uint64 // the turn of the word that a copy is synced, 0 if none is awaited
	gated   []envelope
	skew    monotime.Span
	watch   monotime.Watch
	// orders are the operations in hand, by tag.
	orders map[uint64]*order
}

func (m *member) addr() ident.Addr { return ident.Addr(fmt.Sprintf("m%d", m.number)) }

func (m *member) mark() string { return fmt.Sprintf("%s-%d", m.addr(), m.run) }

func (m *member) counted() bool { return m.up && m.acc.Current.Counts(m.disk) }

// append writes records without a sync.
func (m *member) append(recs []ring.Record) error {
	if len(recs) == 0 {
		return nil
	}
	return m.store.append(recs)
}

// blank is an empty disk.
func (c *Cluster) blank() disk {
	if c.set.Ring {
		return newRingDisk(c.set.Break == BreakSoft)
	}
	return newPlainDisk()
}

// open reads the disk as a new run does.
func (c *Cluster) open(m *member) bool {
	records, err := m.store.open()
	if err != nil {
		c.breach(RuleDisk, "m%d can't read its own disk: %v", m.number, err)
		return false
	}
	c.rebuild(m, records)
	return true
}

// recall makes of a member that is down what its disk would give back; it opens nothing,
// for to open a disk syncs it.
func (c *Cluster) recall(m *member) { c.rebuild(m, m.store.shows()) }

// rebuild makes replica and acceptor of what was read.
func (c *Cluster) rebuild(m *member, records []ring.Record) {
	m.disk = ""
	for _, rec := range records {
		if rec.Tag == diskTag {
			m.disk = ident.Disk(rec.Data)
		}
	}
	m.rep, m.acc = acceptor.New(m.disk), membership.New(m.disk)
	for _, rec := range records {
		if err := m.take(rec); err != nil {
			c.breach(RuleDisk, "m%d can't read %s: %v", m.number, rec.Tag, err)
		}
	}
	m.acc.Current.Need = c.set.need()
}

func (m *member) take(rec ring.Record) error {
	switch {
	case len(rec.Data) == 0, rec.Tag == diskTag:
		return nil
	case rec.Tag == membership.Tag:
		return m.acc.Load(rec.Data)
	}
	_, err := m.rep.Load(rec)
	return err
}

// start begins a run from what the disk holds.
func (c *Cluster) start(m *member) {
	m.run++
	if !c.open(m) {
		return
	}
	m.up, m.leaving, m.gated, m.orders = true, false, nil, map[uint64]*order{}
	if m.disk == "" {
		c.name(m)
		c.must(m, m.append([]ring.Record{{Tag: diskTag, Data: []byte(m.disk)}}))
		c.must(m, m.store.sync())
	}
	m.watch = monotime.Watch{}
	c.begin(m)
}

// name gives a member's disk a new name.
func (c *Cluster) name(m *member) {
	c.disks++
	m.disk = ident.Disk(fmt.Sprintf("disk%d", c.disks))
	now := m.acc.Current
	m.rep, m.acc = acceptor.New(m.disk), membership.New(m.disk)
	m.acc.Current = now
}

// begin makes the parts of a run that hold nothing of the disk.
func (c *Cluster) begin(m *member) {
	m.make, m.copy, m.copied, m.awaits = reconfiguration.New(m.disk, m.mark()), nil, 0, 0
	m.turns = ident.FirstNumber(m.mark())
	m.own = proposer.New(string(m.disk)+"."+m.mark(), c.machine)
	m.own.Local = func(k ident.Key) quorum.Record { return m.rep.Peek(k) }
	for _, other := range c.members {
		if other.disk != "" {
			m.own.SetPatchCapable(other.disk, true)
		}
	}
	m.own.SetMembership(c.clock(m), m.acc.Current)
}

// clock is what the member's steps are told: time that was watched go by, unless that rule
// is broken.
func (c *Cluster) clock(m *member) monotime.Time {
	raw := c.now.Add(m.skew)
	if c.set.Break == BreakClock {
		return raw
	}
	return m.watch.Look(raw)
}

// kill ends the process; the operations in hand end with an unknown outcome.
func (c *Cluster) kill(m *member) {
	for _, tag := range sortedTags(m.orders) {
		c.unknown(m.orders[tag])
	}
	m.up, m.leaving, m.gated, m.orders, m.own, m.make, m.copy = false, false, nil, nil, nil, nil, nil
}

// adopt takes a chosen roster in, as a node does.
func (c *Cluster) adopt(m *member, r quorum.Membership) {
	_, was := m.acc.Current.Find(m.disk)
	r.Need = c.set.need()
	recs, newer := m.acc.Adopt(r)
	if !newer {
		return
	}
	c.must(m, m.append(recs))
	m.make.Adopted(r)
	m.copy, m.awaits = nil, 0
	c.owned(m, m.own.SetMembership(c.clock(m), r))
	if _, is := r.Find(m.disk); was && !is {
		c.wipe(m)
	}
}

// wipe makes this a new disk: its slot was taken while it was away.
func (c *Cluster) wipe(m *member) {
	var recs []ring.Record
	for _, tag := range m.rep.Tags() {
		recs = append(recs, ring.Record{Tag: tag})
	}
	for _, tag := range sortedTags(m.orders) {
		c.unknown(m.orders[tag])
	}
	m.orders = map[uint64]*order{}
	c.name(m)
	recs = append(recs, ring.Record{Tag: diskTag, Data: []byte(m.disk)}, m.acc.Record())
	c.must(m, m.append(recs))
	c.begin(m)
}

// take part in the roster: the next step towards being counted, as a node does it.
func (c *Cluster) join(m *member) {
	now, r := c.clock(m), m.acc.Current
	slot, in := r.Find(m.disk)
	me := quorum.Voter{Disk: m.disk, Addr: m.addr()}
	switch {
	case in && slot.Counted:
	case in && slot.Joining && !c.grows(m):
		c.rosterSends(m, m.make.Begin(now, r, reconfiguration.TakeSlot(me, rosterMost, false)))
	case in && m.copied == r.Epoch:
		c.rosterSends(m, m.make.Begin(now, r, reconfiguration.CountIn(m.disk)))
	case in && m.copy == nil:
		m.turns++
		m.copy = quorumread.Begin(m.turns, r, "", true, m.disk)
		c.scans(m, m.copy.Tick(now))
	case !in:
		c.rosterSends(m, m.make.Begin(now, r, reconfiguration.TakeSlot(me, rosterMost, true)))
	}
}

// rosterMost is how many slots a roster has at most.
const rosterMost = 5

// grows tells whether a slot that has joined may be counted in.
func (c *Cluster) grows(m *member) bool {
	others := 0
	for _, v := range m.acc.Current.Voters {
		other := c.holder(v.Disk)
		well := other != nil && other.up && !other.silent && !other.leaving
		switch {
		case v.Joining && other != m && well:
			others++
		case !v.Joining && !well:
			return false
		}
	}
	return m.acc.Current.Size()%2 == 0 || others > 0
}

// copiedAll takes in what a majority held. As in a node the copy is done only once it is
// synced: the word of that waits behind its records.
func (c *Cluster) copiedAll(m *member) {
	all := m.copy.Found()
	for _, k := range c.keys() {
		if found, ok := all[k]; ok {
			c.must(m, m.append(m.rep.Learn(quorum.Row{Key: k, Record: found.Record})))
		}
	}
	m.turns++
	m.awaits = m.turns
	synced := quorum.ScanResponse{Round: m.awaits, Disk: m.disk, Membership: m.copy.Membership.Epoch}
	m.gated = append(m.gated, seal(m.number, m.number, message.Message{ScanResponse: &synced}))
}

// copySynced takes the word that the copy is synced.
func (m *member) copySynced(r quorum.ScanResponse) {
	m.awaits = 0
	if r.Membership == m.acc.Current.Epoch {
		m.copied, m.copy = r.Membership, nil
	}
}

// alive lists the disks that a voter has lately heard.
func (c *Cluster) alive(at *member) []ident.Disk {
	out := []ident.Disk{at.disk}
	for _, m := range c.members {
		if m != at && m.up && !m.silent && !c.cut(m.number, at.number) {
			out = append(out, m.disk)
		}
	}
	return out
}

// holder is the member that has a disk, nil if none has.
func (c *Cluster) holder(d ident.Disk) *member {
	for _, m := range c.members {
		if m.disk == d && d != "" {
			return m
		}
	}
	return nil
}

// must notes that a write failed, which nothing here may cause.
func (c *Cluster) must(m *member, err error) {
	if err != nil {
		c.breach(RuleDisk, "m%d can't write: %v", m.number, err)
	}
}

// handle serves a message and gives what it makes the member say in return.
func (c *Cluster) handle(m *member, from int, msg message.Message) []message.Message {
	now := c.clock(m)
	switch {
	case msg.Request != nil:
		return c.onAsk(m, *msg.Request)
	case msg.MembershipRequest != nil:
		says, recs, say := m.acc.Step(*msg.MembershipRequest, c.alive(m))
		c.must(m, m.append(recs))
		if say {
			return []message.Message{{MembershipResponse: &says}}
		}
	case msg.Scan != nil && m.counted():
		if page, ok := m.rep.Scan(m.acc.Current.Epoch, *msg.Scan); ok {
			return []message.Message{{ScanResponse: &page}}
		}
	case msg.Response != nil:
		c.owned(m, m.own.Step(now, *msg.Response))
	case msg.MembershipResponse != nil:
		c.onRosterSays(m, *msg.MembershipResponse)
	case msg.ScanResponse != nil && from == m.number && msg.ScanResponse.Round == m.awaits:
		m.copySynced(*msg.ScanResponse)
	case msg.ScanResponse != nil && m.copy != nil && m.awaits == 0:
		sends, done := m.copy.Step(now, *msg.ScanResponse)
		c.scans(m, sends)
		if done {
			c.copiedAll(m)
		}
	}
	return nil
}

func (c *Cluster) onAsk(m *member, a quorum.Request) []message.Message {
	if _, in := m.acc.Current.Find(m.disk); !in {
		return nil
	}
	r, recs, say := m.rep.Step(m.acc.Current.Epoch, a)
	c.must(m, m.append(recs))
	if !say {
		return nil
	}
	return []message.Message{{Response: &r}}
}

func (c *Cluster) onRosterSays(m *member, r membership.Response) {
	sends, next := m.make.Step(c.clock(m), r)
	c.rosterSends(m, sends)
	if next != nil {
		c.decided(m, *next)
		c.adopt(m, *next)
	}
}
