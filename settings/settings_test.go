package settings

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/retrybudget"
	"github.com/shoenig/test/must"
)

// The failure for invalid settings reports all faults, each with its path.
func TestEveryFaultIsReported(t *testing.T) {
	_, fail := ReadCore(map[string]any{
		"address":  "host:1",
		"district": "",
		"seeds":    []any{"1.2.3.4:5", "1.2.3.4:5", "x"},
		"surprise": true,
		"voters":   "two",
	})
	must.NotNil(t, fail)
	must.Eq(t, failure.BadSettings, fail.Kind)
	for _, path := range []string{"address", "district", "seeds", "surprise", "voters", "data"} {
		found := false
		for _, fault := range fail.Faults {
			found = found || fault.Path == path
		}
		must.True(t, found, must.Sprintf("no fault with path %s in %v", path, fail.Faults))
	}
	_, fail = ReadSidecar(map[string]any{"address": "127.0.0.1:1", "caller": "127.0.0.1:1", "data": "x"})
	must.NotNil(t, fail)
	must.Eq(t, 4, len(fail.Faults), must.Sprint(fail.Faults)) // caller, data, zone, seeds
}

// The sample settings files of both deployments are valid.
func TestSampleSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../samples/*/*.json")
	must.NoError(t, err)
	must.Greater(t, 4, len(files))
	for _, file := range files {
		values, fail := Flags{}.Load(file)
		must.Nil(t, fail, must.Sprint(file))
		if _, found := values["ways"]; found {
			continue
		}
		if _, found := values[keyClientAddress]; found {
			_, fail = ReadSidecar(values)
		} else {
			_, fail = ReadCore(values)
		}
		must.Nil(t, fail, must.Sprintf("%s: %v", file, fail))
	}
}

// A flag overrides the file.
func TestFlagsOverrideTheFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "b.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"address":"127.0.0.1:1","district":"a","seeds":["127.0.0.1:1"],"data":"d"}`), 0o600))
	values, fail := Flags{Zone: "b"}.Load(file)
	must.Nil(t, fail)
	core, fail := ReadCore(values)
	must.Nil(t, fail)
	must.Eq(t, "b", string(core.Zone))
	must.Eq(t, 1, len(core.Founders))
	must.Eq(t, time.Minute, core.WatchHistory)
	values["historyS"] = json.Number("2.5")
	core, fail = ReadCore(values)
	must.Nil(t, fail)
	must.Eq(t, 2500*time.Millisecond, core.WatchHistory)
	values["historyS"] = json.Number("0")
	_, fail = ReadCore(values)
	must.NotNil(t, fail)
}

// The limits of the retry budget are read from the settings and have defaults.
func TestRetryBudgetSettings(t *testing.T) {
	withDefaults := func(overrides map[string]any) map[string]any {
		values := map[string]any{"address": "127.0.0.1:1", "caller": "127.0.0.1:2", "district": "d", "seeds": []any{"127.0.0.1:3"}}
		for k, v := range overrides {
			values[k] = v
		}
		return values
	}
	sidecar, fail := ReadSidecar(withDefaults(nil))
	must.Nil(t, fail)
	must.Eq(t, retrybudget.Limits{Extra: 60, Window: 10 * time.Second, Ratio: 0.2}, sidecar.RetryBudget)
	sidecar, fail = ReadSidecar(withDefaults(map[string]any{
		"allowanceExtra":   json.Number("208"),
		"allowanceWindowS": json.Number("4.5"),
		"allowanceRatio":   json.Number("0"),
		"allowanceInner":   true,
	}))
	must.Nil(t, fail)
	must.Eq(t, retrybudget.Limits{Extra: 208, Window: 4500 * time.Millisecond, Ratio: -1, CountNested: true}, sidecar.RetryBudget)
	_, fail = ReadSidecar(withDefaults(map[string]any{
		"allowanceWindowS": json.Number("0"),
		"allowanceRatio":   json.Number("2"),
		"allowanceExtra":   json.Number("-1"),
	}))
	must.Eq(t, 3, len(fail.Faults))
	core, fail := ReadCore(map[string]any{
		"address":        "127.0.0.1:1",
		"district":       "d",
		"seeds":          []any{"127.0.0.1:3"},
		"data":           "x",
		"allowanceExtra": json.Number("0"),
	})
	must.Nil(t, fail)
	must.Eq(t, -1, core.RetryLimit)
}

// currentSettings and deprecatedSettings are the same settings under the current keys and under the
// deprecated keys of the last release.
var (
	currentSettings = map[string]any{"address": "127.0.0.1:1", "clientAddress": "127.0.0.1:2", "zone": "z", "seeds": []any{"127.0.0.1:3"}, "maxInFlight": json.Number("7"),
		"retryExtra": json.Number("8"), "retryWindowS": json.Number("9"), "retryRatio": json.Number("0.5"), "retryNested": true, "crossZoneMsPerKB": json.Number("10"), "maxBodyMiB": json.Number("11")}
	deprecatedSettings = map[string]any{"address": "127.0.0.1:1", "caller": "127.0.0.1:2", "district": "z", "seeds": []any{"127.0.0.1:3"}, "hand": json.Number("7"),
		"allowanceExtra": json.Number("8"), "allowanceWindowS": json.Number("9"), "allowanceRatio": json.Number("0.5"), "allowanceInner": true, "crossMsPerKB": json.Number("10"), "bulkMiB": json.Number("11")}
)

// A setting is read under its deprecated key as under its current one, and each deprecated key is
// reported.
func TestDeprecatedKeysAreRead(t *testing.T) {
	want, fail := ReadSidecar(currentSettings)
	must.Nil(t, fail)
	must.SliceEmpty(t, want.DeprecatedKeys)
	must.Eq(t, 7, want.MaxInFlight)
	must.Eq(t, retrybudget.Limits{Extra: 8, Window: 9 * time.Second, Ratio: 0.5, CountNested: true}, want.RetryBudget)
	must.Eq(t, 10*time.Millisecond, want.CrossZoneCostPerKB)
	must.Eq(t, 11<<20, want.MaxBodyBytes)

	got, fail := ReadSidecar(deprecatedSettings)
	must.Nil(t, fail)
	must.Len(t, len(deprecatedNames), got.DeprecatedKeys)
	for _, key := range got.DeprecatedKeys {
		must.Eq(t, key.Old, deprecatedNames[key.New])
	}
	got.DeprecatedKeys = nil
	must.Eq(t, want, got)

	core, fail := ReadCore(map[string]any{"address": "127.0.0.1:1", "district": "z", "seeds": []any{"127.0.0.1:3"}, "data": "x"})
	must.Nil(t, fail)
	must.Eq(t, []DeprecatedKey{{Old: "district", New: "zone"}}, core.DeprecatedKeys)
}

// A fault is reported under the name that the file uses for the key, and a key that is given under
// both its current and its deprecated name is a fault. A flag overrides the key under either name.
func TestFaultsOfDeprecatedKeys(t *testing.T) {
	for _, old := range deprecatedNames {
		values := maps.Clone(deprecatedSettings)
		values[old] = json.Number("-1")
		_, fail := ReadSidecar(values)
		must.NotNil(t, fail, must.Sprint(old))
		must.Eq(t, old, fail.Faults[0].Path)
	}
	for key, old := range deprecatedNames {
		values := maps.Clone(currentSettings)
		values[old] = values[key]
		_, fail := ReadSidecar(values)
		must.NotNil(t, fail, must.Sprint(old))
		must.Eq(t, old, fail.Faults[0].Path)
	}
	_, fail := ReadSidecar(map[string]any{})
	must.NotNil(t, fail)
	must.StrContains(t, fail.Error(), `zone: must be given ("district" until the last release)`)
	must.StrContains(t, fail.Error(), `clientAddress: must be given ("caller" until the last release)`)
	values := maps.Clone(deprecatedSettings)
	override(values, keyZone, "flag")
	sidecar, fail := ReadSidecar(values)
	must.Nil(t, fail)
	must.Eq(t, "flag", string(sidecar.Zone))
}
