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

// steppedClock is a clock that only the test moves.
type steppedClock struct{ now atomic.Int64 }

func (c *steppedClock) read() monotime.Time { return monotime.Time(c.now.Load()) }

func (c *steppedClock) advance(step time.Duration) { c.now.Add(int64(step)) }

// listPeers has the registry of a sidecar name a peer at each address.
func listPeers(s *Sidecar, lapsed bool, addrs ...ident.Addr) {
	for _, addr := range addrs {
		workload := &record.Workload{UID: ident.Server("e-" + addr), SidecarAddr: addr, Service: "s.prairie"}
		s.planner.Index.Merge([]record.Set{{
			Author: ident.Node(addr), LeaseEpoch: 1, Lapsed: lapsed, Records: []record.Address{{Workload: workload}},
		}})
	}
}

// Configurations come 80 ms apart for four seconds while no peer answers: the one that came two
// seconds ago, or a newer one, is in force all the while, and what is in force and what is served to
// peers are whole. Guards against changes that follow quickly and keep anything from coming into force.
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
		must.GreaterEq(t, due, int(active), must.Sprintf("revision %d came %v ago, %d is in force", due, maxDelay, active))
		must.Eq(t, documents[active], string(raw))
		must.Eq(t, revision, newest)
		must.Eq(t, documents[revision], string(held.raw), must.Sprint(fmt.Sprint("served to peers: ", revision)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	must.LessEq(t, 2, len(s.config.pending), must.Sprint("of those that wait, all but the oldest and the newest are dropped"))
}

// Of many peers most have left: those that are still there are told of a configuration first, and others
// only where there are too few of them. Guards against waits for machines that left, for as long as
// the registry still lists them.
func TestPeersToNotifyPrefersLiveLeases(t *testing.T) {
	lapsed := []ident.Addr{"l1:1", "l2:1", "l3:1", "l4:1", "l5:1", "l6:1"}
	for name, x := range map[string]struct {
		live                        []ident.Addr
		notifiedLive, notifiedOther int // how many are notified, of those whose lease holds and of the others
	}{
		"none is there":   {nil, 0, 3},
		"one is there":    {[]ident.Addr{"a:1"}, 1, 2},
		"three are there": {[]ident.Addr{"a:1", "b:1", "c:1"}, 3, 0},
		"six are there":   {[]ident.Addr{"a:1", "b:1", "c:1", "d:1", "e:1", "f:1"}, 5, 0},
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
		must.Len(t, len(x.live)+len(lapsed), s.peerAddrs(), must.Sprint(name, ": all may be asked"))
	}
}
