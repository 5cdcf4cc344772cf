package plan

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/sim/world"
)

// herdCost is what a message costs a core with a tenth of a processor.
const herdCost = 2 * time.Millisecond

// herd69 and herd84 are as samples/herd-69.json and samples/herd-84.json.
var (
	herd69 = herdOf("herd-69", 3, 1, 69)
	herd84 = herdOf("herd-84", 5, 7, 84)
)

func herdOf(name string, cores, more, sides int) Deployment {
	return Deployment{Name: name, Cores: cores, MoreCores: more, Sides: sides, Districts: 4, Rate: 80, Locks: 5, Keys: 300, Coord: 15, Manifests: 4 * time.Second,
		Services: []Service{{"shop.example", "shop.example", sides}},
		Kinds: []world.Kind{{Name: "look", Method: "GET", Host: "shop.example", Path: "/items", Service: "shop.example", Weight: 4},
			{Name: "buy", Method: "POST", Host: "shop.example", Path: "/orders", Service: "shop.example", Weight: 1}}}
}

// herdDay is a day of one herd, with cores that have little processor time.
func herdDay(seed uint64, fault string) What {
	return What{Seed: seed, For: 16 * time.Second, Burden: 1, Cost: herdCost, At: []Timed{{fault, 2 * time.Second}}}
}

// Sidecars that come together, after any of the losses that bring herds about, are all
// ready in time, though every message costs their cores time; no other rule breaks.
func TestHerdsAreReadyInTime(t *testing.T) {
	for _, d := range []Deployment{herd69, herd84} {
		for fault := range herds {
			t.Run(d.Name+" "+fault, func(t *testing.T) {
				t.Parallel()
				w := Simulate(d, herdDay(1, fault))
				must.SliceEmpty(t, w.Check.Breaches, must.Sprint(w.Text()))
				must.GreaterEq(t, 10, w.Check.Seen[check.HerdReady])
			})
		}
	}
}

// The faults of herds are run only when they are named, so known seeds draw what they drew.
func TestHerdsAreNotDrawn(t *testing.T) {
	for _, platform := range []bool{false, true} {
		r := &Run{World: &world.World{Platform: platform}}
		for fault := range herds {
			must.False(t, slices.Contains(r.drawn(), fault))
			must.Nil(t, What{For: time.Minute, Burden: 1, At: []Timed{{fault, time.Second}}}.Check())
		}
	}
}
