package membership_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	// processStart is how long after its machine a process is there, as measured on the
	// users' bench; catchUp is the users' catchUpS on the small sites.
	processStart = 900 * time.Millisecond
	catchUp      = 4 * time.Second
	// leaveLimit is the daemon's bound on a planned stop.
	leaveLimit = 3 * time.Second
	delay      = time.Millisecond
	perRow     = 20 * time.Microsecond
)

// member is one machine of a cluster: its process, and its disk as last synced.
type member struct {
	addr       ident.Addr
	node       *node.Node
	up         bool
	back       monotime.Time // when the machine was last there again
	started    monotime.Time
	run        int
	synced     map[string]ring.Record
	holds      map[ident.Key]ident.Revision // of what is synced
	membership acceptor.State               // as synced
	queue      []node.Effects               // not synced yet
	syncing    []node.Effects
	syncAt     monotime.Time
	slow       time.Duration // a sync's
}

type parcel struct {
	at monotime.Time
	to ident.Addr
	m  message.Message
}

// cluster drives whole nodes with disks under virtual time, one message or one sync at a
// time. Nothing in it is left to chance. After every sync and every confirmation it looks
// whether what may still be lost could be lost: see spare.
type cluster struct {
	t        *testing.T
	now      monotime.Time
	members  map[ident.Addr]*member
	sorted   []*member // by address
	canLose  int
	voters   int
	founders []ident.Addr
	net      []parcel
	// confirmed is the newest revision of each key that a caller was told of.
	confirmed map[ident.Key]ident.Revision
	all       []ident.Key // of confirmed
	keys      []ident.Key // those that are written
	tickets   map[uint64]ident.Key
	ticket    uint64
	writing   bool
	each      func(ms int) // when set, is run each millisecond
	drop      func(to ident.Addr, m message.Message) bool
	// removed names the successor of a machine that is gone for good.
	removed map[ident.Addr]ident.Addr
	disks   int
	faults  []string
	looks   int
	timing  bool // only times are wanted, so nothing is looked at
}

func addrOf(i int) ident.Addr { return ident.Addr(fmt.Sprintf("m%02d:1", i)) }

// newCluster gives so many members, the first three or five of them voters whose disks hold
// so many cells; the others have just come.
func newCluster(t *testing.T, members, slots, canLose, cells int) *cluster {
	c := &cluster{t: t, now: monotime.Time(time.Second), members: map[ident.Addr]*member{}, canLose: canLose, voters: max(5, 2*canLose+1),
		confirmed: map[ident.Key]ident.Revision{}, tickets: map[uint64]ident.Key{}, removed: map[ident.Addr]ident.Addr{}}
	first := quorum.Membership{Epoch: 1}
	for i := range slots {
		first.Voters = append(first.Voters, quorum.Voter{Disk: ident.Disk(fmt.Sprint("disk", i)), Addr: addrOf(i), Counted: true})
	}
	state, _ := json.Marshal(acceptor.State{Current: first})
	ballot := ident.Ballot{Epoch: 1, Owner: "first"}
	var held []ring.Record
	for i := range cells {
		k := ident.Key(fmt.Sprintf("number/n%05d", i))
		data, _ := json.Marshal(quorum.Record{Promised: ballot, Accepted: ballot, Revision: 1, Value: json.RawMessage(`{"state":{"number":1}}`)})
		held = append(held, ring.Record{Tag: "c/" + string(k), Data: data})
		c.confirmed[k], c.all = 1, append(c.all, k)
		if i < 6 {
			c.keys = append(c.keys, k)
		}
	}
	for i := range members {
		m := c.member(addrOf(i))
		if i < slots {
			c.store(m, append([]ring.Record{{Tag: "disk", Data: []byte(first.Voters[i].Disk)}, {Tag: acceptor.Tag, Data: state}}, held...))
		}
		c.start(m.addr)
		m.back = c.now
	}
	return c
}

func (c *cluster) member(a ident.Addr) *member {
	m := &member{addr: a, synced: map[string]ring.Record{}, holds: map[ident.Key]ident.Revision{}}
	c.members[a] = m
	c.sorted = slices.SortedFunc(maps.Values(c.members), func(a, b *member) int { return cmp.Compare(a.addr, b.addr) })
	return m
}

// store makes records last.
func (c *cluster) store(m *member, recs []ring.Record) {
	for _, r := range recs {
		m.synced[r.Tag] = r
		if r.Tag == acceptor.Tag {
			m.membership = acceptor.State{}
			must.NoError(c.t, json.Unmarshal(r.Data, &m.membership))
		}
		if k, ok := strings.CutPrefix(r.Tag, "c/"); ok {
			delete(m.holds, ident.Key(k))
			var held quorum.Record
			if len(r.Data) > 0 {
				must.NoError(c.t, json.Unmarshal(r.Data, &held))
				m.holds[ident.Key(k)] = held.Revision
			}
		}
	}
}

