package delta

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/ident"
)

// version makes a version as a core stores it.
func version(t testing.TB, epoch ident.Epoch, raw string) Version {
	t.Helper()
	tree, d := walk.Parse([]byte(raw))
	must.Nil(t, d)
	return Version{Epoch: epoch, Tree: tree, Raw: operation.Encode(tree)}
}

// many makes a configuration of routes, one of which has its own timeout.
func many(t testing.TB, epoch ident.Epoch, routes, timeout int) Version {
	ways := map[string]any{}
	for i := range routes {
		ways[fmt.Sprintf("route-%d", i)] = map[string]any{"host": "a.example", "pathStart": fmt.Sprintf("/p%d/", i), "service": "s", "timeoutMs": 500}
	}
	ways["route-0"].(map[string]any)["timeoutMs"] = timeout
	return version(t, epoch, string(operation.Encode(map[string]any{"release": epoch, "ways": ways})))
}

// What a delta makes of the configuration before is, to the byte, the one after it: for
// every pair of documents of a small alphabet, those that a patch can't tell among them.
func TestDeltaGivesTheVeryConfiguration(t *testing.T) {
	values := []string{`1`, `1.0`, `null`, `"x"`, `[1,null]`, `{}`, `{"a":1}`, `{"a":{"b":null}}`, `{"a":{"b":2}}`, `{"b":2}`}
	var documents []string
	for _, v := range values {
		documents = append(documents, fmt.Sprintf(`{"k":%s}`, v), fmt.Sprintf(`{"k":%s,"z":1}`, v), fmt.Sprintf(`{"z":%s}`, v))
	}
	made := 0
	for _, before := range documents {
		for _, after := range documents {
			from, to := version(t, 3, before), version(t, 7, after)
			d, ok := Between(from, to)
			if !ok {
				continue
			}
			made++
			got, fault := d.Apply(from.Raw)
			must.Nil(t, fault, must.Sprint(before, after))
			must.Eq(t, string(to.Raw), string(got.Raw))
			must.Eq(t, ident.Epoch(7), got.Epoch)
		}
	}
	must.Greater(t, 100, made)
}

// A delta that is laid over anything but the configuration that it was made from, or that
// was changed on its way, is refused.
func TestDeltaOverAnotherBaseIsRefused(t *testing.T) {
	from, to := many(t, 1, 20, 500), many(t, 2, 20, 900)
	d, ok := Between(from, to)
	must.True(t, ok)
	_, fault := d.Apply(many(t, 1, 21, 500).Raw)
	must.NotNil(t, fault)
	spoilt := d
	spoilt.Patch = bytes.Replace(d.Patch, []byte("900"), []byte("901"), 1)
	_, fault = spoilt.Apply(from.Raw)
	must.NotNil(t, fault)
	spoilt.Patch = json.RawMessage(`{"ways":`)
	_, fault = spoilt.Apply(from.Raw)
	must.NotNil(t, fault)
	_, fault = d.Apply(from.Raw)
	must.Nil(t, fault)
}

// A change of one route costs the same however many routes there are.
func TestDeltaCostsWhatChanged(t *testing.T) {
	sizes := map[int]int{}
	for _, routes := range []int{10, 100, 1000} {
		d, ok := Between(many(t, 1, routes, 500), many(t, 2, routes, 900))
		must.True(t, ok)
		sizes[routes] = len(operation.Encode(d))
	}
	must.Eq(t, sizes[10], sizes[1000])
	must.Eq(t, sizes[100], sizes[1000])
	must.Less(t, 250, sizes[1000])
}

// A route that goes is told by its name alone, and a configuration of which nothing stays is not
// told by difference at all.
func TestDeltaOfWhatGoes(t *testing.T) {
	const routes = 100
	before, after := many(t, 1, routes, 500), many(t, 2, routes-1, 500)
	d, ok := Between(before, after)
	must.True(t, ok)
	must.Less(t, 250, len(operation.Encode(d)))
	got, fault := d.Apply(before.Raw)
	must.Nil(t, fault)
	must.Eq(t, string(after.Raw), string(got.Raw))
	_, ok = Between(before, version(t, 2, `{"other":1}`))
	must.False(t, ok)
}

// The history gives a delta from every version that it keeps to the newest, from no other,
// and keeps no more than its bounds; the version before the newest is always kept.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for epoch := ident.Epoch(1); epoch <= 3*historyMost; epoch++ {
		h.Add(many(t, epoch, 30, int(epoch)))
		h.Add(many(t, epoch, 30, 77)) // the same revision again is no news
		for from := ident.Epoch(0); from <= epoch+1; from++ {
			d := h.Since(from)
			must.Eq(t, d != nil, from > 0 && from < epoch && from+historyMost > epoch, must.Sprint(from, epoch))
			if d != nil {
				got, fault := d.Apply(many(t, from, 30, int(from)).Raw)
				must.Nil(t, fault)
				must.Eq(t, string(many(t, epoch, 30, int(epoch)).Raw), string(got.Raw))
			}
		}
	}
	large := 30 * historyBytes / len(many(t, 1, 30, 1).Raw)
	h.Add(many(t, 1000, large, 1))
	h.Add(many(t, 1001, large, 2))
	must.SliceLen(t, 2, h.versions)
	must.NotNil(t, h.Since(1000))
}

// What is packed comes back; what is no packed form, or is too large, is refused.
func TestPackedComesBack(t *testing.T) {
	raw := many(t, 1, 300, 5).Raw
	packed := Pack(raw).Bytes()
	must.Less(t, len(raw)/4, len(packed))
	got, d := Unpack(packed, len(raw))
	must.Nil(t, d)
	must.Eq(t, string(raw), string(got))
	_, d = Unpack(packed, len(raw)-1)
	must.NotNil(t, d)
	_, d = Unpack(packed[:len(packed)/2], len(raw))
	must.NotNil(t, d)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		junk := make([]byte, rng.IntN(300))
		for i := range junk {
			junk[i] = byte(rng.Uint32())
		}
		if got, d := Unpack(junk, 1000); d == nil {
			must.LessEq(t, 1000, len(got))
		}
	}
}
