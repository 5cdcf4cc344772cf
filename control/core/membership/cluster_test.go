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

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/membership/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

const (
	// processStartTime is the time from the boot of a machine to the start of its process, as
	// measured on the users' bench. catchUpLimit is the users' catchUpS on the small sites.
	processStartTime = 900 * time.Millisecond
	catchUpLimit     = 4 * time.Second
	// leaveLimit is the daemon's time limit for a planned stop.
	leaveLimit   = 3 * time.Second
	messageDelay = time.Millisecond
	delayPerRow  = 20 * time.Microsecond
)

// machine is one machine of a cluster: its process, and its disk as last synced.
type machine struct {
	addr          ident.Addr
	node          *node.Node
	running       bool
	bootedAt      monotime.Time // time of the machine's last boot
	startedAt     monotime.Time
	instance      int
	synced        map[string]ring.Record
	heldRevisions map[ident.Key]ident.Revision // of the synced records
	membership    acceptor.State               // as last synced
	unsynced      []node.Effects               // queued for the next sync
	syncing       []node.Effects
	syncEnds      monotime.Time
	extraSyncTime time.Duration // of each sync
}

// envelope is a message in transit.
type envelope struct {
	deliverAt monotime.Time
	to        ident.Addr
	msg       message.Message
}

// cluster runs complete nodes with disks deterministically under virtual time, one message or one
// sync at a time. After every sync and every confirmation it checks the invariants, see
// checkInvariants.
type cluster struct {
	t               *testing.T
	now             monotime.Time
	machines        map[ident.Addr]*machine
	byAddr          []*machine // all machines, sorted by address
	toleratedLosses int
	voters          int
	founders        []ident.Addr
	inFlight        []envelope
	// confirmed maps each key to its newest revision that was acknowledged to a caller.
	confirmed        map[ident.Key]ident.Revision
	confirmedKeys    []ident.Key // the keys of confirmed
	writtenKeys      []ident.Key // the keys that incrementNext increments
	tickets          map[uint64]ident.Key
	lastTicket       uint64
	writing          bool
	everyMillisecond func(ms int) // called each millisecond unless nil
	drop             func(to ident.Addr, m message.Message) bool
	// successorOf maps each permanently lost machine to its replacement.
	successorOf map[ident.Addr]ident.Addr
	disksMade   int
	violations  []string
	checks      int
	timingOnly  bool // the test measures only times, so no invariant is checked
}

func addrOf(i int) ident.Addr { return ident.Addr(fmt.Sprintf("m%02d:1", i)) }

// newCluster returns a cluster with the given number of machines. The first slots machines are
// voters whose disks hold the given number of records. The other machines have just started.
func newCluster(t *testing.T, machines, slots, toleratedLosses, records int) *cluster {
	c := &cluster{
		t:               t,
		now:             monotime.Time(time.Second),
		machines:        map[ident.Addr]*machine{},
		toleratedLosses: toleratedLosses,
		voters:          max(5, 2*toleratedLosses+1),
		confirmed:       map[ident.Key]ident.Revision{},
		tickets:         map[uint64]ident.Key{},
		successorOf:     map[ident.Addr]ident.Addr{},
	}
	first := quorum.Membership{Epoch: 1}
	for i := range slots {
		first.Voters = append(first.Voters, quorum.Voter{Disk: ident.Disk(fmt.Sprint("disk", i)), Addr: addrOf(i), Counted: true})
	}
	state, _ := json.Marshal(acceptor.State{Current: first})
	ballot := ident.Ballot{Epoch: 1, Proposer: "first"}
	var held []ring.Record
	for i := range records {
		k := ident.Key(fmt.Sprintf("number/n%05d", i))
		data, _ := json.Marshal(
			quorum.Record{Promised: ballot, Accepted: ballot, Revision: 1, Value: json.RawMessage(`{"state":{"number":1}}`)},
		)
		held = append(held, ring.Record{Key: "c/" + string(k), Data: data})
		c.confirmed[k], c.confirmedKeys = 1, append(c.confirmedKeys, k)
		if i < 6 {
			c.writtenKeys = append(c.writtenKeys, k)
		}
	}
	for i := range machines {
		m := c.addMachine(addrOf(i))
		if i < slots {
			c.store(m, append([]ring.Record{{Key: "disk", Data: []byte(first.Voters[i].Disk)}, {Key: acceptor.RingKey, Data: state}}, held...))
		}
		c.startProcess(m.addr)
		m.bootedAt = c.now
	}
	return c
}

