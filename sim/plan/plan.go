// Package plan sets up a deployment, its load and its faults from a description and
// a seed.
package plan

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/world"
)

// Deployment describes who runs what.
type Deployment struct {
	Name      string
	Cores     int
	MoreCores int // beyond those that form the first roster
	Sides     int
	Districts int
	Services  []Service
	Kinds     []world.Kind
	Rate      float64 // requests a second, over all machines
	Locks     int
	Keys      int
	Coord     float64 // coordination calls a second
	Manifests time.Duration
}

// Service is a service with its number of endpoints.
type Service struct {
	Name      ident.Service
	Host      string
	Endpoints int
}

// Deployments are those of the brief.
var Deployments = map[string]Deployment{
	"prairie": {Name: "prairie", Cores: 3, Sides: 9, Districts: 3, Rate: 450, Locks: 80, Keys: 300, Coord: 50, Manifests: 1500 * time.Millisecond,
		Services: []Service{{"accounts.prairie", "accounts.bank", 5}, {"payments.prairie", "payments.bank", 4}},
		Kinds: []world.Kind{{Name: "balance", Method: "GET", Host: "accounts.bank", Path: "/balance", Service: "accounts.prairie", Weight: 50},
			{Name: "statement", Method: "GET", Host: "accounts.bank", Path: "/statements/2026", Service: "accounts.prairie", Weight: 15, Repeat: "one_shot"},
			{Name: "move", Method: "POST", Host: "payments.bank", Path: "/moves", Service: "payments.prairie", Weight: 15},
			{Name: "bill", Method: "POST", Host: "payments.bank", Path: "/bills", Service: "payments.prairie", Weight: 12},
			{Name: "card", Method: "POST", Host: "payments.bank", Path: "/cards/check", Service: "payments.prairie", Weight: 8, Urgent: true}}},
	"volta": {Name: "volta", Cores: 5, Sides: 10, Districts: 3, Rate: 335, Locks: 12, Keys: 300, Coord: 40, Manifests: 3 * time.Second,
		Services: []Service{{"wagons.volta", "wagons.rail", 4}, {"paths.volta", "paths.rail", 3}, {"tables.volta", "tables.rail", 3}},
		Kinds: []world.Kind{{Name: "wagon", Method: "GET", Host: "wagons.rail", Path: "/wagons", Service: "wagons.volta", Weight: 45},
			{Name: "upload", Method: "PUT", Host: "wagons.rail", Path: "/manifests", Service: "wagons.volta", Weight: 10, Repeat: "upload"},
			{Name: "book", Method: "POST", Host: "paths.rail", Path: "/paths", Service: "paths.volta", Weight: 25},
			{Name: "table", Method: "GET", Host: "tables.rail", Path: "/old", Service: "tables.volta", Weight: 20}}},
}

// Timed is one fault of a schedule, reckoned from the start of the faults.
type Timed struct {
	Fault string
	After time.Duration
}

// What changes a deployment or says what goes wrong.
type What struct {
	Seed       uint64
	For        time.Duration
	Faults     []string // empty means drawn from the seed; "none" means none
	At         []Timed  // a schedule instead of drawn faults
	AddCores   int
	LoseDist   bool
	Burden     float64 // times the rate
	Scale      float64 // of the load, to run faster
	LastHeavy  bool
	Break      world.Break
	Links      bool // lossy, late, doubled messages throughout
	FaultEvery time.Duration
	// Cells says that applications use cells and kept claims too. It is apart because
	// every user draws from the seed, and the schedules of known seeds are worth keeping.
	Cells bool
	// Platform says that the world is as the users' platform has it, see world.World; apart
	// for the same reason.
	Platform bool
	// Cost is world.World's.
	Cost time.Duration
}

// Run is one simulated day.
type Run struct {
	*world.World
	d      Deployment
	what   What
	ops    *world.Operators
	keys   *world.Keys
	load   float64
	serial int
	large  bool // the next manifest is very large
}

