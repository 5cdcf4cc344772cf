package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/control/manifest/walk"
	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/sim/plan"
	"cottonarch.example/cottonarch/sim/world"

	"os"
)

type simulateCmd struct {
	Deployment   string        `default:"prairie" help:"prairie, volta, or a file that describes one (see docs/simulate.md)."`
	Seed         uint64        `default:"1" help:"Seed; the same seed gives the same bytes."`
	Seeds        int           `default:"1" help:"How many seeds to run, counting up from --seed."`
	For          time.Duration `default:"60s" help:"Virtual time under faults."`
	Faults       []string      `help:"Faults to draw from, or none; all if not given. Known: ${faults}."`
	At           []string      `help:"A schedule instead: fault@time, such as core-kill@5s."`
	Every        time.Duration `default:"2s" help:"Longest pause between drawn faults."`
	AddCores     int           `help:"What if there were more cores."`
	LoseDistrict bool          `help:"What if a district were lost for the whole time."`
	Burden       float64       `default:"1" help:"What if the burden were this many times as high."`
	Calm         bool          `help:"No lost, late or doubled messages."`
	Heavy        bool          `default:"true" negatable:"" help:"End with one heavy fault."`
	Cells        bool          `default:"true" negatable:"" help:"Applications use cells and kept claims too."`
	Platform     bool          `default:"true" negatable:"" help:"Endpoints with slots, words and a pace of their own, bays beside the gates, and kills that leave writes unsynced."`
	Cost         time.Duration `help:"What if a core's process took this long for each message and request, as with a part of a processor."`
	Trace        bool          `help:"Print the whole trace of faults."`
	Break        string        `default:"" help:"Break a rule on purpose, to see it caught. Known: ${breaks}."`
}

func (c simulateCmd) Run() error {
	d, wrong := describe(c.Deployment)
	q := plan.What{For: c.For, Faults: c.Faults, FaultEvery: c.Every, AddCores: c.AddCores, LoseDist: c.LoseDistrict, Burden: c.Burden, LastHeavy: c.Heavy, Cells: c.Cells, Platform: c.Platform, Links: !c.Calm, Cost: c.Cost, Break: world.Break(c.Break)}
	bad := failure.New(failure.BadSettings, "the what-if can't be run")
	for _, at := range c.At {
		name, when, ok := strings.Cut(at, "@")
		t, err := time.ParseDuration(when)
		if !ok || err != nil {
			bad.Faults = append(bad.Faults, failure.Fault{Path: "at", Note: fmt.Sprintf("%q is no fault@time", at)})
			continue
		}
		q.At = append(q.At, plan.Timed{Fault: name, After: t})
	}
	if more := q.Check(); more != nil {
		bad.Faults = append(bad.Faults, more.Faults...)
	}
	if c.Seeds < 1 || c.Seeds > 100000 {
		bad.Faults = append(bad.Faults, failure.Fault{Path: "seeds", Note: "must be from 1 to 100000"})
	}
	if found := (*failure.Error)(nil); wrong != nil && failure.Find(wrong, &found) {
		if len(found.Faults) == 0 {
			found.Faults = []failure.Fault{{Path: "deployment", Note: found.Note}}
		}
		bad.Faults = append(bad.Faults, found.Faults...)
	}
	if len(bad.Faults) > 0 {
		return bad
	}
	var mu sync.Mutex
	var out sync.WaitGroup
	slots := make(chan struct{}, 8)
	texts, broken, sum := make([]string, c.Seeds), map[string]int{}, check.New()
	for i := range c.Seeds {
		out.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; out.Done() }()
			one := q
			one.Seed = c.Seed + uint64(i)
			w := plan.Simulate(d, one)
			mu.Lock()
			defer mu.Unlock()
			for _, b := range w.Check.Breaches {
				broken[b.Rule]++
			}
			sum.Sum(w.Check)
			if c.Seeds == 1 || len(w.Check.Breaches) > 0 {
				texts[i] = fmt.Sprintf("seed %d of %s, %v under faults\n%s", one.Seed, d.Name, c.For, w.Text())
				if c.Trace {
					texts[i] += strings.Join(w.Trace, "\n") + "\n"
				}
			}
		}()
	}
	out.Wait()
	for _, t := range texts {
		fmt.Print(t)
	}
	if c.Seeds > 1 {
		fmt.Printf("%d seeds from %d\n%s", c.Seeds, c.Seed, sum.Text())
	}
	if len(broken) == 0 {
		fmt.Println(sum.Verdict())
		return nil
	}
	var names []string
	for r, n := range broken {
		names = append(names, fmt.Sprintf("%s %d", r, n))
	}
	sort.Strings(names)
	return failure.New(failure.Conflict, "rules were broken: %s", strings.Join(names, ", "))
}

// describe finds a deployment by name, or reads it from a file.
func describe(name string) (plan.Deployment, error) {
	if d, ok := plan.Deployments[name]; ok {
		return d, nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return plan.Deployment{}, failure.New(failure.BadSettings, "deployment %q is neither prairie, volta nor a file", name)
	}
	m, bad := walk.Parse(raw)
	if bad != nil {
		bad.Kind = failure.BadSettings
		return plan.Deployment{}, bad
	}
	f := &walk.Faults{}
	s := walk.Top(m, f)
	s.Only("name", "cores", "moreCores", "sidecars", "districts", "services", "requests", "rate", "locks", "coordination", "manifestEveryS")
	d := plan.Deployment{Name: s.Text("name", name), Cores: int(s.Whole("cores", 3, 1, 9)), MoreCores: int(s.Whole("moreCores", 0, 0, 32)), Sides: int(s.Whole("sidecars", 6, 1, 500)), Districts: int(s.Whole("districts", 3, 1, 50)),
		Rate: s.Real("rate", 100, 0.1, 100000), Locks: int(s.Whole("locks", 10, 1, 10000)), Keys: 300, Coord: s.Real("coordination", 20, 1, 10000),
		Manifests: time.Duration(s.Real("manifestEveryS", 3, 0.1, 3600) * float64(time.Second))}
	if d.Cores%2 == 0 {
		s.Fault("cores", "an odd number of cores forms the first roster")
	}
	services := s.Down("services")
	for _, n := range services.Names() {
		one := services.Down(n)
		one.Only("host", "endpoints")
		d.Services = append(d.Services, plan.Service{Name: ident.Service(n), Host: one.Must("host"), Endpoints: int(one.Whole("endpoints", 2, 1, 1000))})
	}
	requests := s.Down("requests")
	for _, n := range requests.Names() {
		one := requests.Down(n)
		one.Only("method", "service", "path", "weight")
		k := world.Kind{Name: n, Method: one.Text("method", "GET"), Path: one.Text("path", "/"), Service: ident.Service(one.Must("service")), Weight: int(one.Whole("weight", 1, 1, 1000))}
		for _, svc := range d.Services {
			if svc.Name == k.Service {
				k.Host = svc.Host
			}
		}
		if k.Host == "" {
			one.Fault("service", "there is no service %q", k.Service)
		}
		d.Kinds = append(d.Kinds, k)
	}
	if len(d.Services) == 0 {
		s.Fault("services", "at least one service")
	}
	if len(d.Kinds) == 0 {
		s.Fault("requests", "at least one kind of request")
	}
	if bad := f.Defect(failure.BadSettings); bad != nil {
		return d, bad
	}
	return d, nil
}
