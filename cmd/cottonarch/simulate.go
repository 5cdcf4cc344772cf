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
	deployment, deploymentErr := readDeployment(c.Deployment)
	whatIf := scenario.Options{Duration: c.For, Faults: c.Faults, FaultInterval: c.Every, AddCores: c.AddCores, LoseZone: c.LoseDistrict, LoadFactor: c.Burden, FinalOutage: c.Heavy, Keyspaces: c.Cells, Platform: c.Platform, LossyLinks: !c.Calm, CoreMessageCost: c.Cost, Mutant: world.Mutant(c.Break)}
	invalid := failure.New(failure.BadSettings, "the what-if can't be run")
	for _, at := range c.At {
		name, when, ok := strings.Cut(at, "@")
		t, err := time.ParseDuration(when)
		if !ok || err != nil {
			invalid.Faults = append(invalid.Faults, failure.Fault{Path: "at", Note: fmt.Sprintf("%q is no fault@time", at)})
			continue
		}
		whatIf.Schedule = append(whatIf.Schedule, scenario.ScheduledFault{Fault: name, After: t})
	}
	if whatIfFaults := whatIf.Validate(); whatIfFaults != nil {
		invalid.Faults = append(invalid.Faults, whatIfFaults.Faults...)
	}
	if c.Seeds < 1 || c.Seeds > 100000 {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: "seeds", Note: "must be from 1 to 100000"})
	}
	if found := (*failure.Error)(nil); deploymentErr != nil && failure.As(deploymentErr, &found) {
		if len(found.Faults) == 0 {
			found.Faults = []failure.Fault{{Path: "deployment", Note: found.Note}}
		}
		invalid.Faults = append(invalid.Faults, found.Faults...)
	}
	if len(invalid.Faults) > 0 {
		return invalid
	}
	var mu sync.Mutex
	var pending sync.WaitGroup
	slots := make(chan struct{}, 8)
	texts, breaches, total := make([]string, c.Seeds), map[string]int{}, invariant.New()
	for i := range c.Seeds {
		pending.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; pending.Done() }()
			run := whatIf
			run.Seed = c.Seed + uint64(i)
			simulated := scenario.Simulate(deployment, run)
			mu.Lock()
			defer mu.Unlock()
			for _, b := range simulated.Checker.Violations {
				breaches[b.Rule]++
			}
			total.Merge(simulated.Checker)
			if c.Seeds == 1 || len(simulated.Checker.Violations) > 0 {
				texts[i] = fmt.Sprintf("seed %d of %s, %v under faults\n%s", run.Seed, deployment.Name, c.For, simulated.Text())
				if c.Trace {
					texts[i] += strings.Join(simulated.Trace, "\n") + "\n"
				}
			}
		}()
	}
	pending.Wait()
	for _, t := range texts {
		fmt.Print(t)
	}
	if c.Seeds > 1 {
		fmt.Printf("%d seeds from %d\n%s", c.Seeds, c.Seed, total.Text())
	}
	if len(breaches) == 0 {
		fmt.Println(total.Summary())
		return nil
	}
	var names []string
	for r, n := range breaches {
		names = append(names, fmt.Sprintf("%s %d", r, n))
	}
	sort.Strings(names)
	return failure.New(failure.Conflict, "rules were broken: %s", strings.Join(names, ", "))
}

// readDeployment finds a deployment by name, or reads it from a file.
func readDeployment(name string) (scenario.Deployment, error) {
	if deployment, ok := scenario.Deployments[name]; ok {
		return deployment, nil
	}
	raw, err := os.ReadFile(name)
	if err != nil {
		return scenario.Deployment{}, failure.New(failure.BadSettings, "deployment %q is neither prairie, volta nor a file", name)
	}
	tree, fail := decode.Parse(raw)
	if fail != nil {
		fail.Kind = failure.BadSettings
		return scenario.Deployment{}, fail
	}
	faults := &decode.Faults{}
	node := decode.Root(tree, faults)
	node.RejectUnknown("name", "cores", "moreCores", "sidecars", "districts", "services", "requests", "rate", "locks", "coordination", "manifestEveryS")
	deployment := scenario.Deployment{Name: node.String("name", name), Cores: int(node.Int("cores", 3, 1, 9)), ExtraCores: int(node.Int("moreCores", 0, 0, 32)), Sidecars: int(node.Int("sidecars", 6, 1, 500)), Zones: int(node.Int("districts", 3, 1, 50)),
		Rate: node.Float("rate", 100, 0.1, 100000), Locks: int(node.Int("locks", 10, 1, 10000)), Keys: 300, CoordinationRate: node.Float("coordination", 20, 1, 10000),
		ConfigInterval: time.Duration(node.Float("manifestEveryS", 3, 0.1, 3600) * float64(time.Second))}
	if deployment.Cores%2 == 0 {
		node.Fault("cores", "an odd number of cores forms the first roster")
	}
	services := node.Child("services")
	for _, n := range services.FieldNames() {
		item := services.Child(n)
		item.RejectUnknown("host", "endpoints")
		deployment.Services = append(deployment.Services, scenario.Service{Name: ident.Service(n), Host: item.RequiredString("host"), Endpoints: int(item.Int("endpoints", 2, 1, 1000))})
	}
	requests := node.Child("requests")
	for _, n := range requests.FieldNames() {
		item := requests.Child(n)
		item.RejectUnknown("method", "service", "path", "weight")
		kind := world.RequestKind{Name: n, Method: item.String("method", "GET"), Path: item.String("path", "/"), Service: ident.Service(item.RequiredString("service")), Weight: int(item.Int("weight", 1, 1, 1000))}
		for _, service := range deployment.Services {
			if service.Name == kind.Service {
				kind.Host = service.Host
			}
		}
		if kind.Host == "" {
			item.Fault("service", "there is no service %q", kind.Service)
		}
		deployment.RequestKinds = append(deployment.RequestKinds, kind)
	}
	if len(deployment.Services) == 0 {
		node.Fault("services", "at least one service")
	}
	if len(deployment.RequestKinds) == 0 {
		node.Fault("requests", "at least one kind of request")
	}
	if fail := faults.Err(failure.BadSettings); fail != nil {
		return deployment, fail
	}
	return deployment, nil
}