// addMachine adds a machine with an empty disk. The machine's process is not started.
func (c *cluster) addMachine(a ident.Addr) *machine {
	m := &machine{addr: a, synced: map[string]ring.Record{}, heldRevisions: map[ident.Key]ident.Revision{}}
	c.machines[a] = m
	c.byAddr = slices.SortedFunc(maps.Values(c.machines), func(a, b *machine) int { return cmp.Compare(a.addr, b.addr) })
	return m
}

// store writes records to a machine's disk.
func (c *cluster) store(m *machine, recs []ring.Record) {
	for _, r := range recs {
		m.synced[r.Key] = r
		if r.Key == acceptor.RingKey {
			m.membership = acceptor.State{}
			must.NoError(c.t, json.Unmarshal(r.Data, &m.membership))
		}
		if k, ok := strings.CutPrefix(r.Key, "c/"); ok {
			delete(m.heldRevisions, ident.Key(k))
			var held quorum.Record
			if len(r.Data) > 0 {
				must.NoError(c.t, json.Unmarshal(r.Data, &held))
				m.heldRevisions[ident.Key(k)] = held.Revision
			}
		}
	}
}

// startProcess starts a machine's process with the records on the machine's disk.
func (c *cluster) startProcess(a ident.Addr) {
	m := c.machines[a]
	var recs []ring.Record
	for _, tag := range slices.Sorted(maps.Keys(m.synced)) {
		recs = append(recs, m.synced[tag])
	}
	var seeds []ident.Addr
	for _, other := range c.byAddr {
		if other.running && other != m && len(seeds) < 3 {
			seeds = append(seeds, other.addr)
		}
	}
	if seeds == nil {
		seeds = []ident.Addr{addrOf(0), addrOf(1), addrOf(2)}
	}
	m.instance++
	config := node.Config{
		Addr:            a,
		Seeds:           seeds,
		MaxVoters:       c.voters,
		InstanceID:      fmt.Sprintf("%s-%d", a, m.instance),
		ToleratedLosses: c.toleratedLosses,
		Founders:        c.founders,
		NewDiskID:       c.newDisk,
	}
	n, created, err := node.New(c.now, config, recs)
	must.NoError(c.t, err)
	m.node, m.running, m.startedAt, m.unsynced, m.syncing = n, true, c.now, nil, nil
	c.store(m, created)
}

// newDisk returns a disk identifier that was never used before.
func (c *cluster) newDisk() ident.Disk {
	c.disksMade++
	return ident.Disk(fmt.Sprint("new", c.disksMade))
}

// killProcess kills a machine's process. Records that were not synced are lost, as in a power
// failure.
func (c *cluster) killProcess(a ident.Addr) {
	m := c.machines[a]
	m.running, m.unsynced, m.syncing = false, nil, nil
}

// wipeDisk deletes all records on a machine's disk.
func (c *cluster) wipeDisk(a ident.Addr) {
	m := c.machines[a]
	m.synced, m.heldRevisions, m.membership = map[string]ring.Record{}, map[ident.Key]ident.Revision{}, acceptor.State{}
}

// startMachine boots a machine. The machine's process starts processStartTime later.
func (c *cluster) startMachine(a ident.Addr) {
	if c.machines[a] == nil {
		c.addMachine(a)
	}
	c.machines[a].bootedAt = c.now
	c.advance(processStartTime)
	c.startProcess(a)
}

// stopGracefully performs a planned stop of a process. It returns the duration of the stop and
// whether the process reported that the stop was complete.
func (c *cluster) stopGracefully(a ident.Addr) (took time.Duration, done bool) {
	m, from := c.machines[a], c.now
	c.apply(m, m.node.Leave(c.now, 10*time.Second))
	for !done && c.now.Since(from) < leaveLimit {
		c.advance(30 * time.Millisecond)
		var fx node.Effects
		done, fx = m.node.ContinueLeave(c.now)
		c.apply(m, fx)
	}
	c.killProcess(a)
	return c.now.Since(from), done
}

