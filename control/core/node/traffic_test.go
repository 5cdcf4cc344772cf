package node_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// jsonCluster is a cluster of three nodes that exchange messages as JSON. bytes counts the bytes
// sent between nodes by kind of message.
type jsonCluster struct {
	nodes        map[ident.Addr]*node.Node
	now          monotime.Time
	mailbox      []envelope
	results      map[uint64]node.Result
	bytes        map[string]int
	lastTicket   int
	oldCore      ident.Addr // a core whose heartbeats do not announce that it accepts patches
	patchesToOld int        // number of patches sent to oldCore
}

func newJSONCluster(t testing.TB, history time.Duration) *jsonCluster {
	cluster := &jsonCluster{
		nodes:   map[ident.Addr]*node.Node{},
		now:     monotime.Time(time.Second),
		results: map[uint64]node.Result{},
		bytes:   map[string]int{},
	}
	for _, a := range coreAddrs {
		n, _, err := node.New(
			cluster.now,
			node.Config{Addr: a, Founders: coreAddrs, InstanceID: "0123456789abcdef0123456789abcdef", WatchHistory: history,
				NewDiskID: func() ident.Disk { return ident.Disk("0123456789abcdef0123456789abc" + string(a)) }},
			nil,
		)
		must.NoError(t, err)
		cluster.nodes[a] = n
	}
	for range 100 {
		cluster.step(t)
	}
	return cluster
}

func messageKind(m message.Message) string {
	switch {
	case m.Heartbeat != nil:
		return "heartbeat"
	case m.Request != nil:
		return string(m.Request.Kind)
	case m.Response != nil:
		return "response"
	case m.Learned != nil:
		return "learned"
	}
	return "other"
}

func (cluster *jsonCluster) apply(t testing.TB, from ident.Addr, fx node.Effects) {
	for _, e := range fx.Results {
		cluster.results[e.Ticket] = e
	}
	for _, s := range fx.Sends {
		s.Msg.From = from
		if s.Msg.Heartbeat != nil && from == cluster.oldCore {
			h := *s.Msg.Heartbeat
			h.AcceptsPatches, s.Msg.Heartbeat = false, &h
		}
		if s.To == cluster.oldCore && s.Msg.Request != nil && s.Msg.Request.Kind == quorum.PatchAccept {
			cluster.patchesToOld++
		}
		if s.To != from {
			raw, err := json.Marshal(s.Msg)
			must.NoError(t, err)
			cluster.bytes[messageKind(s.Msg)] += len(raw)
			s.Msg = message.Message{}
			must.NoError(t, json.Unmarshal(raw, &s.Msg))
		}
		cluster.mailbox = append(cluster.mailbox, envelope{s.To, s.Msg})
	}
}

// deliverAll delivers messages until the mailbox is empty.
func (cluster *jsonCluster) deliverAll(t testing.TB) {
	for len(cluster.mailbox) > 0 {
		next := cluster.mailbox[0]
		cluster.mailbox = cluster.mailbox[1:]
		cluster.apply(t, next.to, cluster.nodes[next.to].Step(cluster.now, next.msg))
	}
}

// step advances the time by one tick of all nodes.
func (cluster *jsonCluster) step(t testing.TB) {
	cluster.now = cluster.now.Add(50 * time.Millisecond)
	for _, a := range coreAddrs {
		cluster.apply(t, a, cluster.nodes[a].Tick(cluster.now))
	}
	cluster.deliverAll(t)
}

func (cluster *jsonCluster) put(t testing.TB, values int) {
	cluster.lastTicket++
	cluster.step(t)
	cluster.step(t)
	core := coreAddrs[cluster.lastTicket%3]
	put := keyspace.Args{
		Name:  fmt.Sprintf("%x", cluster.lastTicket*7919%values),
		Value: operation.Encode(fmt.Sprintf("%016x", cluster.lastTicket*0x9e3779b97f4a7c1)),
	}
	cluster.execute(t, core, proposer.Operation{Key: "group/g.", Kind: "group/put", Args: operation.Encode(put)})
}

// execute runs an operation at a core with the last ticket. The operation must succeed.
func (cluster *jsonCluster) execute(t testing.TB, core ident.Addr, op proposer.Operation) {
	ticket := uint64(cluster.lastTicket)
	cluster.apply(t, core, cluster.nodes[core].Submit(cluster.now, ticket, op, time.Second))
	cluster.deliverAll(t)
	must.Nil(t, cluster.results[ticket].Failure)
	delete(cluster.results, ticket)
}

// A put to a keyspace of 300 entries with 400 past puts must cause at most 3,500 bytes of traffic
// between cores that all accept patches. A core that does not accept patches must receive no
// patches, and must still have every value.
func TestPutTrafficIsBounded(t *testing.T) {
	cluster := newJSONCluster(t, 40*time.Second)
	for range 800 {
		cluster.put(t, 300)
	}
	clear(cluster.bytes)
	for range 200 {
		cluster.put(t, 300)
	}
	total := 0
	for k, n := range cluster.bytes {
		if k != "heartbeat" {
			total += n
		}
	}
	must.Less(t, 3500*200, total)
	must.Positive(t, cluster.bytes["patch"])
	// An earlier release runs at a core that does not propose for the keyspace.
	oldCore := coreAddrs[0]
	if cluster.proposesKeyspace(oldCore) {
		oldCore = coreAddrs[1]
	}
	cluster.oldCore = oldCore
	// A process announces in its full heartbeat whether it accepts patches. A full heartbeat is
	// sent every ten seconds here. A new run would send a full heartbeat immediately, but the run
	// here is not new.
	for range 250 {
		cluster.step(t)
	}
	cluster.patchesToOld = 0
	for range 10 {
		cluster.put(t, 300)
	}
	must.Eq(t, 0, cluster.patchesToOld)
	for _, a := range coreAddrs {
		must.Eq(t, ident.Revision(1010), cluster.nodes[a].AcceptedStates()["group/g."].Revision)
	}
}

func (cluster *jsonCluster) proposesKeyspace(a ident.Addr) bool {
	return slices.Contains(cluster.nodes[a].HeldKeys(), "group/g.")
}

// BenchmarkPut measures puts at a rate of ten per second to a keyspace of 300 entries with 400 past
// puts, in a cluster of three cores that exchange JSON. The metric bytes/put includes all messages
// for a put, including responses and announcements.
func BenchmarkPut(b *testing.B) {
	cluster := newJSONCluster(b, 40*time.Second)
	for range 1000 {
		cluster.put(b, 300)
	}
	clear(cluster.bytes)
	for b.Loop() {
		cluster.put(b, 300)
	}
	n := 0.0
	for k, v := range cluster.bytes {
		if k != "heartbeat" {
			n += float64(v)
			b.ReportMetric(float64(v)/float64(b.N), k+"-B/put")
		}
	}
	b.ReportMetric(n/float64(b.N), "bytes/put")
}
