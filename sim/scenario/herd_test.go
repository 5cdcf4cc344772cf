package scenario

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/world"
)

// herdMessageCost is how long a message takes a core with a tenth of a processor.
const herdMessageCost = 2 * time.Millisecond

// herd69 and herd84 are as samples/herd-69.json and samples/herd-84.json.
var (
	herd69 = herdDeployment("herd-69", 3, 1, 69)
	herd84 = herdDeployment("herd-84", 5, 7, 84)
)

// herdDeployment is a deployment with one service that has an endpoint beside each sidecar.
func herdDeployment(name string, cores, extraCores, sidecars int) Deployment {
	return Deployment{Name: name, Cores: cores, ExtraCores: extraCores, Sidecars: sidecars, Zones: 4, Rate: 80, Locks: 5, Keys: 300, CoordinationRate: 15, ConfigInterval: 4 * time.Second,
		Services: []Service{{"shop.example", "shop.example", sidecars}},
		RequestKinds: []world.RequestKind{{Name: "look", Method: "GET", Host: "shop.example", Path: "/items", Service: "shop.example", Weight: 4},
			{Name: "buy", Method: "POST", Host: "shop.example", Path: "/orders", Service: "shop.example", Weight: 1}}}
}

// herdDay is a day of one herd, with cores that have little processor time.
func herdDay(seed uint64, fault string) Options {
	return Options{Seed: seed, Duration: 16 * time.Second, LoadFactor: 1, CoreMessageCost: herdMessageCost, Schedule: []ScheduledFault{{fault, 2 * time.Second}}}
}

// Sidecars that start together, after any of the faults that cause it, are all ready in time,
// though every message costs the cores time; no other rule breaks.
func TestHerdsAreReadyInTime(t *testing.T) {
	for _, deployment := range []Deployment{herd69, herd84} {
		for fault := range herdFaults {
			t.Run(deployment.Name+" "+fault, func(t *testing.T) {
				t.Parallel()
				w := Simulate(deployment, herdDay(1, fault))
				must.SliceEmpty(t, w.Checker.Violations, must.Sprint(w.Report()))
				must.GreaterEq(t, 10, w.Checker.Observed[invariant.HerdReady])
			})
		}
	}
}

// The faults of herds run only if they are named, so known seeds draw what they always drew.
func TestHerdsAreNotDrawn(t *testing.T) {
	for _, platform := range []bool{false, true} {
		r := &Run{World: &world.World{Platform: platform}}
		for fault := range herdFaults {
			must.False(t, slices.Contains(r.drawableFaults(), fault))
			must.Nil(t, Options{Duration: time.Minute, LoadFactor: 1, Schedule: []ScheduledFault{{fault, time.Second}}}.Validate())
		}
	}
}
