package scenario

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/world"
)

// herdMessageCost is how long a core with a tenth of a CPU takes for one message.
const herdMessageCost = 2 * time.Millisecond

// herd69 and herd84 match samples/herd-69.json and samples/herd-84.json.
var (
	herd69 = herdDeployment("herd-69", 3, 1, 69)
	herd84 = herdDeployment("herd-84", 5, 7, 84)
)

// herdDeployment returns a deployment with one service and one endpoint per sidecar.
func herdDeployment(name string, cores, extraCores, sidecars int) Deployment {
	return Deployment{Name: name, Cores: cores, ExtraCores: extraCores, Sidecars: sidecars, Zones: 4, Rate: 80, Locks: 5, Keys: 300, CoordinationRate: 15, ConfigInterval: 4 * time.Second,
		Services: []Service{{"shop.example", "shop.example", sidecars}},
		RequestKinds: []world.RequestKind{{Name: "look", Method: "GET", Host: "shop.example", Path: "/items", Service: "shop.example", Weight: 4},
			{Name: "buy", Method: "POST", Host: "shop.example", Path: "/orders", Service: "shop.example", Weight: 1}}}
}

// herdOptions returns the options of a run with one herd fault and with cores that have little CPU
// time.
func herdOptions(seed uint64, fault string) Options {
	return Options{Seed: seed, Duration: 16 * time.Second, LoadFactor: 1, CoreMessageCost: herdMessageCost, Schedule: []ScheduledFault{{fault, 2 * time.Second}}}
}

// After each herd fault all sidecars are ready in time, although every message costs the cores CPU
// time, and no rule is violated.
func TestHerdBecomesReadyInTime(t *testing.T) {
	for _, deployment := range []Deployment{herd69, herd84} {
		for fault := range herdFaults {
			t.Run(deployment.Name+" "+fault, func(t *testing.T) {
				t.Parallel()
				w := Simulate(deployment, herdOptions(1, fault))
				must.SliceEmpty(t, w.Checker.Violations, must.Sprint(w.Report()))
				must.GreaterEq(t, 10, w.Checker.Observed[invariant.HerdReady])
			})
		}
	}
}

// Herd faults run only if they are selected by name: as random faults they would change which faults
// known seeds select.
func TestHerdFaultsAreNotRandom(t *testing.T) {
	for _, platform := range []bool{false, true} {
		r := &Run{World: &world.World{Platform: platform}}
		for fault := range herdFaults {
			must.False(t, slices.Contains(r.randomFaultNames(), fault))
			must.Nil(t, Options{Duration: time.Minute, LoadFactor: 1, Schedule: []ScheduledFault{{fault, time.Second}}}.Validate())
		}
	}
}