// Check names every fault of the input.
func (q What) Check() *failure.Error {
	d := failure.New(failure.BadSettings, "the what-if can't be run")
	add := func(path, form string, args ...any) {
		d.Faults = append(d.Faults, failure.Fault{Path: path, Note: fmt.Sprintf(form, args...)})
	}
	for _, f := range q.Faults {
		if _, ok := Faults[f]; !ok && f != "none" {
			add("faults", "there is no fault %q; there are none, %s", f, strings.Join(Names(), ", "))
		}
	}
	for _, t := range q.At {
		if _, ok := Faults[t.Fault]; !ok {
			add("at", "there is no fault %q; there are %s", t.Fault, strings.Join(Names(), ", "))
		}
		if t.After < 0 || t.After > q.For {
			add("at", "%v is not within the run of %v", t.After, q.For)
		}
	}
	if _, ok := world.Breaks[q.Break]; !ok && q.Break != "" {
		add("break", "there is no break %q", q.Break)
	}
	if q.Break.Platform() && !q.Platform {
		add("break", "%q needs the platform", q.Break)
	}
	if q.For < 5*time.Second || q.For > time.Hour {
		add("for", "must be from 5s to 1h")
	}
	if q.Burden < 0.01 || q.Burden > 100 {
		add("burden", "must be from 0.01 to 100")
	}
	if q.AddCores < 0 || q.AddCores > 4 {
		add("add-cores", "must be from 0 to 4")
	}
	if q.Cost < 0 || q.Cost > 100*time.Millisecond {
		add("cost", "must be from 0 to 100ms")
	}
	if len(d.Faults) > 0 {
		return d
	}
	return nil
}

