// Package scenario sets up a deployment, its load and its faults from a description and
// a seed.
package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// Deployment describes who runs what.
type Deployment struct {
	Name             string
	Cores            int
	ExtraCores       int // beyond those that form the first roster
	Sidecars         int
	Zones            int
	Services         []Service
	RequestKinds     []world.RequestKind
	Rate             float64 // requests a second, over all machines
	Locks            int
	Keys             int
	CoordinationRate float64 // coordination calls a second
	ConfigInterval   time.Duration
}

// Service is a service with its number of endpoints.
type Service struct {
	Name      ident.Service
	Host      string
	Endpoints int
}

// Deployments are those of the brief.
var Deployments = map[string]Deployment{
	"prairie": {Name: "prairie", Cores: 3, Sidecars: 9, Zones: 3, Rate: 450, Locks: 80, Keys: 300, CoordinationRate: 50, ConfigInterval: 1500 * time.Millisecond,
		Services: []Service{{"accounts.prairie", "accounts.bank", 5}, {"payments.prairie", "payments.bank", 4}},
		RequestKinds: []world.RequestKind{{Name: "balance", Method: "GET", Host: "accounts.bank", Path: "/balance", Service: "accounts.prairie", Weight: 50},
			{Name: "statement", Method: "GET", Host: "accounts.bank", Path: "/statements/2026", Service: "accounts.prairie", Weight: 15, Repeat: "one_shot"},
			{Name: "move", Method: "POST", Host: "payments.bank", Path: "/moves", Service: "payments.prairie", Weight: 15},
			{Name: "bill", Method: "POST", Host: "payments.bank", Path: "/bills", Service: "payments.prairie", Weight: 12},
			{Name: "card", Method: "POST", Host: "payments.bank", Path: "/cards/check", Service: "payments.prairie", Weight: 8, Urgent: true}}},
	"volta": {Name: "volta", Cores: 5, Sidecars: 10, Zones: 3, Rate: 335, Locks: 12, Keys: 300, CoordinationRate: 40, ConfigInterval: 3 * time.Second,
		Services: []Service{{"wagons.volta", "wagons.rail", 4}, {"paths.volta", "paths.rail", 3}, {"tables.volta", "tables.rail", 3}},
		RequestKinds: []world.RequestKind{{Name: "wagon", Method: "GET", Host: "wagons.rail", Path: "/wagons", Service: "wagons.volta", Weight: 45},
			{Name: "upload", Method: "PUT", Host: "wagons.rail", Path: "/manifests", Service: "wagons.volta", Weight: 10, Repeat: "upload"},
			{Name: "book", Method: "POST", Host: "paths.rail", Path: "/paths", Service: "paths.volta", Weight: 25},
			{Name: "table", Method: "GET", Host: "tables.rail", Path: "/old", Service: "tables.volta", Weight: 20}}},
}

// ScheduledFault is one fault of a schedule, reckoned from the start of the faults.
type ScheduledFault struct {
	Fault string
	After time.Duration
}

// Options changes a deployment or says what goes wrong.
type Options struct {
	Seed          uint64
	Duration      time.Duration
	Faults        []string         // empty means drawn from the seed; "none" means none
	Schedule      []ScheduledFault // a schedule instead of drawn faults
	AddCores      int
	LoseZone      bool
	LoadFactor    float64 // times the rate
	Scale         float64 // of the load, to run faster
	FinalOutage   bool
	Mutant        world.Mutant
	LossyLinks    bool // lossy, late, doubled messages throughout
	FaultInterval time.Duration
	// Keyspaces says that applications use cells and kept claims too. It is apart because
	// every user draws from the seed, and the schedules of known seeds are worth keeping.
	Keyspaces bool
	// Platform says that the world is as the users' platform has it, see world.World; apart
	// for the same reason.
	Platform bool
	// CoreMessageCost is world.World's.
	CoreMessageCost time.Duration
}

// Run is one simulated day.
type Run struct {
	*world.World
	deployment  Deployment
	options     Options
	operators   *world.Operators
	keyUsers    *world.KeyUsers
	requestRate float64
	serial      int
	largeConfig bool // the next manifest is very large
}