// apply sends the messages that may be sent immediately, and queues the other effects for the next
// sync.
func (c *cluster) apply(m *machine, fx node.Effects) {
	durable := fx.SplitDurable()
	c.send(m, fx)
	if len(durable.Records)+len(durable.Sends) > 0 {
		m.unsynced = append(m.unsynced, durable)
	}
	c.beginSync(m)
}

// beginSync begins the next sync unless a sync is in progress.
func (c *cluster) beginSync(m *machine) {
	if len(m.syncing) == 0 && len(m.unsynced) > 0 {
		m.syncing, m.unsynced = m.unsynced, nil
		m.syncEnds = c.now.Add(2*time.Millisecond + m.extraSyncTime)
	}
}

// send sends the messages of a step and records its results.
func (c *cluster) send(m *machine, fx node.Effects) {
	for _, s := range fx.Sends {
		s.Msg.From = m.addr
		if c.drop != nil && c.drop(s.To, s.Msg) {
			continue
		}
		sent := envelope{c.now.Add(messageDelay), s.To, s.Msg}
		if s.Msg.ScanResponse != nil {
			sent.deliverAt = sent.deliverAt.Add(time.Duration(len(s.Msg.ScanResponse.Rows)) * delayPerRow)
		}
		c.inFlight = append(c.inFlight, sent)
	}
	for _, e := range fx.Results {
		k, mine := c.tickets[e.Ticket]
		if delete(c.tickets, e.Ticket); mine && e.Failure == nil {
			c.confirmed[k] = max(c.confirmed[k], e.Revision)
			c.checkInvariants()
		}
	}
}

// advance advances the virtual time in steps of one millisecond.
func (c *cluster) advance(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(time.Millisecond) {
		ms := int(c.now / monotime.Time(time.Millisecond))
		if c.writing && ms%40 == 0 {
			c.incrementNext(ms / 40)
		}
		if c.everyMillisecond != nil {
			c.everyMillisecond(ms)
		}
		for i, m := range c.byAddr {
			if m.running && ms%20 == i%20 {
				c.apply(m, m.node.Tick(c.now))
			}
		}
		c.deliver()
		for _, m := range c.byAddr {
			if m.running && len(m.syncing) > 0 && !m.syncEnds.After(c.now) {
				c.endSync(m)
			}
		}
	}
}

// endSync stores the records of a completed sync and sends the messages that depended on the sync.
func (c *cluster) endSync(m *machine) {
	batch := m.syncing
	m.syncing = nil
	for _, fx := range batch {
		c.store(m, fx.Records)
	}
	for _, fx := range batch {
		c.send(m, fx)
	}
	c.beginSync(m)
	c.checkInvariants()
}

// deliver delivers all messages that are due.
func (c *cluster) deliver() {
	var later, due []envelope
	for _, next := range c.inFlight {
		if next.deliverAt.After(c.now) {
			later = append(later, next)
		} else {
			due = append(due, next)
		}
	}
	c.inFlight = later
	for _, next := range due {
		from, to := c.machines[next.msg.From], c.machines[next.to]
		switch {
		case to != nil && to.running:
			c.apply(to, to.node.Step(c.now, next.msg))
		case from != nil && from.running:
			c.apply(from, from.node.MarkUnreachable(c.now, next.to))
		}
	}
}

// incrementNext submits an increment of one of writtenKeys at one of the running machines. number
// selects the key and the machine in turn.
func (c *cluster) incrementNext(number int) {
	var up []*machine
	for _, m := range c.byAddr {
		if m.running {
			up = append(up, m)
		}
	}
	c.incrementAt(up[number%len(up)], c.writtenKeys[number%len(c.writtenKeys)])
}

// incrementAt submits an increment of a number at a machine.
func (c *cluster) incrementAt(m *machine, k ident.Key) {
	c.lastTicket++
	c.tickets[c.lastTicket] = k
	op := proposer.Operation{Op: ident.OperationID(fmt.Sprint("w", c.lastTicket)), Key: k, Kind: "number/next"}
	c.apply(m, m.node.Submit(c.now, c.lastTicket, op, 2*time.Second))
}
