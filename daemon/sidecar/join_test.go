package sidecar

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/coordination/share"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/kernel/monotime"
	"cottonarch.example/cottonarch/wire/reply"
)

// fakeCore answers joins by a table; it tells of the cores that it is given.
type fakeCore struct {
	addr  ident.Addr
	mu    sync.Mutex
	cores []ident.Addr
	core  bool
	say   func(mesh.JoinRequest) (mesh.Entry, *failure.Error)
	asked []mesh.JoinRequest
	parts int
}

func newFakeCore(t *testing.T) *fakeCore {
	f := &fakeCore{}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	f.addr = ident.Addr(strings.TrimPrefix(srv.URL, "http://"))
	return f
}

func (f *fakeCore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case strings.HasSuffix(r.URL.Path, "/cores"):
		reply.JSON(w, http.StatusOK, core.Known{Cores: f.cores, Core: f.core})
	case strings.HasSuffix(r.URL.Path, "/claim"):
		var ask mesh.JoinRequest
		_ = json.NewDecoder(r.Body).Decode(&ask)
		f.asked = append(f.asked, ask)
		if e, d := f.say(ask); d != nil {
			reply.Defect(w, d)
		} else {
			reply.JSON(w, http.StatusOK, e)
		}
	default:
		f.parts++
		reply.Defect(w, failure.New(failure.Missing, "none"))
	}
}

func granted(mesh.JoinRequest) (mesh.Entry, *failure.Error) {
	return mesh.Entry{Claim: 7, Share: share.Told{N: 2, Fair: 2}}, nil
}

func busy(mesh.JoinRequest) (mesh.Entry, *failure.Error) {
	return mesh.Entry{}, failure.New(failure.Busy, "full").Later(0.3)
}

func (f *fakeCore) joins() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.asked)
}

func newJoining(seeds ...ident.Addr) *Sidecar {
	return New(boot.Sidecar{Addr: "127.0.0.1:9", Node: "node-1", Seeds: seeds}, zap.NewNop())
}

// closed is an address that refuses connections.
func closed(t *testing.T) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return ident.Addr(l.Addr().String())
}

// A sidecar asks a seed for the cores before it joins, so a herd with one seed spreads.
func TestJoinsSpreadFromOneSeed(t *testing.T) {
	var all []*fakeCore
	var addrs []ident.Addr
	for range 4 {
		f := newFakeCore(t)
		f.say = granted
		all, addrs = append(all, f), append(addrs, f.addr)
	}
	all[0].cores = addrs
	for n := range 40 {
		s := New(boot.Sidecar{Addr: "127.0.0.1:9", Node: ident.Node(strings.Repeat("n", n+1)), Seeds: addrs[:1]}, zap.NewNop())
		s.askToJoin()
		must.True(t, s.entered.Load())
		must.Eq(t, 7, s.leaseEpoch)
	}
	for _, f := range all {
		must.Positive(t, f.joins())
	}
}

// A busy core's word is kept to, and the repeat carries the same mark; once let in, the
// next join is another.
func TestRepeatedJoinKeepsItsMarkAndTheWait(t *testing.T) {
	f := newFakeCore(t)
	f.say = busy
	s := newJoining(f.addr)
	s.askToJoin()
	must.False(t, s.entered.Load())
	must.Between(t, 200*time.Millisecond, s.joiner.Wait(s.clock()), 375*time.Millisecond)
	f.say = granted
	s.askToJoin()
	must.True(t, s.entered.Load())
	s.superseded(7, nil)
	must.False(t, s.entered.Load())
	s.askToJoin()
	must.Eq(t, f.asked[0].Run, f.asked[1].Run)
	must.NotEq(t, f.asked[1].Run, f.asked[2].Run)
}

// A core that refuses connections, and a seed that is a sidecar, are passed by soon.
func TestJoinPassesByWhoIsNoCore(t *testing.T) {
	f, side := newFakeCore(t), newFakeCore(t)
	f.say = granted
	side.cores = []ident.Addr{f.addr}
	side.say = func(mesh.JoinRequest) (mesh.Entry, *failure.Error) {
		return mesh.Entry{}, failure.New(failure.Missing, "no such path")
	}
	s := newJoining(closed(t), side.addr)
	for n := 0; n < 8 && !s.entered.Load(); n++ {
		s.askToJoin()
		must.LessEq(t, 600*time.Millisecond, s.joiner.Wait(s.clock()))
	}
	must.True(t, s.entered.Load())
	must.Eq(t, 1, f.joins())
}

// A manifest that is held is not fetched again with a join; a newer one is, and the floor
// that the join proved is kept.
func TestJoinFetchesOnlyWhatIsNewer(t *testing.T) {
	f := newFakeCore(t)
	f.say = func(mesh.JoinRequest) (mesh.Entry, *failure.Error) { return mesh.Entry{Claim: 7, Manifest: 5}, nil }
	s := newJoining(f.addr)
	must.NoError(t, s.enforce(5, []byte(`{"services":{},"ways":{}}`)))
	s.askToJoin()
	must.True(t, s.entered.Load())
	must.Eq(t, 5, s.floor())
	must.Eq(t, 0, f.parts)
	f.say = func(mesh.JoinRequest) (mesh.Entry, *failure.Error) { return mesh.Entry{Claim: 8, Manifest: 6}, nil }
	s.askToJoin()
	must.Eq(t, 6, s.floor())
	must.Eq(t, 1, f.parts)
}

// A seed is asked as a peer at the usual pace only once it has answered as a sidecar: a core
// among the seeds would else be asked by every sidecar that waits for it.
func TestSeedsThatAreCoresAreNotAskedAsPeers(t *testing.T) {
	f := newFakeCore(t)
	s := newJoining(f.addr)
	must.False(t, s.seedPeer(f.addr)) // it may yet answer as a core
	s.noPeer = map[ident.Addr]monotime.Time{}
	must.True(t, s.seedPeer(f.addr))
	must.False(t, s.seedPeer(f.addr))
	s.askPeer(f.addr, true) // says that it has no such path, as a core does
	must.Between(t, seedEvery, s.noPeer[f.addr].Since(s.clock()), coreEvery)
	s.seedSaid(f.addr, nil)
	must.True(t, s.seedPeer(f.addr))
	must.True(t, s.seedPeer(f.addr))
	s.askPeer(f.addr, true)
	must.False(t, s.seedPeer(f.addr))
	must.Eq(t, 2, f.parts)
}

// The list of a core says who else is one; the list of a sidecar does not.
func TestACoresListSaysWhoIsACore(t *testing.T) {
	for _, isCore := range []bool{false, true} {
		f := newFakeCore(t)
		f.cores, f.core = []ident.Addr{"127.0.0.1:1", f.addr}, isCore
		s := newJoining(f.addr, "127.0.0.1:1")
		s.noPeer = map[ident.Addr]monotime.Time{}
		must.True(t, s.learnCores(f.addr))
		must.Eq(t, !isCore, s.seedPeer("127.0.0.1:1"))
		must.Eq(t, !isCore, s.seedPeer(f.addr))
	}
}