// start starts a process on what its disk holds.
func (c *cluster) start(a ident.Addr) {
	m := c.members[a]
	var recs []ring.Record
	for _, tag := range slices.Sorted(maps.Keys(m.synced)) {
		recs = append(recs, m.synced[tag])
	}
	var seeds []ident.Addr
	for _, o := range c.order() {
		if o.up && o != m && len(seeds) < 3 {
			seeds = append(seeds, o.addr)
		}
	}
	if seeds == nil {
		seeds = []ident.Addr{addrOf(0), addrOf(1), addrOf(2)}
	}
	m.run++
	n, write, err := node.New(c.now, node.Boot{Addr: a, Seeds: seeds, Voters: c.voters, Mark: fmt.Sprintf("%s-%d", a, m.run),
		CanLose: c.canLose, Founders: c.founders, NewDisk: func() ident.Disk { c.disks++; return ident.Disk(fmt.Sprint("new", c.disks)) }}, recs)
	must.NoError(c.t, err)
	m.node, m.up, m.started, m.queue, m.syncing = n, true, c.now, nil, nil
	c.store(m, write)
}

// order lists the members by address.
func (c *cluster) order() []*member { return c.sorted }

// kill ends a process; what was not synced is lost with it, as after a loss of power.
func (c *cluster) kill(a ident.Addr) {
	m := c.members[a]
	m.up, m.queue, m.syncing = false, nil, nil
}

// empty takes a disk away.
func (c *cluster) empty(a ident.Addr) {
	m := c.members[a]
	m.synced, m.holds, m.membership = map[string]ring.Record{}, map[ident.Key]ident.Revision{}, acceptor.State{}
}

// boot brings a machine back; its process starts a little later.
func (c *cluster) boot(a ident.Addr) {
	if c.members[a] == nil {
		c.member(a)
	}
	c.members[a].back = c.now
	c.run(processStart)
	c.start(a)
}

// leave stops a process as planned; it tells how long that took and whether the process
// itself said that it was done.
func (c *cluster) leave(a ident.Addr) (took time.Duration, done bool) {
	m, from := c.members[a], c.now
	c.out(m, m.node.Leave(c.now, 10*time.Second))
	for !done && c.now.Since(from) < leaveLimit {
		c.run(30 * time.Millisecond)
		var fx node.Effects
		done, fx = m.node.Left(c.now)
		c.out(m, fx)
	}
	c.kill(a)
	return c.now.Since(from), done
}

func (c *cluster) out(m *member, fx node.Effects) {
	gated := fx.Gate()
	c.post(m, fx)
	if len(gated.Records)+len(gated.Sends) > 0 {
		m.queue = append(m.queue, gated)
	}
	c.sync(m)
}

// sync begins the next batch if none is under way.
func (c *cluster) sync(m *member) {
	if len(m.syncing) == 0 && len(m.queue) > 0 {
		m.syncing, m.queue = m.queue, nil
		m.syncAt = c.now.Add(2*time.Millisecond + m.slow)
	}
}

func (c *cluster) post(m *member, fx node.Effects) {
	for _, s := range fx.Sends {
		s.Msg.From = m.addr
		if c.drop != nil && c.drop(s.To, s.Msg) {
			continue
		}
		p := parcel{c.now.Add(delay), s.To, s.Msg}
		if s.Msg.ScanResponse != nil {
			p.at = p.at.Add(time.Duration(len(s.Msg.ScanResponse.Rows)) * perRow)
		}
		c.net = append(c.net, p)
	}
	for _, e := range fx.Ends {
		k, mine := c.tickets[e.Ticket]
		if delete(c.tickets, e.Ticket); mine && e.Failure == nil {
			c.confirmed[k] = max(c.confirmed[k], e.Revision)
			c.look()
		}
	}
}

// run lets time go by.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(time.Millisecond) {
		ms := int(c.now / monotime.Time(time.Millisecond))
		if c.writing && ms%40 == 0 {
			c.write(ms / 40)
		}
		if c.each != nil {
			c.each(ms)
		}
		for i, m := range c.order() {
			if m.up && ms%20 == i%20 {
				c.out(m, m.node.Tick(c.now))
			}
		}
		c.deliver()
		for _, m := range c.order() {
			if m.up && len(m.syncing) > 0 && !m.syncAt.After(c.now) {
				batch := m.syncing
				m.syncing = nil
				for _, fx := range batch {
					c.store(m, fx.Records)
				}
				for _, fx := range batch {
					c.post(m, fx)
				}
				c.sync(m)
				c.look()
			}
		}
	}
}

