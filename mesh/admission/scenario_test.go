package admission_test

import (
	"fmt"
	"time"
)

// requestKind is one kind of request in the simulation.
type requestKind struct {
	name             string
	share            float64 // fraction of arrivals
	rank             int
	meanServiceTime  time.Duration
	spread           float64 // sigma of the lognormal distribution of the service time
	tailFactor       float64 // service time factor for one request in a hundred
	target, deadline time.Duration
	value, lateValue float64
	notRepeatable    bool
	bytes            int64
}

// fault affects some endpoints for a limited time.
type fault struct {
	servers     int // number of affected servers, starting with the first
	from, to    time.Duration
	slowdown    float64 // service time factor; 0 means no slowdown
	failureRate float64 // fraction of failed runs
}

// affects reports whether a fault affects a server at a time since the start.
func (f fault) affects(server int, elapsed time.Duration) bool {
	return server < f.servers && elapsed >= f.from && elapsed < f.to
}

// scenario describes the mesh and the traffic of a simulation. load is the utilization of all
// slots without faults.
type scenario struct {
	clients, servers, zones int
	kinds                   []requestKind
	speeds                  []float64
	load, wave, burst       float64 // burst is a load factor for 3 s, starting at 10 s
	batch                   int
	length                  time.Duration
	faults                  []fault
	slowStart               time.Duration // duration of the slow start of the last server, which joins at 5 s
	resetWhenFull           bool          // a full endpoint resets the connection
}

var (
	mixedKinds = []requestKind{
		{
			name:            "lookup",
			share:           0.55,
			rank:            1,
			meanServiceTime: 59 * ms,
			spread:          0.8,
			tailFactor:      3,
			target:          300 * ms,
			deadline:        1200 * ms,
			value:           2,
			lateValue:       0.6,
			bytes:           1500,
		},
		{
			name:            "booking",
			share:           0.15,
			rank:            1,
			meanServiceTime: 140 * ms,
			spread:          0.5,
			tailFactor:      5,
			target:          600 * ms,
			deadline:        1500 * ms,
			value:           2,
			lateValue:       0.2,
			notRepeatable:   true,
			bytes:           5000,
		},
		{
			name:            "pull",
			share:           0.3,
			rank:            2,
			meanServiceTime: 120 * ms,
			spread:          0.3,
			tailFactor:      5,
			target:          500 * ms,
			deadline:        2000 * ms,
			value:           1,
			lateValue:       0.3,
			bytes:           90000,
		},
	}
	smallMesh = scenario{
		clients: 9,
		servers: 6,
		zones:   3,
		kinds:   mixedKinds,
		speeds:  []float64{0.5, 1, 1, 1.5},
		load:    0.75,
		wave:    0.2,
		burst:   1,
		batch:   2,
		length:  20 * time.Second,
	}
	largeMesh = scenario{
		clients: 69,
		servers: 53,
		zones:   4,
		kinds:   mixedKinds,
		speeds:  []float64{0.7, 0.7, 1.6},
		load:    0.75,
		wave:    0.2,
		burst:   1,
		batch:   2,
		length:  20 * time.Second,
	}
)

func modified(scenario scenario, change func(*scenario)) scenario { change(&scenario); return scenario }

// scenarios returns all scenarios, each for a small and a large mesh.
func scenarios() (names []string, all []scenario) {
	add := func(name string, change func(*scenario)) {
		for i, base := range []scenario{smallMesh, largeMesh} {
			names = append(names, fmt.Sprint([]string{"small ", "large "}[i], name))
			all = append(all, modified(base, change))
		}
	}
	faultyServers := func(base *scenario) int { return max(1, base.servers/7) }
	add("calm", func(*scenario) {})
	add("full", func(base *scenario) { base.load = 0.9 })
	add("burst", func(base *scenario) { base.burst = 1.7 })
	add("overload", func(base *scenario) { base.load = 1.4 })
	add("slow", func(base *scenario) {
		base.faults = []fault{{servers: faultyServers(base), from: 6 * time.Second, to: 13 * time.Second, slowdown: 5}}
	})
	add("failing", func(base *scenario) {
		base.faults = []fault{{servers: faultyServers(base), from: 6 * time.Second, to: 13 * time.Second, failureRate: 0.5}}
	})
	add("slow start", func(base *scenario) { base.slowStart = 3 * time.Second })
	add("reset", func(base *scenario) { base.burst, base.resetWhenFull = 1.7, true })
	return names, all
}
