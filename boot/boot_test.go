package boot

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/mesh/allowance"
	"github.com/shoenig/test/must"
)

// A bad boot names every fault with its path, all at once.
func TestEveryFaultIsNamed(t *testing.T) {
	_, d := ReadCore(map[string]any{"address": "host:1", "district": "", "seeds": []any{"1.2.3.4:5", "1.2.3.4:5", "x"}, "surprise": true, "voters": "two"})
	must.NotNil(t, d)
	must.Eq(t, failure.BadSettings, d.Kind)
	for _, path := range []string{"address", "district", "seeds", "surprise", "voters", "data"} {
		found := false
		for _, f := range d.Faults {
			found = found || f.Path == path
		}
		must.True(t, found, must.Sprintf("%s is not named in %v", path, d.Faults))
	}
	_, d = ReadSidecar(map[string]any{"address": "127.0.0.1:1", "caller": "127.0.0.1:1", "data": "x"})
	must.NotNil(t, d)
	must.Eq(t, 4, len(d.Faults), must.Sprint(d.Faults)) // caller, data, district, seeds
}

// The sample boot files of both deployments are good.
func TestSamplesAreGood(t *testing.T) {
	files, err := filepath.Glob("../samples/*/*.json")
	must.NoError(t, err)
	must.Greater(t, 4, len(files))
	for _, f := range files {
		m, d := Flags{}.Load(f)
		must.Nil(t, d, must.Sprint(f))
		if _, is := m["ways"]; is {
			continue
		}
		if _, is := m["caller"]; is {
			_, d = ReadSidecar(m)
		} else {
			_, d = ReadCore(m)
		}
		must.Nil(t, d, must.Sprintf("%s: %v", f, d))
	}
}

// A flag goes before the file.
func TestFlagsGoFirst(t *testing.T) {
	file := filepath.Join(t.TempDir(), "b.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"address":"127.0.0.1:1","district":"a","seeds":["127.0.0.1:1"],"data":"d"}`), 0o600))
	m, d := Flags{District: "b"}.Load(file)
	must.Nil(t, d)
	c, d := ReadCore(m)
	must.Nil(t, d)
	must.Eq(t, "b", string(c.District))
	must.Eq(t, 1, len(c.Founders))
	must.Eq(t, time.Minute, c.History)
	m["historyS"] = json.Number("2.5")
	c, d = ReadCore(m)
	must.Nil(t, d)
	must.Eq(t, 2500*time.Millisecond, c.History)
	m["historyS"] = json.Number("0")
	_, d = ReadCore(m)
	must.NotNil(t, d)
}

// The bound of further tries comes from the boot, and has defaults.
func TestTermsOfFurtherTries(t *testing.T) {
	base := func(more map[string]any) map[string]any {
		m := map[string]any{"address": "127.0.0.1:1", "caller": "127.0.0.1:2", "district": "d", "seeds": []any{"127.0.0.1:3"}}
		for k, v := range more {
			m[k] = v
		}
		return m
	}
	s, d := ReadSidecar(base(nil))
	must.Nil(t, d)
	must.Eq(t, allowance.Terms{Extra: 60, Window: 10 * time.Second, Ratio: 0.2}, s.Terms)
	s, d = ReadSidecar(base(map[string]any{"allowanceExtra": json.Number("208"), "allowanceWindowS": json.Number("4.5"), "allowanceRatio": json.Number("0"), "allowanceInner": true}))
	must.Nil(t, d)
	must.Eq(t, allowance.Terms{Extra: 208, Window: 4500 * time.Millisecond, Ratio: -1, Inner: true}, s.Terms)
	_, d = ReadSidecar(base(map[string]any{"allowanceWindowS": json.Number("0"), "allowanceRatio": json.Number("2"), "allowanceExtra": json.Number("-1")}))
	must.Eq(t, 3, len(d.Faults))
	c, d := ReadCore(map[string]any{"address": "127.0.0.1:1", "district": "d", "seeds": []any{"127.0.0.1:3"}, "data": "x", "allowanceExtra": json.Number("0")})
	must.Nil(t, d)
	must.Eq(t, -1, c.Extra)
}
