package node_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/storage/ring"
)

// threeCores is a cluster of three nodes in one process, with messages and disks kept in memory.
type threeCores struct {
	nodes   map[ident.Addr]*node.Node
	now     monotime.Time
	results []node.Result
	mailbox []envelope
	down    map[ident.Addr]bool
	// disks holds, for each core, the last record of each ring key.
	disks map[ident.Addr]map[string]ring.Record
	drop  func(to ident.Addr, m message.Message) bool
	// confirmed holds, for each core, the configurations that the core learned to be confirmed and
	// found on its own disk.
	confirmed map[ident.Addr][]string
	// lastTicket is the last ticket that the helper functions used.
	lastTicket uint64
}

// envelope is a message in transit to a core.
type envelope struct {
	to  ident.Addr
	msg message.Message
}

// stopLimit is the maximum duration of a planned stop.
const stopLimit = 3 * time.Second

var coreAddrs = []ident.Addr{"a:1", "b:1", "c:1"}

// newThreeCores starts three cores and has them form a membership.
func newThreeCores(t *testing.T) *threeCores {
	cluster := &threeCores{
		nodes:      map[ident.Addr]*node.Node{},
		now:        monotime.Time(time.Second),
		down:       map[ident.Addr]bool{},
		disks:      map[ident.Addr]map[string]ring.Record{},
		confirmed:  map[ident.Addr][]string{},
		lastTicket: 1000,
	}
	for _, a := range coreAddrs {
		cluster.start(t, a, ident.Disk("disk-"+a), coreAddrs)
	}
	cluster.advance(2 * time.Second)
	must.True(t, cluster.nodes["a:1"].IsVoter())
	return cluster
}

// start starts a node with its existing disk, or with an empty disk that has the given identifier.
func (cluster *threeCores) start(t *testing.T, a ident.Addr, disk ident.Disk, founders []ident.Addr) {
	var recs []ring.Record
	for _, tag := range slices.Sorted(maps.Keys(cluster.disks[a])) {
		recs = append(recs, cluster.disks[a][tag])
	}
	seeds := slices.DeleteFunc(slices.Sorted(maps.Keys(cluster.nodes)), func(s ident.Addr) bool { return cluster.down[s] })
	named := 0
	newDisk := func() ident.Disk { // each identifier is used only once
		if named++; named > 1 {
			return ident.Disk(fmt.Sprint(disk, "-", named))
		}
		return disk
	}
	config := node.Config{
		Addr:       a,
		Seeds:      seeds[:min(3, len(seeds))],
		Founders:   founders,
		InstanceID: fmt.Sprint("m", cluster.now),
		NewDiskID:  newDisk,
	}
	n, created, err := node.New(cluster.now, config, recs)
	must.NoError(t, err)
	cluster.nodes[a], cluster.down[a] = n, false
	cluster.apply(a, node.Effects{Records: created})
}

// apply stores the records and results of a core's step, and queues the messages.
func (cluster *threeCores) apply(from ident.Addr, fx node.Effects) {
	cluster.results = append(cluster.results, fx.Results...)
	if fx.ConfirmedConfig != nil {
		cluster.confirmed[from] = append(cluster.confirmed[from], string(fx.ConfirmedConfig))
	}
	for _, r := range fx.Records {
		if cluster.disks[from] == nil {
			cluster.disks[from] = map[string]ring.Record{}
		}
		cluster.disks[from][r.Key] = r
	}
	for _, s := range fx.Sends {
		s.Msg.From = from
		cluster.mailbox = append(cluster.mailbox, envelope{s.To, s.Msg})
	}
}

// advance advances the time in ticks of 10 ms, and delivers every message without delay.
func (cluster *threeCores) advance(d time.Duration) {
	for end := cluster.now.Add(d); cluster.now < end; cluster.now = cluster.now.Add(10 * time.Millisecond) {
		for _, a := range slices.Sorted(maps.Keys(cluster.nodes)) {
			if !cluster.down[a] {
				cluster.apply(a, cluster.nodes[a].Tick(cluster.now))
			}
		}
		for len(cluster.mailbox) > 0 {
			next := cluster.mailbox[0]
			cluster.mailbox = cluster.mailbox[1:]
			switch {
			case cluster.drop != nil && cluster.drop(next.to, next.msg):
			case cluster.down[next.to]:
				if !cluster.down[next.msg.From] {
					cluster.apply(next.msg.From, cluster.nodes[next.msg.From].MarkUnreachable(cluster.now, next.to))
				}
			default:
				cluster.apply(next.to, cluster.nodes[next.to].Step(cluster.now, next.msg))
			}
		}
	}
}

// submit starts an operation without arguments at a core.
func (cluster *threeCores) submit(core ident.Addr, ticket uint64, kind string, key ident.Key) {
	op := proposer.Operation{Op: ident.OperationID(kind), Key: key, Kind: kind}
	cluster.submitOperation(core, ticket, op, 4*time.Second)
}

// submitOperation starts an operation at a core. ticketResult returns the result for the ticket.
func (cluster *threeCores) submitOperation(core ident.Addr, ticket uint64, op proposer.Operation, budget time.Duration) {
	cluster.apply(core, cluster.nodes[core].Submit(cluster.now, ticket, op, budget))
}

// ticketResult returns the result for a ticket, or nil if there is no result yet.
func (cluster *threeCores) ticketResult(ticket uint64) *node.Result {
	for i := range cluster.results {
		if cluster.results[i].Ticket == ticket {
			return &cluster.results[i]
		}
	}
	return nil
}

// proposerOf returns the core that is the proposer for a key, or an empty address if there is none.
func (cluster *threeCores) proposerOf(k ident.Key) ident.Addr {
	for _, a := range coreAddrs {
		for _, held := range cluster.nodes[a].HeldKeys() {
			if held == k {
				return a
			}
		}
	}
	return ""
}