func (c *cluster) deliver() {
	var later, due []parcel
	for _, p := range c.net {
		if p.at.After(c.now) {
			later = append(later, p)
		} else {
			due = append(due, p)
		}
	}
	c.net = later
	for _, p := range due {
		from, to := c.members[p.m.From], c.members[p.to]
		switch {
		case to != nil && to.up:
			c.out(to, to.node.Step(c.now, p.m))
		case from != nil && from.up:
			c.out(from, from.node.Down(c.now, p.to))
		}
	}
}

// write has the members, in turn, raise a number.
func (c *cluster) write(turn int) {
	var up []*member
	for _, m := range c.order() {
		if m.up {
			up = append(up, m)
		}
	}
	c.writeAt(up[turn%len(up)], c.keys[turn%len(c.keys)])
}

func (c *cluster) writeAt(m *member, k ident.Key) {
	c.ticket++
	c.tickets[c.ticket] = k
	c.out(m, m.node.Submit(c.now, c.ticket, proposer.Operation{Op: ident.Op(fmt.Sprint("w", c.ticket)), Key: k, Kind: "number/next"}, 2*time.Second))
}

// lost lists the machines that count as lost now.
func (c *cluster) lost() (out []ident.Addr) {
	for _, m := range c.order() {
		next, gone := c.removed[m.addr]
		switch {
		case gone && c.members[next] != nil && c.members[next].up && c.now.Since(c.members[next].back) >= catchUp:
		case !m.up, c.now.Since(m.back) < catchUp:
			out = append(out, m.addr)
		}
	}
	return out
}

// chosen is the newest membership that any disk says was chosen, or that a majority took.
func (c *cluster) chosen() quorum.Membership {
	var now quorum.Membership
	for _, m := range c.members {
		if m.membership.Current.Epoch > now.Epoch {
			now = m.membership.Current
		}
	}
	took := map[ident.Ballot]int{}
	for _, m := range c.order() {
		if d := ident.Disk(m.synced["disk"].Data); m.membership.Current.Epoch == now.Epoch && m.membership.Next != nil && now.Counts(d) {
			if took[m.membership.Accepted]++; took[m.membership.Accepted] >= now.Majority() {
				return *m.membership.Next
			}
		}
	}
	return now
}

// look is run at every step, on what is synced. Two things must be so:
//
//   - Each majority of the newest membership's disks has every confirmed value.
//   - So it is still, and there is such a majority, after any further loss that canLose
//     allows, disks and all, with every other machine losing power too.
func (c *cluster) look() {
	lost := c.lost()
	extra := c.canLose - len(lost)
	if c.timing || len(c.faults) > 20 {
		return
	}
	c.looks++
	r := c.chosen()
	if r.Epoch == 0 {
		return
	}
	fault := func(format string, args ...any) {
		c.faults = append(c.faults, fmt.Sprintf("%v: membership %d of %d slots, lost %v: ", time.Duration(c.now), r.Epoch, r.Size(), lost)+fmt.Sprintf(format, args...))
	}
	there, left := c.counted(r, nil), c.counted(r, lost)
	for _, k := range c.all {
		for _, disks := range [][]*member{there, left} {
			// All but a majority less one may lack the value, whichever else are lost.
			if lack := c.lack(disks, k); lack >= r.Majority() {
				fault("%s at revision %d is not on %d of %d disks that count", k, c.confirmed[k], lack, len(disks))
				return
			}
		}
	}
	if extra >= 0 && len(left)-extra < r.Majority() {
		fault("%d more, of %d disks that count, leave no majority", extra, len(left))
	}
}

// counted lists the members whose disks count, but for some.
func (c *cluster) counted(r quorum.Membership, but []ident.Addr) (out []*member) {
	for _, m := range c.order() {
		if r.Counts(ident.Disk(m.synced["disk"].Data)) && !slices.Contains(but, m.addr) {
			out = append(out, m)
		}
	}
	return out
}

// lack counts the disks that have not what was confirmed of a key.
func (c *cluster) lack(disks []*member, k ident.Key) (n int) {
	for _, m := range disks {
		if m.holds[k] < c.confirmed[k] {
			n++
		}
	}
	return n
}

// whole tells whether so many slots are full and all their disks hold all that was
// confirmed.
func (c *cluster) whole(slots int) bool {
	r := c.chosen()
	if r.Size() != slots {
		return false
	}
	for _, v := range r.Voters {
		if v.Joining {
			continue
		}
		m := c.members[v.Addr]
		if !v.Counted || m == nil || !m.up || !m.node.Votes() || string(m.synced["disk"].Data) != string(v.Disk) {
			return false
		}
		for _, k := range c.all {
			if m.holds[k] < c.confirmed[k] {
				return false
			}
		}
	}
	return true
}
