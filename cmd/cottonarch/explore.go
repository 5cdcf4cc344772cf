package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/explore"
	"cottonarch.example/cottonarch/explore/cluster"
)

// noViolationsText is printed if no rule was broken.
const noViolationsText = "every rule held"

// exploreCmd runs the model checker, or replays a trace of the model checker.
type exploreCmd struct {
	Model      string         `default:"all" enum:"register,membership,configuration,locks,all" help:"Model to explore: ${enum}."`
	Members    int            `default:"3" help:"Number of members of the initial membership, 3 to 5."`
	Keys       int            `default:"2" help:"Number of control keys."`
	Operators  int            `default:"2" help:"Number of concurrent clients."`
	Depth      int            `default:"40" help:"Longest run of the breadth-first search, in choices."`
	States     int            `default:"20000" help:"Maximum number of states that the breadth-first search of one model remembers."`
	Faults     map[string]int `help:"Numbers of faults, in place of the models' own, such as crash=1;late=2. Known: ${explore_faults}."`
	Walks      int            `default:"500" help:"Number of guided random walks after the breadth-first search."`
	Steps      int            `default:"80" help:"Number of choices in each walk."`
	Seed       uint64         `default:"1" help:"Seed of the walks."`
	TimeLimit  time.Duration  `name:"for" default:"0s" help:"Stop after this time; what was explored then depends on the machine. 0 sets no limit."`
	Ring       bool           `help:"Write to the daemon's ring, which is slower."`
	Mutant     string         `name:"break" help:"Break a rule on purpose (a mutant), to check that the violation is found. Known: ${explore_breaks}."`
	TraceFile  string         `name:"trace" help:"Write the trace of the run that broke a rule to this file." type:"path"`
	ReplayFile string         `name:"replay" help:"Replay the trace in this file instead of exploring." type:"path"`
}

// exploreVars returns the names of faults and mutants that the help text of explore lists.
func exploreVars() kong.Vars {
	var faults []string
	for _, f := range cluster.Faults() {
		faults = append(faults, string(f))
	}
	return kong.Vars{"explore_faults": strings.Join(faults, ", "), "explore_breaks": strings.Join(explore.MutantNames(), ", ")}
}

// Run explores the models, or replays a trace. A broken rule is returned as a failure.
func (c exploreCmd) Run() error {
	if c.ReplayFile != "" {
		return c.replay()
	}
	options := c.options()
	if fail := options.Validate(); fail != nil {
		return fail
	}
	parts := explore.Run(options)
	fmt.Print(explore.Text(parts))
	last := parts[len(parts)-1]
	if last.Violation == nil {
		fmt.Println(noViolationsText)
		return nil
	}
	if c.TraceFile != "" {
		if err := os.WriteFile(c.TraceFile, last.Trace().Encode(), 0o644); err != nil {
			return failure.New(failure.BadSettings, "can't write the trace file: %v", err)
		}
	}
	return failure.New(failure.Conflict, "%s", last.Violation)
}

// options converts the flags to the options of the model checker.
func (c exploreCmd) options() explore.Options {
	options := explore.Options{
		Model:     explore.Model(c.Model),
		Members:   c.Members,
		Keys:      c.Keys,
		Operators: c.Operators,
		Depth:     c.Depth,
		States:    c.States,
		Walks:     c.Walks,
		Steps:     c.Steps,
		Seed:      c.Seed,
		Ring:      c.Ring,
		Mutant:    cluster.Mutant(c.Mutant),
		Faults:    map[cluster.Fault]int{},
	}
	for name, n := range c.Faults {
		options.Faults[cluster.Fault(name)] = n
	}
	if c.TimeLimit > 0 {
		deadline := time.Now().Add(c.TimeLimit)
		options.Stop = func() bool { return time.Now().After(deadline) }
	}
	return options
}

// replay replays a trace and prints the steps of the trace.
func (c exploreCmd) replay() error {
	raw, err := os.ReadFile(c.ReplayFile)
	if err != nil {
		return failure.New(failure.BadSettings, "can't read the trace file: %v", err)
	}
	trace, fail := explore.Decode(raw)
	if fail != nil {
		return fail
	}
	lines, violation, fail := trace.Replay()
	for _, line := range lines {
		fmt.Println(line)
	}
	if fail != nil {
		return fail
	}
	if violation == nil {
		fmt.Println(noViolationsText)
		return nil
	}
	return failure.New(failure.Conflict, "%s", violation)
}
