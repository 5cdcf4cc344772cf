package delta

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/control/coordination/operation"
)

// newSnapshot makes a version as a core stores it.
func newSnapshot(t testing.TB, revision ident.Epoch, raw string) Snapshot {
	t.Helper()
	tree, err := decode.Parse([]byte(raw))
	must.Nil(t, err)
	return Snapshot{Revision: revision, Tree: tree, Raw: operation.Encode(tree)}
}

// manyRoutes makes a configuration of routes, one of which has its own timeout.
func manyRoutes(t testing.TB, revision ident.Epoch, routes, timeout int) Snapshot {
	routeObjects := map[string]any{}
	for i := range routes {
		routeObjects[fmt.Sprintf("route-%d", i)] = map[string]any{"host": "a.example", "pathStart": fmt.Sprintf("/p%d/", i), "service": "s", "timeoutMs": 500}
	}
	routeObjects["route-0"].(map[string]any)["timeoutMs"] = timeout
	return newSnapshot(t, revision, string(operation.Encode(map[string]any{"release": revision, "ways": routeObjects})))
}

// What a delta makes of the configuration before is, to the byte, the one after it: for
// every pair of documents of a small alphabet, those that a patch can't tell among them.
func TestDeltaGivesTheExactConfiguration(t *testing.T) {
	values := []string{`1`, `1.0`, `null`, `"x"`, `[1,null]`, `{}`, `{"a":1}`, `{"a":{"b":null}}`, `{"a":{"b":2}}`, `{"b":2}`}
	var documents []string
	for _, v := range values {
		documents = append(documents, fmt.Sprintf(`{"k":%s}`, v), fmt.Sprintf(`{"k":%s,"z":1}`, v), fmt.Sprintf(`{"z":%s}`, v))
	}
	made := 0
	for _, before := range documents {
		for _, after := range documents {
			from, to := newSnapshot(t, 3, before), newSnapshot(t, 7, after)
			d, ok := Between(from, to)
			if !ok {
				continue
			}
			made++
			got, err := d.Apply(from.Raw)
			must.Nil(t, err, must.Sprint(before, after))
			must.Eq(t, string(to.Raw), string(got.Raw))
			must.Eq(t, ident.Epoch(7), got.Revision)
		}
	}
	must.Greater(t, 100, made)
}

// A delta that is laid over anything but the configuration that it was made from, or that
// was changed on its way, is refused.
func TestDeltaOverAnotherBaseIsRefused(t *testing.T) {
	from, to := manyRoutes(t, 1, 20, 500), manyRoutes(t, 2, 20, 900)
	d, ok := Between(from, to)
	must.True(t, ok)
	_, err := d.Apply(manyRoutes(t, 1, 21, 500).Raw)
	must.NotNil(t, err)
	corrupted := d
	corrupted.Patch = bytes.Replace(d.Patch, []byte("900"), []byte("901"), 1)
	_, err = corrupted.Apply(from.Raw)
	must.NotNil(t, err)
	corrupted.Patch = json.RawMessage(`{"ways":`)
	_, err = corrupted.Apply(from.Raw)
	must.NotNil(t, err)
	_, err = d.Apply(from.Raw)
	must.Nil(t, err)
}

// A change of one route costs the same however many routes there are.
func TestDeltaCostsWhatChanged(t *testing.T) {
	sizes := map[int]int{}
	for _, routes := range []int{10, 100, 1000} {
		d, ok := Between(manyRoutes(t, 1, routes, 500), manyRoutes(t, 2, routes, 900))
		must.True(t, ok)
		sizes[routes] = len(operation.Encode(d))
	}
	must.Eq(t, sizes[10], sizes[1000])
	must.Eq(t, sizes[100], sizes[1000])
	must.Less(t, 250, sizes[1000])
}

// A route that goes is told by its name alone, and a configuration of which nothing stays is not
// told by difference at all.
func TestDeltaOfRemovedRoutes(t *testing.T) {
	const routes = 100
	before, after := manyRoutes(t, 1, routes, 500), manyRoutes(t, 2, routes-1, 500)
	d, ok := Between(before, after)
	must.True(t, ok)
	must.Less(t, 250, len(operation.Encode(d)))
	got, err := d.Apply(before.Raw)
	must.Nil(t, err)
	must.Eq(t, string(after.Raw), string(got.Raw))
	_, ok = Between(before, newSnapshot(t, 2, `{"other":1}`))
	must.False(t, ok)
}

// The history gives a delta from every version that it keeps to the newest, from no other,
// and keeps no more than its bounds; the version before the newest is always kept.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for revision := ident.Epoch(1); revision <= 3*maxHistorySnapshots; revision++ {
		h.Add(manyRoutes(t, revision, 30, int(revision)))
		h.Add(manyRoutes(t, revision, 30, 77)) // the same revision again is no news
		for from := ident.Epoch(0); from <= revision+1; from++ {
			d := h.Since(from)
			must.Eq(t, d != nil, from > 0 && from < revision && from+maxHistorySnapshots > revision, must.Sprint(from, revision))
			if d != nil {
				got, err := d.Apply(manyRoutes(t, from, 30, int(from)).Raw)
				must.Nil(t, err)
				must.Eq(t, string(manyRoutes(t, revision, 30, int(revision)).Raw), string(got.Raw))
			}
		}
	}
	large := 30 * maxHistoryBytes / len(manyRoutes(t, 1, 30, 1).Raw)
	h.Add(manyRoutes(t, 1000, large, 1))
	h.Add(manyRoutes(t, 1001, large, 2))
	must.SliceLen(t, 2, h.snapshots)
	must.NotNil(t, h.Since(1000))
}

// What is packed comes back; what is no packed form, or is too large, is refused.
func TestCompressionRoundTrip(t *testing.T) {
	raw := manyRoutes(t, 1, 300, 5).Raw
	compressed := NewCompressed(raw).Bytes()
	must.Less(t, len(raw)/4, len(compressed))
	got, err := Decompress(compressed, len(raw))
	must.Nil(t, err)
	must.Eq(t, string(raw), string(got))
	_, err = Decompress(compressed, len(raw)-1)
	must.NotNil(t, err)
	_, err = Decompress(compressed[:len(compressed)/2], len(raw))
	must.NotNil(t, err)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		junk := make([]byte, rng.IntN(300))
		for i := range junk {
			junk[i] = byte(rng.Uint32())
		}
		if got, err := Decompress(junk, 1000); err == nil {
			must.LessEq(t, 1000, len(got))
		}
	}
}