// Validate names every fault of the input.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "the what-if can't be run")
	add := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Note: fmt.Sprintf(format, args...)})
	}
	for _, f := range o.Faults {
		if _, ok := Faults[f]; !ok && f != "none" {
			add("faults", "there is no fault %q; there are none, %s", f, strings.Join(FaultNames(), ", "))
		}
	}
	for _, t := range o.Schedule {
		if _, ok := Faults[t.Fault]; !ok {
			add("at", "there is no fault %q; there are %s", t.Fault, strings.Join(FaultNames(), ", "))
		}
		if t.After < 0 || t.After > o.Duration {
			add("at", "%v is not within the run of %v", t.After, o.Duration)
		}
	}
	if _, ok := world.Mutants[o.Mutant]; !ok && o.Mutant != "" {
		add("break", "there is no break %q", o.Mutant)
	}
	if o.Mutant.NeedsPlatform() && !o.Platform {
		add("break", "%q needs the platform", o.Mutant)
	}
	if o.Duration < 5*time.Second || o.Duration > time.Hour {
		add("for", "must be from 5s to 1h")
	}
	if o.LoadFactor < 0.01 || o.LoadFactor > 100 {
		add("burden", "must be from 0.01 to 100")
	}
	if o.AddCores < 0 || o.AddCores > 4 {
		add("add-cores", "must be from 0 to 4")
	}
	if o.CoreMessageCost < 0 || o.CoreMessageCost > 100*time.Millisecond {
		add("cost", "must be from 0 to 100ms")
	}
	if len(invalid.Faults) > 0 {
		return invalid
	}
	return nil
}

