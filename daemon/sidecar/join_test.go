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

// fakeCore is a process that responds to join requests with the result of handleJoin and to requests
// for the list of cores with cores. If isCore is false, the list says that the process is a sidecar.
type fakeCore struct {
	addr          ident.Addr
	mu            sync.Mutex
	cores         []ident.Addr
	isCore        bool
	handleJoin    func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error)
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
		response.WriteJSON(w, http.StatusOK, core.KnownCores{Cores: f.cores, FromCore: f.isCore})
	case strings.HasSuffix(r.URL.Path, "/claim"):
		var joinRequest mesh.JoinRequest
		_ = json.NewDecoder(r.Body).Decode(&joinRequest)
		f.joinRequests = append(f.joinRequests, joinRequest)
		if granted, fail := f.handleJoin(joinRequest); fail != nil {
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

// refusingAddr returns an address that refuses connections.
func refusingAddr(t *testing.T) ident.Addr {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	return ident.Addr(l.Addr().String())
}

// A sidecar requests the list of cores from a seed before it joins, so that many sidecars with one
// seed spread their joins over all cores.
func TestJoinsSpreadFromOneSeed(t *testing.T) {
	var fakes []*fakeCore
	var addrs []ident.Addr
	for range 4 {
		f := newFakeCore(t)
		f.handleJoin = grantJoin
		fakes, addrs = append(fakes, f), append(addrs, f.addr)
	}
	fakes[0].cores = addrs
	for n := range 40 {
		s := New(settings.Sidecar{Addr: "127.0.0.1:9", Node: ident.Node(strings.Repeat("n", n+1)), Seeds: addrs[:1]}, zap.NewNop())
		s.leaseJoiner.tryJoin()
		must.True(t, s.leaseHeld.Load())
		must.Eq(t, 7, s.leaseEpoch)
	}
	for _, f := range fakes {
		must.Positive(t, f.joins())
	}
}

// After a busy core's rejection, a sidecar waits for about the Retry-After, and the repeated join has
// the same attempt id. The next join after a granted lease has a different attempt id.
func TestRepeatedJoinKeepsAttemptIDAndRetryAfter(t *testing.T) {
	f := newFakeCore(t)
	f.handleJoin = rejectJoin
	s := newUnjoinedSidecar(f.addr)
	s.leaseJoiner.tryJoin()
	must.False(t, s.leaseHeld.Load())
	must.Between(t, 200*time.Millisecond, s.leaseJoiner.joiner.Backoff(s.clock()), 375*time.Millisecond)
	f.handleJoin = grantJoin
	s.leaseJoiner.tryJoin()
	must.True(t, s.leaseHeld.Load())
	s.handleSuperseded(7, nil)
	must.False(t, s.leaseHeld.Load())
	s.leaseJoiner.tryJoin()
	must.Eq(t, f.joinRequests[0].AttemptID, f.joinRequests[1].AttemptID)
	must.NotEq(t, f.joinRequests[1].AttemptID, f.joinRequests[2].AttemptID)
}

// After an attempt at a process that refuses connections, or at a seed that is a sidecar, the sidecar
// tries the next process within 600 ms.
func TestJoinSkipsProcessesThatAreNotCores(t *testing.T) {
	f, sidecarSeed := newFakeCore(t), newFakeCore(t)
	f.handleJoin = grantJoin
	sidecarSeed.cores = []ident.Addr{f.addr}
	sidecarSeed.handleJoin = func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
		return mesh.JoinResponse{}, failure.New(failure.NotFound, "no such path")
	}
	s := newUnjoinedSidecar(refusingAddr(t), sidecarSeed.addr)
	for n := 0; n < 8 && !s.leaseHeld.Load(); n++ {
		s.leaseJoiner.tryJoin()
		must.LessEq(t, 600*time.Millisecond, s.leaseJoiner.joiner.Backoff(s.clock()))
	}
	must.True(t, s.leaseHeld.Load())
	must.Eq(t, 1, f.joins())
}

// After a join, the sidecar fetches a configuration only if the configuration is newer than the held
// one, and does not activate a revision older than the revision in the response to the join.
func TestJoinFetchesOnlyWhatIsNewer(t *testing.T) {
	f := newFakeCore(t)
	f.handleJoin = func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
		return mesh.JoinResponse{LeaseEpoch: 7, ConfigRevision: 5}, nil
	}
	s := newUnjoinedSidecar(f.addr)
	must.NoError(t, s.acceptWhole(5, []byte(`{"services":{},"ways":{}}`)))
	s.leaseJoiner.tryJoin()
	must.True(t, s.leaseHeld.Load())
	must.Eq(t, 5, s.minRevision())
	must.Eq(t, 0, f.otherRequests)
	f.handleJoin = func(mesh.JoinRequest) (mesh.JoinResponse, *failure.Error) {
		return mesh.JoinResponse{LeaseEpoch: 8, ConfigRevision: 6}, nil
	}
	s.leaseJoiner.tryJoin()
	must.Eq(t, 6, s.minRevision())
	must.Eq(t, 1, f.otherRequests)
}

// A seed is queried as a peer at the regular interval only after it has responded as a sidecar.
// Otherwise every waiting sidecar would query a core among the seeds at that interval.
func TestCoreSeedsAreNotQueriedAsPeers(t *testing.T) {
	f := newFakeCore(t)
	s := newUnjoinedSidecar(f.addr)
	must.False(t, s.peerQuerier.mayQuerySeed(f.addr)) // the seed may still respond as a core
	s.cores.nextQueryAt = map[ident.Addr]monotime.Time{}
	must.True(t, s.peerQuerier.mayQuerySeed(f.addr))
	must.False(t, s.peerQuerier.mayQuerySeed(f.addr))
	s.peerQuerier.query(f.addr, true) // fakeCore has no PeerStatePath, like a core
	must.Between(t, unknownSeedInterval, s.cores.nextQueryAt[f.addr].Since(s.clock()), coreSeedInterval)
	s.peerQuerier.handleSeedResponse(f.addr, nil)
	must.True(t, s.peerQuerier.mayQuerySeed(f.addr))
	must.True(t, s.peerQuerier.mayQuerySeed(f.addr))
	s.peerQuerier.query(f.addr, true)
	must.False(t, s.peerQuerier.mayQuerySeed(f.addr))
	must.Eq(t, 2, f.otherRequests)
}

// A list from a core marks all listed addresses as cores; a list from a sidecar does not.
func TestCoreListMarksCores(t *testing.T) {
	for _, isCore := range []bool{false, true} {
		f := newFakeCore(t)
		f.cores, f.isCore = []ident.Addr{"127.0.0.1:1", f.addr}, isCore
		s := newUnjoinedSidecar(f.addr, "127.0.0.1:1")
		s.cores.nextQueryAt = map[ident.Addr]monotime.Time{}
		must.True(t, s.leaseJoiner.listCores(f.addr))
		must.Eq(t, !isCore, s.peerQuerier.mayQuerySeed("127.0.0.1:1"))
		must.Eq(t, !isCore, s.peerQuerier.mayQuerySeed(f.addr))
	}
}
