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

// newSnapshot returns the snapshot of a document, in the encoding in which cores store snapshots.
func newSnapshot(t testing.TB, revision ident.ConfigRevision, raw string) Snapshot {
	t.Helper()
	tree, err := decode.Parse([]byte(raw))
	must.Nil(t, err)
	return Snapshot{Revision: revision, Tree: tree, Raw: operation.Encode(tree)}
}

// manyRoutes returns a configuration with the given number of routes; timeout, in milliseconds,
// applies to the first route, and the other routes have a timeout of 500 ms.
func manyRoutes(t testing.TB, revision ident.ConfigRevision, routes, timeout int) Snapshot {
	routeObjects := map[string]any{}
	for i := range routes {
		routeObjects[fmt.Sprintf("route-%d", i)] = map[string]any{
			"host":      "a.example",
			"pathStart": fmt.Sprintf("/p%d/", i),
			"service":   "s",
			"timeoutMs": 500,
		}
	}
	routeObjects["route-0"].(map[string]any)["timeoutMs"] = timeout
	return newSnapshot(t, revision, string(operation.Encode(map[string]any{"release": revision, "ways": routeObjects})))
}

// Applying a delta must reproduce the later configuration byte for byte. Checks every pair of
// documents from a small set of values, including pairs whose difference a merge patch cannot
// express.
func TestDeltaGivesTheExactConfiguration(t *testing.T) {
	values := []string{`1`, `1.0`, `null`, `"x"`, `[1,null]`, `{}`, `{"a":1}`, `{"a":{"b":null}}`, `{"a":{"b":2}}`, `{"b":2}`}
	var documents []string
	for _, v := range values {
		documents = append(documents, fmt.Sprintf(`{"k":%s}`, v), fmt.Sprintf(`{"k":%s,"z":1}`, v), fmt.Sprintf(`{"z":%s}`, v))
	}
	deltaCount := 0
	for _, before := range documents {
		for _, after := range documents {
			from, to := newSnapshot(t, 3, before), newSnapshot(t, 7, after)
			delta, ok := Between(from, to)
			if !ok {
				continue
			}
			deltaCount++
			got, err := delta.Apply(from.Raw)
			must.Nil(t, err, must.Sprint(before, after))
			must.Eq(t, string(to.Raw), string(got.Raw))
			must.Eq(t, ident.ConfigRevision(7), got.Revision)
		}
	}
	must.Greater(t, 100, deltaCount)
}

// Apply rejects a delta on a configuration other than the base of the delta, and a delta that was
// corrupted in transit.
func TestDeltaIsRejectedOnAnotherBase(t *testing.T) {
	from, to := manyRoutes(t, 1, 20, 500), manyRoutes(t, 2, 20, 900)
	delta, ok := Between(from, to)
	must.True(t, ok)
	_, err := delta.Apply(manyRoutes(t, 1, 21, 500).Raw)
	must.NotNil(t, err)
	corrupted := delta
	corrupted.Patch = bytes.Replace(delta.Patch, []byte("900"), []byte("901"), 1)
	_, err = corrupted.Apply(from.Raw)
	must.NotNil(t, err)
	corrupted.Patch = json.RawMessage(`{"ways":`)
	_, err = corrupted.Apply(from.Raw)
	must.NotNil(t, err)
	_, err = delta.Apply(from.Raw)
	must.Nil(t, err)
}

// The size of the delta of one changed route does not depend on the number of routes.
func TestDeltaSizeIndependentOfConfigSize(t *testing.T) {
	sizes := map[int]int{}
	for _, routes := range []int{10, 100, 1000} {
		delta, ok := Between(manyRoutes(t, 1, routes, 500), manyRoutes(t, 2, routes, 900))
		must.True(t, ok)
		sizes[routes] = len(operation.Encode(delta))
	}
	must.Eq(t, sizes[10], sizes[1000])
	must.Eq(t, sizes[100], sizes[1000])
	must.Less(t, 250, sizes[1000])
}

// The delta of a removed route contains only the route's name. There is no delta between
// configurations that have nothing in common.
func TestDeltaOfRemovedRoutes(t *testing.T) {
	const routes = 100
	before, after := manyRoutes(t, 1, routes, 500), manyRoutes(t, 2, routes-1, 500)
	delta, ok := Between(before, after)
	must.True(t, ok)
	must.Less(t, 250, len(operation.Encode(delta)))
	got, err := delta.Apply(before.Raw)
	must.Nil(t, err)
	must.Eq(t, string(after.Raw), string(got.Raw))
	_, ok = Between(before, newSnapshot(t, 2, `{"other":1}`))
	must.False(t, ok)
}

// The history returns a delta to the newest snapshot from every other retained snapshot only, and
// retains no more snapshots than maxHistorySnapshots and maxHistoryBytes allow. The newest two
// snapshots are always retained.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for revision := ident.ConfigRevision(1); revision <= 3*maxHistorySnapshots; revision++ {
		h.Add(manyRoutes(t, revision, 30, int(revision)))
		h.Add(manyRoutes(t, revision, 30, 77)) // the same revision again is ignored
		for from := ident.ConfigRevision(0); from <= revision+1; from++ {
			delta := h.Since(from)
			must.Eq(t, delta != nil, from > 0 && from < revision && from+maxHistorySnapshots > revision, must.Sprint(from, revision))
			if delta != nil {
				got, err := delta.Apply(manyRoutes(t, from, 30, int(from)).Raw)
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

// Decompress restores the compressed configuration, and rejects malformed data and data whose
// decompressed size exceeds the limit.
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
