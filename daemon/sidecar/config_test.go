package sidecar

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/config/delta"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/settings"
)

// configSource serves parts of a configuration and counts the bytes sent.
type configSource struct {
	source         mesh.ConfigSource
	earlierRelease bool // supports neither deltas nor compressed parts
	bytes          int
	queries        []string
}

func (s *configSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.queries = append(s.queries, r.URL.RawQuery)
	src := s.source
	if s.earlierRelease {
		src.Compressed, src.DeltaFrom = nil, nil
	}
	rec := httptest.NewRecorder()
	mesh.ServeConfigPart(rec, r, src)
	s.bytes += rec.Body.Len()
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes())
}

// setConfig sets a configuration with routeCount routes, the first of which has the given timeout.
func (s *configSource) setConfig(t *testing.T, revision ident.ConfigRevision, routeCount, timeout int) delta.Snapshot {
	t.Helper()
	raw := encodeConfig(routeCount, timeout)
	tree, fail := decode.Parse(raw)
	must.Nil(t, fail)
	s.source.Revision, s.source.Raw, s.source.Compressed = revision, raw, delta.NewCompressed(raw)
	return delta.Snapshot{Revision: revision, Tree: tree, Raw: raw}
}

// encodeConfig returns a configuration with routeCount routes, the first of which has the given
// timeout.
func encodeConfig(routeCount, timeout int) json.RawMessage {
	routes := map[string]any{}
	for i := range routeCount {
		routes[fmt.Sprintf("route-%d", i)] = map[string]any{
			"host":      "a.example",
			"pathStart": fmt.Sprintf("/%d/", i),
			"service":   "s.prairie",
			"timeoutMs": 500,
		}
	}
	routes["route-0"].(map[string]any)["timeoutMs"] = timeout
	return operation.Encode(map[string]any{"services": map[string]any{"s.prairie": map[string]any{}}, "ways": routes})
}

// activeConfigOf returns the active configuration of a sidecar.
func activeConfigOf(s *Sidecar) (ident.ConfigRevision, json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.planner.Revision(), s.config.active.raw
}

// A sidecar fetches the first configuration whole and later ones as deltas. After a delta that does
// not apply, and from a source of an earlier release, it fetches the whole configuration. The
// active configuration is always byte for byte what was served, and a configuration that is held is
// not fetched again.
func TestFetchConfigByDelta(t *testing.T) {
	source := &configSource{}
	server := httptest.NewServer(source)
	defer server.Close()
	from := ident.Addr(strings.TrimPrefix(server.URL, "http://"))
	s := New(settings.Sidecar{}, zap.NewNop())
	s.config.cache.MarkJoined()
	var history delta.History
	change := func(revision ident.ConfigRevision, timeout int) {
		history.Add(source.setConfig(t, revision, 400, timeout))
		source.source.DeltaFrom = history.Since
	}
	fetch := func() (bytes int) {
		before := source.bytes
		must.NoError(t, s.fetchConfig(from))
		revision, raw := activeConfigOf(s)
		must.Eq(t, source.source.Revision, revision)
		must.Eq(t, string(source.source.Raw), string(raw))
		return source.bytes - before
	}

	change(1, 500)
	wholeBytes := fetch()
	must.Less(t, len(source.source.Raw)/2, wholeBytes) // the parts are compressed
	change(2, 600)
	must.Less(t, 400, fetch())
	must.Eq(t, int64(1), s.Metrics.Counter(counterDeltasApplied).Load())

	change(3, 700)
	corrupted := *history.Since(2)
	corrupted.Digest = strings.Repeat("0", 64)
	source.source.DeltaFrom = func(ident.ConfigRevision) *delta.Delta { return &corrupted }
	must.Greater(t, wholeBytes/2, fetch())
	must.Eq(t, int64(1), s.Metrics.Counter(counterDeltasRejected).Load())

	source.earlierRelease = true
	change(4, 800)
	must.Greater(t, len(source.source.Raw), fetch())
	must.Eq(t, int64(1), s.Metrics.Counter(counterDeltasApplied).Load())

	source.earlierRelease, source.queries = false, nil
	must.NoError(t, s.fetchConfig(from))
	must.SliceLen(t, 1, source.queries)
	revision, _ := activeConfigOf(s)
	must.Eq(t, ident.ConfigRevision(4), revision)
}

// A sidecar serves the delta through which its configuration arrived to peers that hold the
// preceding revision.
func TestServeConfigDeltaToPeers(t *testing.T) {
	source := &configSource{}
	before, after := source.setConfig(t, 5, 40, 1), source.setConfig(t, 6, 40, 2)
	change, ok := delta.Between(before, after)
	must.True(t, ok)
	s := New(settings.Sidecar{}, zap.NewNop())
	s.config.cache.MarkJoined()
	must.NoError(t, s.acceptWhole(before.Revision, before.Raw))
	must.Nil(t, s.applyDelta(change))
	for haveRevision, wantDelta := range map[string]bool{"5": true, "4": false, "6": false, "": false} {
		rec := httptest.NewRecorder()
		s.handleConfigPart(rec, httptest.NewRequest("GET", "/cottonarch/v1/part?at=0&have="+haveRevision, nil))
		var p mesh.ConfigPart
		must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &p))
		must.Eq(t, wantDelta, p.Delta != nil, must.Sprint(haveRevision))
		must.Eq(t, ident.ConfigRevision(6), p.Revision)
	}
}

// Each request during a fetch in several parts finds a newer revision, and the fetch still
// completes. Guards against a fetch that never completes because every newer revision restarts it.
// All configurations exist before the fetch, because the time to build one would count against the
// timeout of the fetch.
func TestFetchInPartsCompletesUnderFrequentChanges(t *testing.T) {
	const routes, maxRequests = 12000, 20
	configs := make([]json.RawMessage, maxRequests) // by revision, from 1 on
	for i := range configs {
		configs[i] = encodeConfig(routes, 501+i)
	}
	source := &configSource{earlierRelease: true}
	var requests atomic.Int64 // the handler of a request that timed out may still be running
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := requests.Add(1)
		if n > maxRequests {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		source.source.Revision, source.source.Raw = ident.ConfigRevision(n), configs[n-1]
		source.ServeHTTP(w, r)
	}))
	defer server.Close()
	s := New(settings.Sidecar{}, zap.NewNop())
	s.config.cache.MarkJoined()
	err := s.fetchConfig(ident.Addr(strings.TrimPrefix(server.URL, "http://")))
	must.NoError(t, err, must.Sprint(requests.Load(), " requests"))
	must.Greater(t, 2*mesh.DefaultPartBytes, len(source.source.Raw), must.Sprint("the configuration must need several parts"))
	active, raw := activeConfigOf(s)
	must.Eq(t, ident.ConfigRevision(requests.Load()), active)
	must.Eq(t, string(source.source.Raw), string(raw))
}