// FaultNames lists the faults.
func FaultNames() []string {
	var out []string
	for n := range Faults {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Simulate runs one day and judges it.
func Simulate(deployment Deployment, options Options) *world.World {
	w := world.New(options.Seed)
	w.Mutant, w.HistoryRetention, w.Platform = options.Mutant, 20*time.Second, options.Platform
	w.CoreMessageCost = options.CoreMessageCost
	r := &Run{World: w, deployment: deployment, options: options, requestRate: deployment.Rate * options.LoadFactor}
	if options.Scale > 0 {
		r.requestRate *= options.Scale
	}
	if options.LossyLinks {
		w.Links.LossRate, w.Links.DuplicateRate, w.Links.DelayRate = 0.01, 0.02, 0.01
	}
	coreCount := deployment.Cores + deployment.ExtraCores + options.AddCores
	for i := range coreCount {
		addr := ident.Addr(fmt.Sprintf("10.0.0.%d:7000", i+1))
		if i < deployment.Cores {
			w.Founders = append(w.Founders, addr)
		}
		if i < 3 {
			w.Seeds = append(w.Seeds, addr)
		}
		w.NewCore(addr, zoneOf(deployment, i))
	}
	for _, c := range w.Cores {
		c.Start()
	}
	for i := range deployment.Sidecars {
		w.NewSidecar(ident.Addr(fmt.Sprintf("10.0.1.%d:7000", i+1)), zoneOf(deployment, i)).Start()
	}
	w.RunFor(2 * time.Second)
	i := 0
	for _, s := range deployment.Services {
		for range s.Endpoints {
			r.startEndpoint(w.Sidecars[i%len(w.Sidecars)], s.Name, "")
			i++
		}
	}
	r.operators = w.StartOperators(deployment.ConfigInterval, r.configDocument)
	w.StartLockers(max(2, int(deployment.CoordinationRate/8)), deployment.Locks, 700*time.Millisecond)
	w.StartCounters(max(2, int(deployment.CoordinationRate/12)), 4, 500*time.Millisecond)
	r.keyUsers = w.StartKeyUsers(max(3, int(deployment.CoordinationRate/4)), 12, 400*time.Millisecond)
	w.StartWatcher(500 * time.Millisecond)
	var keyspaceUsers *world.KeyspaceUsers
	if options.Keyspaces {
		keyspaceUsers = w.StartKeyspaceUsers(max(3, int(deployment.CoordinationRate/8)), 3, 12, 300*time.Millisecond)
		w.StartPlatformLockers(max(3, int(deployment.CoordinationRate/8)), 4, 500*time.Millisecond)
	}
	w.RunFor(2 * time.Second)
	loadBegan := w.Now()
	for j, s := range w.Sidecars {
		r.startCallers(s, j)
	}
	w.RunFor(5 * time.Second)
	end := w.Now().Add(options.Duration)
	for _, t := range options.Schedule {
		w.After(t.After, func() { Faults[t.Fault](r) })
	}
	if len(options.Schedule) == 0 && (len(options.Faults) != 1 || options.Faults[0] != "none") {
		r.injectFaults(end)
	}
	if options.LoseZone {
		w.After(2*time.Second, func() { r.cutZone(options.Duration) })
	}
	w.Run(end)
	if options.FinalOutage {
		r.finalOutage()
		w.RunFor(17 * time.Second)
	}
	r.requestRate, r.Closed = 0, true
	faultsEnded := w.Now()
	w.Links.HealAll()
	w.RunFor(8 * time.Second)
	r.operators.ReadBack()
	r.operators.CheckAuditLog()
	w.RunFor(5 * time.Second)
	r.operators.Close()
	w.CompareReplicas()
	r.keyUsers.CheckHistories()
	if keyspaceUsers != nil {
		keyspaceUsers.Checker.Finish()
	}
	w.Checker.Finish(loadBegan, faultsEnded)
	return w
}

func zoneOf(deployment Deployment, i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("d%d", i%deployment.Zones))
}

// configDocument is the whole manifest around a mark.
func (r *Run) configDocument(marker string) map[string]any {
	services, routes := map[string]any{}, map[string]any{}
	for i, s := range r.deployment.Services {
		namespace := "steady"
		if i == 0 {
			namespace = marker
		}
		services[string(s.Name)] = map[string]any{"namespace": namespace}
		routes["w-"+string(s.Name)] = map[string]any{"host": s.Host, "pathStart": "/", "service": string(s.Name), "timeoutMs": 3000}
	}
	for _, k := range r.deployment.RequestKinds {
		if k.Repeat != "" {
			routes["w-repeat-"+k.Name] = map[string]any{"host": k.Host, "pathStart": k.Path, "service": string(k.Service), "repeat": k.Repeat, "timeoutMs": 3000}
		}
		if k.Urgent {
			routes["w-urgent-"+k.Name] = map[string]any{"host": k.Host, "pathStart": k.Path, "service": string(k.Service), "urgent": true, "timeoutMs": 1500}
		}
	}
	if r.largeConfig || r.Rng.IntN(15) == 0 { // suddenly very large
		for i := range 1500 {
			routes[fmt.Sprintf("bulk-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.bulk", i), "service": string(r.deployment.Services[0].Name)}
		}
	}
	if r.Platform {
		for i, name := range slices.Sorted(maps.Keys(routes)) {
			if route := routes[name].(map[string]any); strings.HasPrefix(name, "w-") {
				route["aimMs"], route["rank"] = 150+100*(i%3), i%3
			}
		}
	}
	return map[string]any{"services": services, "ways": routes}
}

func (r *Run) startEndpoint(s *world.Sidecar, service ident.Service, addr ident.Addr) *world.Endpoint {
	r.serial++
	if addr == "" {
		addr = ident.Addr(fmt.Sprintf("10.0.2.%d:%d", r.serial%250+1, 8000+r.serial))
	}
	if r.Platform {
		return s.NewEndpoint(ident.Server(fmt.Sprintf("srv%d", r.serial)), service, addr, world.Behavior{ServiceTime: 16 * time.Millisecond, NoResponseRate: 0.002, GarbageRate: 0.002, SlowRate: 0.002, Slots: 2, QueueLimit: 2, FailureRate: 0.005})
	}
	return s.NewEndpoint(ident.Server(fmt.Sprintf("srv%d", r.serial)), service, addr, world.Behavior{ServiceTime: 6 * time.Millisecond, NoResponseRate: 0.002, GarbageRate: 0.002, SlowRate: 0.002})
}

// startCallers sends a machine's requests at its part of the rate.
func (r *Run) startCallers(s *world.Sidecar, index int) {
	total := 0
	for _, k := range r.deployment.RequestKinds {
		total += k.Weight
	}
	var next func()
	next = func() {
		if r.requestRate <= 0 {
			return
		}
		ticket := r.Rng.IntN(total)
		for _, k := range r.deployment.RequestKinds {
			if ticket < k.Weight {
				r.Call(s, k)
				break
			}
			ticket -= k.Weight
		}
		interval := time.Duration(float64(time.Second) * float64(len(r.Sidecars)) / r.requestRate)
		r.After(interval/2+time.Duration(r.Rng.Int64N(int64(interval)+1)), next)
	}
	r.After(time.Duration(index)*time.Millisecond, next)
}

// MutantNames lists what can be broken on purpose.
func MutantNames() []string {
	var out []string
	for b := range world.Mutants {
		out = append(out, string(b))
	}
	slices.Sort(out)
	return out
}