// Names lists the faults.
func Names() []string {
	var out []string
	for n := range Faults {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Simulate runs one day and judges it.
func Simulate(d Deployment, q What) *world.World {
	w := world.New(q.Seed)
	w.Break, w.History, w.Platform = q.Break, 20*time.Second, q.Platform
	w.Cost = q.Cost
	r := &Run{World: w, d: d, what: q, load: d.Rate * q.Burden}
	if q.Scale > 0 {
		r.load *= q.Scale
	}
	if q.Links {
		w.Links.Lose, w.Links.Double, w.Links.Late = 0.01, 0.02, 0.01
	}
	n := d.Cores + d.MoreCores + q.AddCores
	for i := range n {
		a := ident.Addr(fmt.Sprintf("10.0.0.%d:7000", i+1))
		if i < d.Cores {
			w.Founders = append(w.Founders, a)
		}
		if i < 3 {
			w.Seeds = append(w.Seeds, a)
		}
		w.NewCore(a, district(d, i))
	}
	for _, c := range w.Cores {
		c.Start()
	}
	for i := range d.Sides {
		w.NewSide(ident.Addr(fmt.Sprintf("10.0.1.%d:7000", i+1)), district(d, i)).Start()
	}
	w.RunFor(2 * time.Second)
	i := 0
	for _, s := range d.Services {
		for range s.Endpoints {
			r.endpoint(w.Sides[i%len(w.Sides)], s.Name, "")
			i++
		}
	}
	r.ops = w.Operate(d.Manifests, r.manifest)
	w.Lockers(max(2, int(d.Coord/8)), d.Locks, 700*time.Millisecond)
	w.Counters(max(2, int(d.Coord/12)), 4, 500*time.Millisecond)
	r.keys = w.KeyUsers(max(3, int(d.Coord/4)), 12, 400*time.Millisecond)
	w.Watcher(500 * time.Millisecond)
	var cells *world.Cells
	if q.Cells {
		cells = w.CellUsers(max(3, int(d.Coord/8)), 3, 12, 300*time.Millisecond)
		w.Keepers(max(3, int(d.Coord/8)), 4, 500*time.Millisecond)
	}
	w.RunFor(2 * time.Second)
	from := w.Now()
	for j, s := range w.Sides {
		r.callers(s, j)
	}
	w.RunFor(5 * time.Second)
	end := w.Now().Add(q.For)
	for _, t := range q.At {
		w.After(t.After, func() { Faults[t.Fault](r) })
	}
	if len(q.At) == 0 && (len(q.Faults) != 1 || q.Faults[0] != "none") {
		r.faults(end)
	}
	if q.LoseDist {
		w.After(2*time.Second, func() { r.loseDistrict(q.For) })
	}
	w.Run(end)
	if q.LastHeavy {
		r.heavy()
		w.RunFor(17 * time.Second)
	}
	r.load, r.Closed = 0, true
	over := w.Now()
	w.Links.Heal()
	w.RunFor(8 * time.Second)
	r.ops.ReadBack()
	r.ops.Audit()
	w.RunFor(5 * time.Second)
	r.ops.Close()
	w.Compare()
	r.keys.Judge()
	if cells != nil {
		cells.Judge.Judge()
	}
	w.Check.Finish(from, over)
	return w
}

func district(d Deployment, i int) ident.District {
	return ident.District(fmt.Sprintf("d%d", i%d.Districts))
}

// manifest is the whole manifest around a mark.
func (r *Run) manifest(mark string) map[string]any {
	services, ways := map[string]any{}, map[string]any{}
	for i, s := range r.d.Services {
		ns := "steady"
		if i == 0 {
			ns = mark
		}
		services[string(s.Name)] = map[string]any{"namespace": ns}
		ways["w-"+string(s.Name)] = map[string]any{"host": s.Host, "pathStart": "/", "service": string(s.Name), "timeoutMs": 3000}
	}
	for _, k := range r.d.Kinds {
		if k.Repeat != "" {
			ways["w-repeat-"+k.Name] = map[string]any{"host": k.Host, "pathStart": k.Path, "service": string(k.Service), "repeat": k.Repeat, "timeoutMs": 3000}
		}
		if k.Urgent {
			ways["w-urgent-"+k.Name] = map[string]any{"host": k.Host, "pathStart": k.Path, "service": string(k.Service), "urgent": true, "timeoutMs": 1500}
		}
	}
	if r.large || r.Rng.IntN(15) == 0 { // suddenly very large
		for i := range 1500 {
			ways[fmt.Sprintf("bulk-%d", i)] = map[string]any{"host": fmt.Sprintf("h%d.bulk", i), "service": string(r.d.Services[0].Name)}
		}
	}
	if r.Platform {
		for i, name := range slices.Sorted(maps.Keys(ways)) {
			if w := ways[name].(map[string]any); strings.HasPrefix(name, "w-") {
				w["aimMs"], w["rank"] = 150+100*(i%3), i%3
			}
		}
	}
	return map[string]any{"services": services, "ways": ways}
}

func (r *Run) endpoint(s *world.Side, svc ident.Service, addr ident.Addr) *world.Endpoint {
	r.serial++
	if addr == "" {
		addr = ident.Addr(fmt.Sprintf("10.0.2.%d:%d", r.serial%250+1, 8000+r.serial))
	}
	if r.Platform {
		return s.NewEndpoint(ident.Server(fmt.Sprintf("srv%d", r.serial)), svc, addr, world.Mood{Work: 16 * time.Millisecond, Lose: 0.002, Garbage: 0.002, Long: 0.002, Slots: 2, Queue: 2, Fail: 0.005})
	}
	return s.NewEndpoint(ident.Server(fmt.Sprintf("srv%d", r.serial)), svc, addr, world.Mood{Work: 6 * time.Millisecond, Lose: 0.002, Garbage: 0.002, Long: 0.002})
}

// callers sends a machine's requests at its part of the rate.
func (r *Run) callers(s *world.Side, n int) {
	total := 0
	for _, k := range r.d.Kinds {
		total += k.Weight
	}
	var round func()
	round = func() {
		if r.load <= 0 {
			return
		}
		x := r.Rng.IntN(total)
		for _, k := range r.d.Kinds {
			if x < k.Weight {
				r.Call(s, k)
				break
			}
			x -= k.Weight
		}
		gap := time.Duration(float64(time.Second) * float64(len(r.Sides)) / r.load)
		r.After(gap/2+time.Duration(r.Rng.Int64N(int64(gap)+1)), round)
	}
	r.After(time.Duration(n)*time.Millisecond, round)
}

// BreakNames lists what can be broken on purpose.
func BreakNames() []string {
	var out []string
	for b := range world.Breaks {
		out = append(out, string(b))
	}
	slices.Sort(out)
	return out
}
