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

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/coordination/quota"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/response"
)

// fakeCore answers joins by a table; it tells of the cores that it is given.
type fakeCore struct {
	addr          ident.Addr
	mu            sync.Mutex
	cores         []ident.Addr
	core          bool
	answerJoin    func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error)
	joinRequests  []mesh.JoinRequest
	otherRequests int
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
		response.WriteJSON(w, http.StatusOK, core.KnownCores{Cores: f.cores, FromCore: f.core})
	case strings.HasSuffix(r.URL.Path, "/claim"):
		var joinRequest mesh.JoinRequest
		_ = json.NewDecoder(r.Body).Decode(&joinRequest)
		f.joinRequests = append(f.joinRequests, joinRequest)
		if granted, fail := f.answerJoin(joinRequest); fail != nil {
			response.WriteError(w, fail)
		} else {
			response.WriteJSON(w, http.StatusOK, granted)
		}
	default:
		f.otherRequests++
		response.WriteError(w, failure.New(failure.NotFound, "none"))
	}
}

func grantJoin(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
	return mesh.JoinResponse{LeaseEpoch: 7, BudgetShare: quota.Share{Amount: 2, FairShare: 2}}, nil
}

func rejectJoin(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
	return mesh.JoinResponse{}, failure.New(failure.Busy, "full").WithRetryAfter(0.3)
}

func (f *fakeCore) joins() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.joinRequests)
}

func newUnjoinedSidecar(seeds ...ident.Addr) *Sidecar {
	return New(settings.Sidecar{Addr: "127.0.0.1:9", Node: "node-1", Seeds: seeds}, zap.NewNop())
}

// refusingAddr is an address that refuses connections.
func refusingAddr(t *testing.T) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return ident.Addr(l.Addr().String())
}

// A sidecar asks a seed for the cores before it joins, so that many with one seed spread.
func TestJoinsSpreadFromOneSeed(t *testing.T) {
	var fakes []*fakeCore
	var addrs []ident.Addr
	for range 4 {
		f := newFakeCore(t)
		f.answerJoin = grantJoin
		fakes, addrs = append(fakes, f), append(addrs, f.addr)
	}
	fakes[0].cores = addrs
	for n := range 40 {
		s := New(settings.Sidecar{Addr: "127.0.0.1:9", Node: ident.Node(strings.Repeat("n", n+1)), Seeds: addrs[:1]}, zap.NewNop())
		s.leaseJoiner.try()
		must.True(t, s.leaseHeld.Load())
		must.Eq(t, 7, s.leaseEpoch)
	}
	for _, f := range fakes {
		must.Positive(t, f.joins())
	}
}

// A busy core's Retry-After is kept to, and the repeat has the same attempt id; after a lease was
// granted the next join has another.
func TestRepeatedJoinKeepsAttemptIDAndRetryAfter(t *testing.T) {
	f := newFakeCore(t)
	f.answerJoin = rejectJoin
	s := newUnjoinedSidecar(f.addr)
	s.leaseJoiner.try()
	must.False(t, s.leaseHeld.Load())
	must.Between(t, 200*time.Millisecond, s.leaseJoiner.joiner.Backoff(s.clock()), 375*time.Millisecond)
	f.answerJoin = grantJoin
	s.leaseJoiner.try()
	must.True(t, s.leaseHeld.Load())
	s.handleSuperseded(7, nil)
	must.False(t, s.leaseHeld.Load())
	s.leaseJoiner.try()
	must.Eq(t, f.joinRequests[0].AttemptID, f.joinRequests[1].AttemptID)
	must.NotEq(t, f.joinRequests[1].AttemptID, f.joinRequests[2].AttemptID)
}

// After a core that refuses connections, or a seed that is a sidecar, the next one is asked soon.
func TestJoinSkipsProcessesThatAreNotCores(t *testing.T) {
	f, sidecarSeed := newFakeCore(t), newFakeCore(t)
	f.answerJoin = grantJoin
	sidecarSeed.cores = []ident.Addr{f.addr}
	sidecarSeed.answerJoin = func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
		return mesh.JoinResponse{}, failure.New(failure.NotFound, "no such path")
	}
	s := newUnjoinedSidecar(refusingAddr(t), sidecarSeed.addr)
	for n := 0; n < 8 && !s.leaseHeld.Load(); n++ {
		s.leaseJoiner.try()
		must.LessEq(t, 600*time.Millisecond, s.leaseJoiner.joiner.Backoff(s.clock()))
	}
	must.True(t, s.leaseHeld.Load())
	must.Eq(t, 1, f.joins())
}

// A configuration that is held is not fetched again with a join; a newer one is, and the lowest
// revision that the join allows is kept.
func TestJoinFetchesOnlyWhatIsNewer(t *testing.T) {
	f := newFakeCore(t)
	f.answerJoin = func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
		return mesh.JoinResponse{LeaseEpoch: 7, ConfigRevision: 5}, nil
	}
	s := newUnjoinedSidecar(f.addr)
	must.NoError(t, s.acceptWhole(5, []byte(`{"services":{},"ways":{}}`)))
	s.leaseJoiner.try()
	must.True(t, s.leaseHeld.Load())
	must.Eq(t, 5, s.minRevision())
	must.Eq(t, 0, f.otherRequests)
	f.answerJoin = func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
		return mesh.JoinResponse{LeaseEpoch: 8, ConfigRevision: 6}, nil
	}
	s.leaseJoiner.try()
	must.Eq(t, 6, s.minRevision())
	must.Eq(t, 1, f.otherRequests)
}

// A seed is asked as a peer at the usual pace only once it has answered as a sidecar: a core
// among the seeds would else be asked by every sidecar that waits for it.
func TestCoreSeedsAreNotQueriedAsPeers(t *testing.T) {
	f := newFakeCore(t)
	s := newUnjoinedSidecar(f.addr)
	must.False(t, s.peerQuerier.mayQuerySeed(f.addr)) // it may yet answer as a core
	s.cores.nextQueryAt = map[ident.Addr]monotime.Time{}
	must.True(t, s.peerQuerier.mayQuerySeed(f.addr))
	must.False(t, s.peerQuerier.mayQuerySeed(f.addr))
	s.peerQuerier.query(f.addr, true) // says that it has no such path, as a core does
	must.Between(t, unknownSeedInterval, s.cores.nextQueryAt[f.addr].Since(s.clock()), coreSeedInterval)
	s.peerQuerier.handleSeedResponse(f.addr, nil)
	must.True(t, s.peerQuerier.mayQuerySeed(f.addr))
	must.True(t, s.peerQuerier.mayQuerySeed(f.addr))
	s.peerQuerier.query(f.addr, true)
	must.False(t, s.peerQuerier.mayQuerySeed(f.addr))
	must.Eq(t, 2, f.otherRequests)
}

// The list of a core says who else is one; the list of a sidecar does not.
func TestCoreListMarksCores(t *testing.T) {
	for _, isCore := range []bool{false, true} {
		f := newFakeCore(t)
		f.cores, f.core = []ident.Addr{"127.0.0.1:1", f.addr}, isCore
		s := newUnjoinedSidecar(f.addr, "127.0.0.1:1")
		s.cores.nextQueryAt = map[ident.Addr]monotime.Time{}
		must.True(t, s.leaseJoiner.listCores(f.addr))
		must.Eq(t, !isCore, s.peerQuerier.mayQuerySeed("127.0.0.1:1"))
		must.Eq(t, !isCore, s.peerQuerier.mayQuerySeed(f.addr))
	}
}
