package node_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/core/message"
	"cottonarch.example/cottonarch/control/core/node"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
)

// wired is three nodes whose messages travel as JSON; bytes counts what goes from one to
// another, hellos aside.
type wired struct {
	nodes map[ident.Addr]*node.Node
	now   monotime.Time
	post  []mail
	ends  map[uint64]node.End
	bytes map[string]int
	n     int
	old   ident.Addr // whose hellos say nothing of patches
	toOld int        // patches sent there
}

func newWired(t testing.TB, history time.Duration) *wired {
	x := &wired{nodes: map[ident.Addr]*node.Node{}, now: monotime.Time(time.Second), ends: map[uint64]node.End{}, bytes: map[string]int{}}
	for _, a := range three {
		n, _, err := node.New(x.now, node.Boot{Addr: a, Founders: three, Mark: "0123456789abcdef0123456789abcdef", History: history,
			NewDisk: func() ident.Disk { return ident.Disk("0123456789abcdef0123456789abc" + string(a)) }}, nil)
		must.NoError(t, err)
		x.nodes[a] = n
	}
	for range 100 {
		x.step(t)
	}
	return x
}

func kindOf(m message.Message) string {
	switch {
	case m.Hello != nil:
		return "hello"
	case m.Request != nil:
		return string(m.Request.Kind)
	case m.Response != nil:
		return "return"
	case m.Learned != nil:
		return "learned"
	}
	return "other"
}

func (x *wired) out(t testing.TB, at ident.Addr, fx node.Effects) {
	for _, e := range fx.Ends {
		x.ends[e.Ticket] = e
	}
	for _, s := range fx.Sends {
		s.Msg.From = at
		if s.Msg.Hello != nil && at == x.old {
			h := *s.Msg.Hello
			h.Patches, s.Msg.Hello = false, &h
		}
		if s.To == x.old && s.Msg.Request != nil && s.Msg.Request.Kind == quorum.PatchAccept {
			x.toOld++
		}
		if s.To != at {
			raw, err := json.Marshal(s.Msg)
			must.NoError(t, err)
			x.bytes[kindOf(s.Msg)] += len(raw)
			s.Msg = message.Message{}
			must.NoError(t, json.Unmarshal(raw, &s.Msg))
		}
		x.post = append(x.post, mail{s.To, s.Msg})
	}
}

// drain delivers all that is out.
func (x *wired) drain(t testing.TB) {
	for len(x.post) > 0 {
		p := x.post[0]
		x.post = x.post[1:]
		x.out(t, p.to, x.nodes[p.to].Step(x.now, p.m))
	}
}

// step lets time go on.
func (x *wired) step(t testing.TB) {
	x.now = x.now.Add(50 * time.Millisecond)
	for _, a := range three {
		x.out(t, a, x.nodes[a].Tick(x.now))
	}
	x.drain(t)
}

func (x *wired) put(t testing.TB, cells int) {
	x.n++
	x.step(t)
	x.step(t)
	at := three[x.n%3]
	a := group.Args{Name: fmt.Sprintf("%x", x.n*7919%cells), Value: operation.Encode(fmt.Sprintf("%016x", x.n*0x9e3779b97f4a7c1))}
	x.out(t, at, x.nodes[at].Submit(x.now, uint64(x.n), proposer.Operation{Key: "group/g.", Kind: "group/put", Args: operation.Encode(a)}, time.Second))
	x.drain(t)
	must.Nil(t, x.ends[uint64(x.n)].Failure)
	delete(x.ends, uint64(x.n))
}

// A put of a group of 300 cells with 400 past puts takes few bytes between cores that all
// know patches; a core that does not say so is sent none, and has every value all the same.
func TestPutsAreFewBytes(t *testing.T) {
	x := newWired(t, 40*time.Second)
	for range 800 {
		x.put(t, 300)
	}
	clear(x.bytes)
	for range 200 {
		x.put(t, 300)
	}
	total := 0
	for k, n := range x.bytes {
		if k != "hello" {
			total += n
		}
	}
	must.Less(t, 3500*200, total)
	must.Positive(t, x.bytes["patch"])
	// The earlier release at a core that does not own the group.
	old := three[0]
	if x.owns(old) {
		old = three[1]
	}
	x.old = old
	// What a process knows stands in its whole hello, which comes every ten seconds here
	// (and at once from a new run, which this one is not).
	for range 250 {
		x.step(t)
	}
	x.toOld = 0
	for range 10 {
		x.put(t, 300)
	}
	must.Eq(t, 0, x.toOld)
	for _, a := range three {
		must.Eq(t, ident.Revision(1010), x.nodes[a].Copies()["group/g."].Revision)
	}
}

func (x *wired) owns(a ident.Addr) bool { return slices.Contains(x.nodes[a].HeldKeys(), "group/g.") }

// Puts over three cores, messages as JSON between them, ten a second: 300 cells, 400 past
// puts. bytes/put is all that travels for a put, with what its responses and news take.
func BenchmarkPut(b *testing.B) {
	x := newWired(b, 40*time.Second)
	for range 1000 {
		x.put(b, 300)
	}
	clear(x.bytes)
	for b.Loop() {
		x.put(b, 300)
	}
	n := 0.0
	for k, v := range x.bytes {
		if k != "hello" {
			n += float64(v)
			b.ReportMetric(float64(v)/float64(b.N), k+"-B/put")
		}
	}
	b.ReportMetric(n/float64(b.N), "bytes/put")
}
