package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/retrybudget"
	"github.com/shoenig/test/must"
)

// A bad boot names every fault with its path, all at once.
func TestEveryFaultIsNamed(t *testing.T) {
	_, fail := ReadCore(map[string]any{"address": "host:1", "district": "", "seeds": []any{"1.2.3.4:5", "1.2.3.4:5", "x"}, "surprise": true, "voters": "two"})
	must.NotNil(t, fail)
	must.Eq(t, failure.BadSettings, fail.Kind)
	for _, path := range []string{"address", "district", "seeds", "surprise", "voters", "data"} {
		found := false
		for _, fault := range fail.Faults {
			found = found || fault.Path == path
		}
		must.True(t, found, must.Sprintf("%s is not named in %v", path, fail.Faults))
	}
	_, fail = ReadSidecar(map[string]any{"address": "127.0.0.1:1", "caller": "127.0.0.1:1", "data": "x"})
	must.NotNil(t, fail)
	must.Eq(t, 4, len(fail.Faults), must.Sprint(fail.Faults)) // caller, data, district, seeds
}

// The sample boot files of both deployments are good.
func TestSamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../samples/*/*.json")
	must.NoError(t, err)
	must.Greater(t, 4, len(files))
	for _, file := range files {
		values, fail := Flags{}.Load(file)
		must.Nil(t, fail, must.Sprint(file))
		if _, is := values["ways"]; is {
			continue
		}
		if _, is := values["caller"]; is {
			_, fail = ReadSidecar(values)
		} else {
			_, fail = ReadCore(values)
		}
		must.Nil(t, fail, must.Sprintf("%s: %v", file, fail))
	}
}

// A flag goes before the file.
func TestFlagsGoFirst(t *testing.T) {
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

// The bound of further tries comes from the boot, and has defaults.
func TestRetryBudgetSettings(t *testing.T) {
	base := func(overrides map[string]any) map[string]any {
		values := map[string]any{"address": "127.0.0.1:1", "caller": "127.0.0.1:2", "district": "d", "seeds": []any{"127.0.0.1:3"}}
		for k, v := range overrides {
			values[k] = v
		}
		return values
	}
	sidecar, fail := ReadSidecar(base(nil))
	must.Nil(t, fail)
	must.Eq(t, retrybudget.Limits{Extra: 60, Window: 10 * time.Second, Ratio: 0.2}, sidecar.RetryBudget)
	sidecar, fail = ReadSidecar(base(map[string]any{"allowanceExtra": json.Number("208"), "allowanceWindowS": json.Number("4.5"), "allowanceRatio": json.Number("0"), "allowanceInner": true}))
	must.Nil(t, fail)
	must.Eq(t, retrybudget.Limits{Extra: 208, Window: 4500 * time.Millisecond, Ratio: -1, CountNested: true}, sidecar.RetryBudget)
	_, fail = ReadSidecar(base(map[string]any{"allowanceWindowS": json.Number("0"), "allowanceRatio": json.Number("2"), "allowanceExtra": json.Number("-1")}))
	must.Eq(t, 3, len(fail.Faults))
	core, fail := ReadCore(map[string]any{"address": "127.0.0.1:1", "district": "d", "seeds": []any{"127.0.0.1:3"}, "data": "x", "allowanceExtra": json.Number("0")})
	must.Nil(t, fail)
	must.Eq(t, -1, core.RetryLimit)
}
