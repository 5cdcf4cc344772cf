package sidecar

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/delta"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/ident"
)

// giver is a process that gives parts of a manifest and counts the bytes of its returns.
type giver struct {
	source mesh.Source
	old    bool // it knows neither deltas nor compressed parts
	bytes  int
	asked  []string
}

func (g *giver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.asked = append(g.asked, r.URL.RawQuery)
	src := g.source
	if g.old {
		src.Packed, src.Since = nil, nil
	}
	rec := httptest.NewRecorder()
	mesh.GivePart(rec, r, src)
	g.bytes += rec.Body.Len()
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes())
}

// give puts a manifest of so many ways in, one of which has its own timeout.
func (g *giver) give(t *testing.T, epoch ident.Epoch, ways, timeout int) delta.Version {
	t.Helper()
	all := map[string]any{}
	for i := range ways {
		all[fmt.Sprintf("route-%d", i)] = map[string]any{"host": "a.example", "pathStart": fmt.Sprintf("/%d/", i), "service": "s.prairie", "timeoutMs": 500}
	}
	all["route-0"].(map[string]any)["timeoutMs"] = timeout
	raw := operation.Encode(map[string]any{"services": map[string]any{"s.prairie": map[string]any{}}, "ways": all})
	tree, d := walk.Parse(raw)
	must.Nil(t, d)
	g.source.Epoch, g.source.Raw, g.source.Packed = epoch, raw, delta.Pack(raw)
	return delta.Version{Epoch: epoch, Tree: tree, Raw: raw}
}

// shown is the manifest in force at a sidecar.
func shown(s *Sidecar) (ident.Epoch, json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.path.Epoch(), s.shown.raw
}

// A sidecar takes a manifest whole the first time and then what changed; a delta that does
// not fit, and a giver of an earlier release, cost a whole one. What is in force is always
// to the byte what was given, and what is here already is not taken again.
func TestManifestIsTakenByDifference(t *testing.T) {
	g := &giver{}
	server := httptest.NewServer(g)
	defer server.Close()
	from := ident.Addr(strings.TrimPrefix(server.URL, "http://"))
	s := New(boot.Sidecar{}, zap.NewNop())
	s.wit.Entered()
	var history delta.History
	change := func(epoch ident.Epoch, timeout int) {
		history.Add(g.give(t, epoch, 400, timeout))
		g.source.Since = history.Since
	}
	fetch := func() (bytes int) {
		before := g.bytes
		must.NoError(t, s.fetch(from))
		epoch, raw := shown(s)
		must.Eq(t, g.source.Epoch, epoch)
		must.Eq(t, string(g.source.Raw), string(raw))
		return g.bytes - before
	}

	change(1, 500)
	whole := fetch()
	must.Less(t, len(g.source.Raw)/2, whole) // compressed
	change(2, 600)
	must.Less(t, 400, fetch())
	must.Eq(t, int64(1), s.Board.At("deltas_applied").Load())

	change(3, 700)
	spoilt := *history.Since(2)
	spoilt.Digest = strings.Repeat("0", 64)
	g.source.Since = func(ident.Epoch) *delta.Delta { return &spoilt }
	must.Greater(t, whole/2, fetch())
	must.Eq(t, int64(1), s.Board.At("deltas_refused").Load())

	g.old = true
	change(4, 800)
	must.Greater(t, len(g.source.Raw), fetch())
	must.Eq(t, int64(1), s.Board.At("deltas_applied").Load())

	g.old, g.asked = false, nil
	must.NoError(t, s.fetch(from))
	must.SliceLen(t, 1, g.asked)
	epoch, _ := shown(s)
	must.Eq(t, ident.Epoch(4), epoch)
}

// A peer hands on the delta by which its manifest came, and only to who has the one before.
func TestPeersHandOnTheDelta(t *testing.T) {
	g := &giver{}
	before, after := g.give(t, 5, 40, 1), g.give(t, 6, 40, 2)
	change, ok := delta.Between(before, after)
	must.True(t, ok)
	s := New(boot.Sidecar{}, zap.NewNop())
	s.wit.Entered()
	must.NoError(t, s.enforce(before.Epoch, before.Raw))
	must.Nil(t, s.apply(change))
	for have, told := range map[string]bool{"5": true, "4": false, "6": false, "": false} {
		rec := httptest.NewRecorder()
		s.onPart(rec, httptest.NewRequest("GET", "/cottonarch/v1/part?at=0&have="+have, nil))
		var p mesh.Part
		must.NoError(t, json.Unmarshal(rec.Body.Bytes(), &p))
		must.Eq(t, told, p.Delta != nil, must.Sprint(have))
		must.Eq(t, ident.Epoch(6), p.Epoch)
	}
}
