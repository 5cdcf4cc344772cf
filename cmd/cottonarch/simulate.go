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
	// maxSeeds is the maximum number of seeds of one command.
	maxSeeds = 100000
	// parallelSimulations is the number of seeds that are simulated concurrently.
	parallelSimulations = 8
)

// simulateCmd simulates a deployment under faults.
type simulateCmd struct {
	Deployment      string        `default:"prairie" help:"prairie, volta, or a file that describes one (see docs/simulate.md)."`
	Seed            uint64        `default:"1" help:"Seed; the same seed gives the same bytes."`
	Seeds           int           `default:"1" help:"How many seeds to run, counting up from --seed."`
	Duration        time.Duration `name:"for" default:"60s" help:"Virtual time under faults."`
	Faults          []string      `help:"Faults to draw from, or none; all if not given. Known: ${faults}."`
	Schedule        []string      `name:"at" help:"Schedule of faults, instead of drawn faults: fault@time, such as core-kill@5s."`
	FaultInterval   time.Duration `name:"every" default:"2s" help:"Longest pause between drawn faults."`
	AddCores        int           `help:"What if the deployment had this many more cores."`
	LoseZone        bool          `aliases:"lose-district" help:"What if a zone were lost for the whole time."`
	LoadFactor      float64       `name:"load" aliases:"burden" default:"1" help:"What if the load were this many times as high."`
	ReliableLinks   bool          `name:"calm" help:"No lost, late or duplicated messages."`
	FinalOutage     bool          `name:"heavy" default:"true" negatable:"" help:"End with one heavy fault."`
	Keyspaces       bool          `name:"cells" default:"true" negatable:"" help:"Applications use keyspaces and renewed locks too."`
	Platform        bool          `default:"true" negatable:"" help:"Endpoints with concurrency slots, rejections and relative times of their own, admission queues beside the endpoint trackers, and kills that leave writes unsynced."`
	CoreMessageCost time.Duration `name:"cost" help:"What if a core's process took this long for each message and request, as with a share of a processor."`
	PrintTrace      bool          `name:"trace" help:"Print the whole trace of faults."`
	Mutant          string        `name:"break" default:"" help:"Break a rule on purpose (a mutant), to check that the violation is found. Known: ${breaks}."`
}

// Run simulates the seeds. Of several seeds, Run prints only the seeds whose runs violated a rule.
func (c simulateCmd) Run() error {
	deployment, options, fail := c.readOptions()
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
	var violationCounts []string
	for rule, n := range results.violations {
		violationCounts = append(violationCounts, fmt.Sprintf("%s %d", rule, n))
	}
	slices.Sort(violationCounts)
	return failure.New(failure.Conflict, "rules were broken: %s", strings.Join(violationCounts, ", "))
}

// readOptions reads the deployment, and converts and validates the flags. The failure lists every
// fault.
func (c simulateCmd) readOptions() (scenario.Deployment, scenario.Options, *failure.Error) {
	deployment, deploymentFail := readDeployment(c.Deployment)
	options := scenario.Options{
		Duration:        c.Duration,
		Faults:          c.Faults,
		FaultInterval:   c.FaultInterval,
		AddCores:        c.AddCores,
		LoseZone:        c.LoseZone,
		LoadFactor:      c.LoadFactor,
		FinalOutage:     c.FinalOutage,
		Keyspaces:       c.Keyspaces,
		Platform:        c.Platform,
		LossyLinks:      !c.ReliableLinks,
		CoreMessageCost: c.CoreMessageCost,
		Mutant:          world.Mutant(c.Mutant),
	}
	invalid := failure.New(failure.BadSettings, "the command line of the simulation is invalid")
	var faults []failure.Fault
	options.Schedule, faults = readSchedule(c.Schedule)
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

// readSchedule parses the scheduled faults, each of the form fault@time.
func readSchedule(entries []string) (schedule []scenario.ScheduledFault, faults []failure.Fault) {
	for _, entry := range entries {
		name, when, ok := strings.Cut(entry, "@")
		after, err := time.ParseDuration(when)
		if !ok || err != nil {
			faults = append(faults, failure.Fault{Path: "at", Message: fmt.Sprintf("%q is not of the form fault@time", entry)})
			continue
		}
		schedule = append(schedule, scenario.ScheduledFault{Fault: name, After: after})
	}
	return schedule, faults
}

// simulationResults holds the results of all seeds of a command.
type simulationResults struct {
	texts      []string       // the text to print for each seed, empty if nothing is printed
	violations map[string]int // the number of violations, by rule
	total      *invariant.Checker
}

// simulate simulates all seeds, up to parallelSimulations of them concurrently.
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
			results.texts[i] = c.resultText(deployment, options.Seed, simulated)
		})
	}
	pending.Wait()
	return results
}

// resultText returns the text to print for a seed, which is empty if the command has several seeds and
// this seed broke no rule.
func (c simulateCmd) resultText(deployment scenario.Deployment, seed uint64, simulated *world.World) string {
	if c.Seeds > 1 && len(simulated.Checker.Violations) == 0 {
		return ""
	}
	text := fmt.Sprintf("seed %d of %s, %v under faults\n%s", seed, deployment.Name, c.Duration, simulated.Report())
	if c.PrintTrace {
		text += strings.Join(simulated.Trace, "\n") + "\n"
	}
	return text
}
