package sidecar

import (
	"encoding/json"
	"testing"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/mesh/admission"
	"cottonarch.example/cottonarch/settings"
)

// Gauges and counters, including those with a reason, are also published under their names of
// earlier releases, with the same values.
func TestMetricsHaveTheirDeprecatedNames(t *testing.T) {
	s := New(settings.Sidecar{}, zap.NewNop())
	s.count(counterResponses)
	s.count(counterAdmissionRejectedPrefix + string(admission.Busy))
	s.setGauge(gaugeRetriesPrefix+"a.x", 3)
	all := s.Metrics.Snapshot()
	for name, deprecated := range map[string]string{
		"responses":               "returns",
		"admission_rejected_busy": "bay_turned_away_busy",
		"retries.a.x":             "further_tries.a.x",
		"config_revision":         "manifest_epoch",
		"in_flight":               "in_hand",
	} {
		value, published := all[name]
		must.True(t, published, must.Sprint(name))
		old, published := all[deprecated]
		must.True(t, published, must.Sprint(deprecated))
		must.Eq(t, value, old, must.Sprint(name))
	}
	must.Eq(t, 1, all["returns"])
	must.Eq(t, 3, all["further_tries.a.x"])
}

// The status page has the keys of earlier releases beside the new ones.
func TestStatusHasItsDeprecatedKeys(t *testing.T) {
	s := New(settings.Sidecar{Node: "n"}, zap.NewNop())
	s.leaseEpoch = 7
	raw, err := json.Marshal(s.Status())
	must.NoError(t, err)
	var got map[string]any
	must.NoError(t, json.Unmarshal(raw, &got))
	for key, want := range map[string]any{
		"node":           "n",
		"claim":          7.0,
		"leaseEpoch":     7.0,
		"manifest":       0.0,
		"configRevision": 0.0,
		"ready":          false,
		"sets":           0.0,
		"share":          0.0,
		"shareGranted":   0.0,
	} {
		must.Eq(t, want, got[key], must.Sprint(key))
	}
	for _, key := range []string{"cores", "workloads"} {
		must.MapContainsKey(t, got, key)
	}
}
