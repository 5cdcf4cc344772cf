package proposer_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/register/acceptor"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/storage/ring"
)

// fillMachine is a state machine that writes its args into the first free slot of a long value.
// The length of the value never changes, so that a lost change can't be detected by the length.
type fillMachine struct{}

const freeSlot = "........"

func (fillMachine) Apply(_ proposer.Context, value json.RawMessage, operation proposer.Operation) proposer.Result {
	if operation.Kind != "write" {
		return proposer.Result{Body: value}
	}
	if len(value) == 0 {
		value = json.RawMessage(`"` + strings.Repeat("long ", 100) + strings.Repeat(freeSlot, 20) + `"`)
	}
	var s string
	_ = json.Unmarshal(operation.Args, &s)
	out := json.RawMessage(strings.Replace(string(value), freeSlot, fmt.Sprintf("[%6s]", s), 1))
	return proposer.Result{Value: out, Changed: true, Body: out}
}

// writeID identifies an accepted value.
type writeID struct {
	ballot   ident.Ballot
	revision ident.Revision
}

// lossyCluster is a cluster whose requests and responses the test delivers one by one, and whose
// disks may lose unsynced records. No proposer sends patches to its own disk. Invariant, checked
// after each delivery: the value that a disk holds under a ballot and revision is byte for byte
// the whole value that the proposer of that ballot sent.
type lossyCluster struct {
	*cluster
	sent      map[writeID]string
	synced    map[ident.Disk]map[string]ring.Record
	responses []delivery
	kinds     map[quorum.Kind]int
	rejected  int
}

// delivery is a response in flight to a proposer.
type delivery struct {
	to       string
	response quorum.Response
}

// localDisk is each proposer's own disk.
var localDisk = map[string]ident.Disk{"a": "d1", "b": "d2"}

func newLossyCluster(t *testing.T) *lossyCluster {
	c := &lossyCluster{
		cluster: newCluster(t),
		sent:    map[writeID]string{},
		synced:  map[ident.Disk]map[string]ring.Record{},
		kinds:   map[quorum.Kind]int{},
	}
	for _, name := range []string{"a", "b"} {
		c.proposers[name] = proposer.New(name, fillMachine{})
		c.proposers[name].SetMembership(c.now, c.membership)
		c.proposers[name].LocalRecord = func(k ident.Key) quorum.Record { return c.acceptors[localDisk[name]].Peek(k) }
		for _, v := range c.membership.Voters {
			c.proposers[name].SetPatchCapable(v.Disk, v.Disk != localDisk[name])
		}
	}
	for d := range c.acceptors {
		c.synced[d] = map[string]ring.Record{}
	}
	return c
}

// collectEffects collects a proposer's effects and records the values that it sends whole.
func (c *lossyCluster) collectEffects(name string, effects proposer.Effects) {
	for _, s := range effects.Sends {
		c.kinds[s.Request.Kind]++
		if s.Request.Kind != quorum.Accept {
			continue
		}
		id := writeID{s.Request.Ballot, s.Request.Revision}
		old, seen := c.sent[id]
		must.False(c.t, seen && old != string(s.Request.Value), must.Sprint("two values under one ballot and revision"))
		c.sent[id] = string(s.Request.Value)
	}
	c.collect(name, effects)
}

func (c *lossyCluster) write(name, val string) {
	raw, _ := json.Marshal(val)
	c.collectEffects(name, c.proposers[name].Submit(c.now, proposer.Operation{Op: ident.OperationID(val), Key: "k", Kind: "write", Args: raw}))
}

// deliverTo delivers request i to its disk, which then syncs the records written, or else restarts
// without them.
func (c *lossyCluster) deliverTo(i int, sync bool) {
	m := c.requests[i]
	r, records, responds := c.acceptors[m.to].Step(1, m.request)
	c.checkDisk(m.to)
	if !sync {
		c.acceptors[m.to] = acceptor.New(m.to)
		for _, rec := range c.synced[m.to] {
			_, err := c.acceptors[m.to].Load(rec)
			must.NoError(c.t, err)
		}
		c.checkDisk(m.to)
		return
	}
	for _, rec := range records {
		c.synced[m.to][rec.Key] = rec
	}
	if m.request.Kind == quorum.PatchAccept && !r.OK {
		c.rejected++
	}
	if responds {
		c.responses = append(c.responses, delivery{m.from, r})
	}
}

func (c *lossyCluster) checkDisk(disk ident.Disk) {
	record := c.acceptors[disk].Peek("k")
	if record.Accepted.Zero() {
		return
	}
	want, ok := c.sent[writeID{record.Accepted, record.Revision}]
	must.True(c.t, ok, must.Sprint("no proposer sent the accepted state of the disk"))
	must.Eq(c.t, want, string(record.Value))
}

func (c *lossyCluster) receive(i int) {
	delivered := c.responses[i]
	c.responses = append(c.responses[:i:i], c.responses[i+1:]...)
	c.collectEffects(delivered.to, c.proposers[delivered.to].Step(c.now, delivered.response))
}

func (c *lossyCluster) drop(i int) { c.requests = append(c.requests[:i:i], c.requests[i+1:]...) }

func (c *lossyCluster) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, name := range []string{"a", "b"} {
		c.collectEffects(name, c.proposers[name].Tick(c.now))
	}
}

// deliverAll delivers all requests and responses in order.
func (c *lossyCluster) deliverAll() {
	for len(c.requests)+len(c.responses) > 0 {
		if len(c.responses) > 0 {
			c.receive(0)
			continue
		}
		c.deliverTo(0, true)
		c.drop(0)
	}
}

// deliverAllWithTicks delivers all messages and advances the time repeatedly, so that all rounds
// end.
func (c *lossyCluster) deliverAllWithTicks() {
	for range 6 {
		c.deliverAll()
		c.advance(250 * time.Millisecond)
	}
}
