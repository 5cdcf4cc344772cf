package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/sim/invariant"
	"cottonarch.example/cottonarch/sim/scenario"
	"cottonarch.example/cottonarch/sim/world"
)

const (
	// maxSeeds is the most seeds of one command.
	maxSeeds = 100000
	// parallelSimulations is how many seeds are simulated at once.
	parallelSimulations = 8
)

type simulateCmd struct {
	Deployment string        `default:"prairie" help:"prairie, volta, or a file that describes one (see docs/simulate.md)."`
	Seed       uint64        `default:"1" help:"Seed; the same seed gives the same bytes."`
	Seeds      int           `default:"1" help:"How many seeds to run, counting up from --seed."`
	For        time.Duration `default:"60s" help:"Virtual time under faults."`
	Faults     []string      `help:"Faults to draw from, or none; all if not given. Known: ${faults}."`
	At         []string      `help:"A schedule instead: fault@time, such as core-kill@5s."`
	Every      time.Duration `default:"2s" help:"Longest pause between drawn faults."`
	AddCores   int           `help:"What if there were more cores."`
	LoseZone   bool          `aliases:"lose-district" help:"What if a zone were lost for the whole time."`
	Load       float64       `aliases:"burden" default:"1" help:"What if the load were this many times as high."`
	Calm       bool          `help:"No lost, late or duplicated messages."`
	Heavy      bool          `default:"true" negatable:"" help:"End with one heavy fault."`
	Cells      bool          `default:"true" negatable:"" help:"Applications use keyspaces and renewed locks too."`
	Platform   bool          `default:"true" negatable:"" help:"Endpoints with concurrency slots, rejections and relative times of their own, admission queues beside the endpoint trackers, and kills that leave writes unsynced."`
	Cost       time.Duration `help:"What if a core's process took this long for each message and request, as with a share of a processor."`
	Trace      bool          `help:"Print the whole trace of faults."`
	Break      string        `default:"" help:"Break a rule on purpose (a mutant), to see it caught. Known: ${breaks}."`
}

// Run simulates the seeds and prints those that broke a rule, or the only one.
func (c simulateCmd) Run() error {
	deployment, options, fail := c.read()
	if fail != nil {
		return fail
	}
	results := c.simulate(deployment, options)
	for _, text := range results.texts {
		fmt.Print(text)
	}
	if c.Seeds > 1 {
		fmt.Printf("%d seeds from %d\n%s", c.Seeds, c.Seed, results.total.Text())
	}
	if len(results.violations) == 0 {
		fmt.Println(results.total.Summary())
		return nil
	}
	var violated []string
	for rule, n := range results.violations {
		violated = append(violated, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(violated)
	return failure.New(failure.Conflict, "rules were broken: %s", strings.Join(violated, ", "))
}

// read checks the command line; the failure names every fault.
func (c simulateCmd) read() (scenario.Deployment, scenario.Options, *failure.Error) {
	deployment, deploymentFail := readDeployment(c.Deployment)
	options := scenario.Options{
		Duration:        c.For,
		Faults:          c.Faults,
		FaultInterval:   c.Every,
		AddCores:        c.AddCores,
		LoseZone:        c.LoseZone,
		LoadFactor:      c.Load,
		FinalOutage:     c.Heavy,
		Keyspaces:       c.Cells,
		Platform:        c.Platform,
		LossyLinks:      !c.Calm,
		CoreMessageCost: c.Cost,
		Mutant:          world.Mutant(c.Break),
	}
	invalid := failure.New(failure.BadSettings, "the simulation can't be run")
	var faults []failure.Fault
	options.Schedule, faults = readSchedule(c.At)
	invalid.Faults = append(invalid.Faults, faults...)
	if fail := options.Validate(); fail != nil {
		invalid.Faults = append(invalid.Faults, fail.Faults...)
	}
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: "seeds", Message: fmt.Sprintf("must be from 1 to %d", maxSeeds)})
	}
	if deploymentFail != nil {
		if len(deploymentFail.Faults) == 0 {
			deploymentFail.Faults = []failure.Fault{{Path: "deployment", Message: deploymentFail.Message}}
		}
		invalid.Faults = append(invalid.Faults, deploymentFail.Faults...)
	}
	if len(invalid.Faults) > 0 {
		return deployment, options, invalid
	}
	return deployment, options, nil
}

// readSchedule reads faults at times, each as fault@time.
func readSchedule(entries []string) (schedule []scenario.ScheduledFault, faults []failure.Fault) {
	for _, entry := range entries {
		name, when, ok := strings.Cut(entry, "@")
		after, err := time.ParseDuration(when)
		if !ok || err != nil {
			faults = append(faults, failure.Fault{Path: "at", Message: fmt.Sprintf("%q is no fault@time", entry)})
			continue
		}
		schedule = append(schedule, scenario.ScheduledFault{Fault: name, After: after})
	}
	return schedule, faults
}

// simulationResults are those of all seeds.
type simulationResults struct {
	texts      []string       // a text for each seed, empty for one that is not printed
	violations map[string]int // by rule
	total      *invariant.Checker
}

// simulate runs the seeds, a few at once.
func (c simulateCmd) simulate(deployment scenario.Deployment, options scenario.Options) simulationResults {
	results := simulationResults{texts: make([]string, c.Seeds), violations: map[string]int{}, total: invariant.New()}
	var mu sync.Mutex
	var pending sync.WaitGroup
	slots := make(chan struct{}, parallelSimulations)
	for i := range c.Seeds {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			options := options
			options.Seed = c.Seed + uint64(i)
			simulated := scenario.Simulate(deployment, options)
			mu.Lock()
			defer mu.Unlock()
			for _, violation := range simulated.Checker.Violations {
				results.violations[violation.Rule]++
			}
			results.total.Merge(simulated.Checker)
			results.texts[i] = c.text(deployment, options.Seed, simulated)
		})
	}
	pending.Wait()
	return results
}

// text is what is printed of one seed: nothing if it is one of several and broke no rule.
func (c simulateCmd) text(deployment scenario.Deployment, seed uint64, simulated *world.World) string {
	if c.Seeds > 1 && len(simulated.Checker.Violations) == 0 {
		return ""
	}
	text := fmt.Sprintf("seed %d of %s, %v under faults\n%s", seed, deployment.Name, c.For, simulated.Report())
	if c.Trace {
		text += strings.Join(simulated.Trace, "\n") + "\n"
	}
	return text
}
