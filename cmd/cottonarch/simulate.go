package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/decode"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/scenario"
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
	q := scenario.Options{Duration: c.For, Faults: c.Faults, FaultInterval: c.Every, AddCores: c.AddCores, LoseZone: c.LoseDistrict, LoadFactor: c.Burden, FinalOutage: c.Heavy, Keyspaces: c.Cells, Platform: c.Platform, LossyLinks: !c.Calm, CoreMessageCost: c.Cost, Mutant: world.Mutant(c.Break)}
	bad := failure.New(failure.BadSettings, "the what-if can't be run")
	for _, at := range c.At {
		name, when, ok := strings.Cut(at, "@")
		t, err := time.ParseDuration(when)
		if !ok || err != nil {
			bad.Faults = append(bad.Faults, failure.Fault{Path: "at", Note: fmt.Sprintf("%q is no fault@time", at)})
			continue
		}
		q.Schedule = append(q.Schedule, scenario.ScheduledFault{Fault: name, After: t})
	}
	if more := q.Validate(); more != nil {
		bad.Faults = append(bad.Faults, more.Faults...)
	}
	if c.Seeds < 1 || c.Seeds > 100000 {
		bad.Faults = append(bad.Faults, failure.Fault{Path: "seeds", Note: "must be from 1 to 100000"})
	}
	if found := (*failure.Error)(nil); wrong != nil && failure.As(wrong, &found) {
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
	texts, broken, sum := make([]string, c.Seeds), map[string]int{}, invariant.New()
	for i := range c.Seeds {
		out.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; out.Done() }()
			one := q
			one.Seed = c.Seed + uint64(i)
			w := scenario.Simulate(d, one)
			mu.Lock()
			defer mu.Unlock()
			for _, b := range w.Checker.Violations {
				broken[b.Rule]++
			}
			sum.Merge(w.Checker)
			if c.Seeds == 1 || len(w.Checker.Violations) > 0 {
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
		fmt.Println(sum.Summary())
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
func describe(name string) (scenario.Deployment, error) {
	if d, ok := scenario.Deployments[name]; ok {
		return d, nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return scenario.Deployment{}, failure.New(failure.BadSettings, "deployment %q is neither prairie, volta nor a file", name)
	}
	m, bad := decode.Parse(raw)
	if bad != nil {
		bad.Kind = failure.BadSettings
		return scenario.Deployment{}, bad
	}
	f := &decode.Faults{}
	s := decode.Root(m, f)
	s.RejectUnknown("name", "cores", "moreCores", "sidecars", "districts", "services", "requests", "rate", "locks", "coordination", "manifestEveryS")
	d := scenario.Deployment{Name: s.String("name", name), Cores: int(s.Int("cores", 3, 1, 9)), ExtraCores: int(s.Int("moreCores", 0, 0, 32)), Sidecars: int(s.Int("sidecars", 6, 1, 500)), Zones: int(s.Int("districts", 3, 1, 50)),
		Rate: s.Float("rate", 100, 0.1, 100000), Locks: int(s.Int("locks", 10, 1, 10000)), Keys: 300, CoordinationRate: s.Float("coordination", 20, 1, 10000),
		ConfigInterval: time.Duration(s.Float("manifestEveryS", 3, 0.1, 3600) * float64(time.Second))}
	if d.Cores%2 == 0 {
		s.Fault("cores", "an odd number of cores forms the first roster")
	}
	services := s.Child("services")
	for _, n := range services.FieldNames() {
		one := services.Child(n)
		one.RejectUnknown("host", "endpoints")
		d.Services = append(d.Services, scenario.Service{Name: ident.Service(n), Host: one.RequiredString("host"), Endpoints: int(one.Int("endpoints", 2, 1, 1000))})
	}
	requests := s.Child("requests")
	for _, n := range requests.FieldNames() {
		one := requests.Child(n)
		one.RejectUnknown("method", "service", "path", "weight")
		k := world.RequestKind{Name: n, Method: one.String("method", "GET"), Path: one.String("path", "/"), Service: ident.Service(one.RequiredString("service")), Weight: int(one.Int("weight", 1, 1, 1000))}
		for _, svc := range d.Services {
			if svc.Name == k.Service {
				k.Host = svc.Host
			}
		}
		if k.Host == "" {
			one.Fault("service", "there is no service %q", k.Service)
		}
		d.RequestKinds = append(d.RequestKinds, k)
	}
	if len(d.Services) == 0 {
		s.Fault("services", "at least one service")
	}
	if len(d.RequestKinds) == 0 {
		s.Fault("requests", "at least one kind of request")
	}
	if bad := f.Err(failure.BadSettings); bad != nil {
		return d, bad
	}
	return d, nil
}
