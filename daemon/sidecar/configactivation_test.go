package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/settings"
)

// steppedClock is a clock that only the test advances.
type steppedClock struct{ now atomic.Int64 }

func (c *steppedClock) read() monotime.Time { return monotime.Time(c.now.Load()) }

func (c *steppedClock) advance(step time.Duration) { c.now.Add(int64(step)) }

// listPeers adds one peer per address to a sidecar's registry.
func listPeers(s *Sidecar, lapsed bool, addrs ...ident.Addr) {
	for _, addr := range addrs {
		workload := &record.Workload{UID: ident.Server("e-" + addr), SidecarAddr: addr, Service: "s.prairie"}
		s.planner.Index.Merge([]record.Set{{
			Author: ident.Node(addr), LeaseEpoch: 1, Lapsed: lapsed, Records: []record.Address{{Workload: workload}},
		}})
	}
}

// Configurations arrive every 80 ms for four seconds while no peer responds. At any time, the
// active configuration is at most two seconds behind the newest configuration; both the active
// configuration and the configuration that is served to peers are complete. Guards against frequent changes that keep every
// configuration from becoming active.
func TestFrequentConfigsAreActivated(t *testing.T) {
	const gap, maxDelay, changes = 80 * time.Millisecond, 2 * time.Second, 50
	ended := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-ended }))
	defer silent.Close()
	defer close(ended)
	clock := &steppedClock{}
	s := New(settings.Sidecar{}, zap.NewNop())
	clock.advance(time.Duration(s.clock()))
	s.clock = clock.read
	s.config.cache.MarkJoined()
	listPeers(s, false, ident.Addr(strings.TrimPrefix(silent.URL, "http://")))
	source := &configSource{}
	documents := map[ident.ConfigRevision]string{}
	for revision := ident.ConfigRevision(1); revision <= changes; revision++ {
		version := source.setConfig(t, revision, 3, int(500+revision))
		documents[revision] = string(version.Raw)
		must.NoError(t, s.acceptWhole(revision, version.Raw))
		clock.advance(gap)
		s.mu.Lock()
		s.activatePending()
		newest, held := s.newestConfig()
		s.mu.Unlock()
		active, raw := activeConfigOf(s)
		due := int(revision) - int(maxDelay/gap)
		must.GreaterEq(t, due, int(active), must.Sprintf("revision %d arrived %v ago, but %d is active", due, maxDelay, active))
		must.Eq(t, documents[active], string(raw))
		must.Eq(t, revision, newest)
		must.Eq(t, documents[revision], string(held.raw), must.Sprint(fmt.Sprint("served to peers: ", revision)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	must.LessEq(t, 2, len(s.config.pending), must.Sprint("only the oldest and the newest pending configurations are kept"))
}

// Most of many peers have left: peers with a valid lease are notified of a configuration first, and
// others only if there are too few of the former. Guards against waiting for machines that left but
// are still listed in the registry.
func TestPeersToNotifyPrefersLiveLeases(t *testing.T) {
	lapsed := []ident.Addr{"l1:1", "l2:1", "l3:1", "l4:1", "l5:1", "l6:1"}
	for name, x := range map[string]struct {
		live                        []ident.Addr
		notifiedLive, notifiedOther int // expected numbers of notified peers with a valid lease and with a lapsed one
	}{
		"no live peer":     {nil, 0, 3},
		"one live peer":    {[]ident.Addr{"a:1"}, 1, 2},
		"three live peers": {[]ident.Addr{"a:1", "b:1", "c:1"}, 3, 0},
		"six live peers":   {[]ident.Addr{"a:1", "b:1", "c:1", "d:1", "e:1", "f:1"}, 5, 0},
	} {
		s := New(settings.Sidecar{Addr: "self:1"}, zap.NewNop())
		listPeers(s, false, append(x.live, s.Settings.Addr)...)
		listPeers(s, true, lapsed...)
		notified := map[bool]int{}
		for _, peer := range s.peersToNotify() {
			notified[slices.Contains(x.live, peer)]++
		}
		must.Eq(t, x.notifiedLive, notified[true], must.Sprint(name))
		must.Eq(t, x.notifiedOther, notified[false], must.Sprint(name))
		must.Len(t, len(x.live)+len(lapsed), s.peerAddrs(), must.Sprint(name, ": all peers may be queried"))
	}
}
