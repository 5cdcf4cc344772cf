package sidecar

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/settings"
)

// The contents of a late response to a renewal are used, and its connection serves the next
// renewal: over a saturated link a new connection may not be established in time.
func TestLateRenewalKeepsItsConnection(t *testing.T) {
	respond := make(chan struct{})
	var connections, requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			<-respond
		}
		_ = json.NewEncoder(w).Encode(record.RenewalResponse{ConfigRevision: 7})
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	core := ident.Addr(strings.TrimPrefix(server.URL, "http://"))
	s := New(settings.Sidecar{Seeds: []ident.Addr{core}}, zap.NewNop())
	s.leaseHeld.Store(true)
	s.config.cache.MarkJoined()

	began := time.Now()
	time.AfterFunc(holder.RenewTimeout+50*time.Millisecond, func() { close(respond) })
	s.renew(core, record.Renewal{})
	must.Greater(t, holder.RenewTimeout, time.Since(began))
	must.Eq(t, int64(1), s.Metrics.Counter(counterRenewalsFailed).Load())
	must.Eq(t, int64(1), s.Metrics.Counter(counterRenewalsLate).Load())
	s.mu.Lock()
	must.True(t, s.config.cache.ShouldAskPeers(s.clock().Add(time.Second), s.clock().Add(time.Second)))
	s.mu.Unlock()

	s.renew(core, record.Renewal{})
	must.Eq(t, int64(1), s.Metrics.Counter(counterRenewalsFailed).Load())
	must.Eq(t, int64(1), connections.Load())
}

// A peer's state includes the registry only if the registry is wanted and differs, and the registry
// is wanted only while no core responds.
func TestPeerStateOmitsRegistryUnlessWanted(t *testing.T) {
	s := New(settings.Sidecar{}, zap.NewNop())
	s.planner.Index.Merge([]record.Set{{
		Author:     "n",
		LeaseEpoch: 1,
		Seq:        1,
		Records:    []record.Address{{Workload: &record.Workload{UID: "u"}}},
	}})
	for query, sets := range map[string]int{"": 1, "have=other": 1, "brief=1": 0, "have=" + registryDigest(s.planner.Index.Sets()): 0} {
		rec := httptest.NewRecorder()
		s.handlePeerState(rec, httptest.NewRequest("GET", "/cottonarch/v1/peer?"+query, nil))
		var p PeerState
		must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &p))
		must.Len(t, sets, p.Sets, must.Sprint(query))
	}
	s.config.cache.MarkJoined()
	now := s.clock()
	must.False(t, s.config.cache.CoresSilent(now, now))
	must.True(t, s.config.cache.CoresSilent(now.Add(time.Second), now))
}
