package run

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/scenario"
)

func buildBinary(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "cottonarch")
	out, err := exec.Command("go", "build", "-o", bin, "cottonarch.example/cottonarch/cmd/cottonarch").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return bin
}

// runDeployment runs a deployment as real processes and checks that no rule was violated.
func runDeployment(t *testing.T, options Options) *Fleet {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	options.Binary, options.Dir, options.Scale, options.Logf = buildBinary(t), t.TempDir(), 1, t.Logf
	f, err := Start(options)
	if f != nil {
		t.Cleanup(f.Stop)
	}
	must.NoError(t, err)
	f.Run()
	must.SliceEmpty(t, f.Checker.Violations, must.Sprint(f.Report()))
	must.Greater(t, 1000, f.Counts["calls served"])
	return f
}

// A small deployment of real processes obeys all rules under traffic with a killed core, a lost disk,
// an isolated sidecar, planned stops and a reused address.
func TestRealProcesses(t *testing.T) {
	d := scenario.Deployments["prairie"]
	d.Sidecars, d.Rate, d.CoordinationRate = 4, 80, 20
	d.Services = []scenario.Service{
		{Name: "accounts.prairie", Host: "accounts.bank", Endpoints: 3},
		{Name: "payments.prairie", Host: "payments.bank", Endpoints: 3},
	}
	f := runDeployment(t, Options{Deployment: d, Duration: 45 * time.Second, FaultInterval: 500 * time.Millisecond, Seed: 3,
		Faults: []string{"endpoint-reuse", "core-kill", "side-stop", "core-empty", "side-cut", "core-stop"}})
	must.Greater(t, 5, f.Counts["manifests confirmed"])
	must.Positive(t, f.Counts["new disks that vote"])
}

// A deployment of real processes obeys all rules with faults that affect several machines: all cores
// isolated from the sidecars with a sidecar restart meanwhile, partitioned cores, a burst of
// configurations, a large configuration, a hung endpoint and a service without endpoints. Some
// configurations are delayed by a recorded outage.
func TestRealProcessesPartitionsAndServiceOutage(t *testing.T) {
	d := scenario.Deployments["volta"]
	d.Cores, d.Sidecars, d.Rate, d.CoordinationRate = 3, 4, 80, 30
	f := runDeployment(t, Options{Deployment: d, Duration: 42 * time.Second, FaultInterval: 300 * time.Millisecond, Seed: 4,
		Faults: []string{"core-isolated", "endpoint-hang", "core-split", "burst", "service-empty", "manifest-large"}})
	must.Greater(t, 50, f.Checker.Observed["manifest-late"])
	must.Positive(t, f.Checker.Observed["late-to-leaver"])
	must.MapNotEmpty(t, f.Checker.Delayed["manifest-late"])
}

// soakSeed is the seed of TestSoak. Other seeds are run by hand (docs/simulate.md).
const soakSeed = 11

// A short soak test: clients with persistent connections abandon some requests, while planned stops and
// kills of sidecars overlap with replaced endpoints, heartbeats that arrive after their endpoint has
// deregistered, reused addresses, and configurations in quick succession.
func TestSoak(t *testing.T) {
	d := scenario.Deployments["prairie"]
	d.Sidecars, d.Rate, d.CoordinationRate = 5, 100, 10
	f := runDeployment(t, Options{
		Deployment:        d,
		Duration:          30 * time.Second,
		FaultInterval:     200 * time.Millisecond,
		Seed:              soakSeed,
		Faults:            []string{"side-stop", "side-kill"},
		OverlappingFaults: []string{"endpoint-replace", "manifest-storm", "endpoint-late-beat", "burst", "endpoint-reuse"},
		AbandonShare:      0.5,
		LongShare:         0.1,
	})
	must.Greater(t, 50, f.Checker.Observed[ruleAbandonedWork])
	must.GreaterEq(t, minLongExecutions, f.Counts["long runs of clients that left"])
}

// Invalid settings end the program with exit code 2 and an error that names every fault; a simulation
// that violates a rule ends with exit code 1.
func TestExitCodes(t *testing.T) {
	bin := buildBinary(t)
	settingsFile := filepath.Join(t.TempDir(), "bad.json")
	must.NoError(t, os.WriteFile(settingsFile, []byte(`{"address":"nowhere","surprise":1}`), 0o600))
	for _, c := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"core", "--boot", settingsFile}, 2, []string{"address", "surprise", "district", "data", "seeds"}},
		{[]string{"sidecar", "--boot", settingsFile}, 2, []string{"address", "surprise", "district", "caller", "seeds"}},
		{[]string{"core", "--boot", "/does/not/exist.json"}, 2, []string{"exist.json"}},
		{[]string{"simulate", "--faults", "nope", "--for", "1s"}, 2, []string{"faults", "for"}},
		{[]string{"simulate", "--break", "retry", "--for", "20s"}, 1, []string{"double-run"}},
		{[]string{"simulate", "--deployment", "../../samples/what-if.json", "--for", "10s"}, 0,
			[]string{"every rule that was looked at held", "seldom to judge"}},
	} {
		out, err := exec.Command(bin, c.args...).CombinedOutput()
		code := 0
		var exit *exec.ExitError
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		}
		must.Eq(t, c.code, code, must.Sprintf("%v: %s", c.args, out))
		for _, w := range c.want {
			must.True(t, strings.Contains(string(out), w), must.Sprintf("%v does not name %s: %s", c.args, w, out))
		}
	}
}
