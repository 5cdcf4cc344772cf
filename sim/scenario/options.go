package scenario

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/sim/world"
)

// noFaults is the name that stands for no faults in a list of them.
const noFaults = "none"

// The bounds of the options.
const (
	minDuration, maxDuration     = 5 * time.Second, time.Hour
	minLoadFactor, maxLoadFactor = 0.01, 100
	maxAddedCores                = 4
	maxCoreMessageCost           = 100 * time.Millisecond
)

// ScheduledFault is one fault of a schedule, some time after faults begin.
type ScheduledFault struct {
	Fault string
	After time.Duration
}

// Options say what a run changes of its deployment and what goes wrong.
type Options struct {
	Seed          uint64
	Duration      time.Duration    // of the time under faults
	Faults        []string         // the faults to draw from; empty means all, "none" none
	Schedule      []ScheduledFault // instead of drawn faults
	FaultInterval time.Duration    // the longest pause between drawn faults, the default if 0
	AddCores      int
	LoseZone      bool
	FinalOutage   bool    // all cores lose power in the end
	LossyLinks    bool    // messages are lost, delayed and duplicated throughout
	LoadFactor    float64 // times the rate of requests
	Scale         float64 // times the rate of requests, to run faster; 1 if 0
	Mutant        world.Mutant
	// Keyspaces says that clients use keyspaces and the platform's locks too. It is an option
	// because every client draws from the seed: known seeds are worth keeping.
	Keyspaces bool
	// Platform sets World.Platform; an option for the same reason.
	Platform bool
	// CoreMessageCost sets World.CoreMessageCost.
	CoreMessageCost time.Duration
}

// Validate returns every fault of the options, nil if there is none.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "the what-if can't be run")
	add := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	o.validateFaults(add)
	if _, ok := world.Mutants[o.Mutant]; !ok && o.Mutant != "" {
		add("break", "there is no break %q", o.Mutant)
	}
	if o.Mutant.NeedsPlatform() && !o.Platform {
		add("break", "%q needs the platform", o.Mutant)
	}
	if o.Duration < minDuration || o.Duration > maxDuration {
		add("for", "must be from 5s to 1h")
	}
	if o.LoadFactor < minLoadFactor || o.LoadFactor > maxLoadFactor {
		add("burden", "must be from %v to %v", minLoadFactor, maxLoadFactor)
	}
	if o.AddCores < 0 || o.AddCores > maxAddedCores {
		add("add-cores", "must be from 0 to %d", maxAddedCores)
	}
	if o.CoreMessageCost < 0 || o.CoreMessageCost > maxCoreMessageCost {
		add("cost", "must be from 0 to %v", maxCoreMessageCost)
	}
	if len(invalid.Faults) > 0 {
		return invalid
	}
	return nil
}

// validateFaults adds the faults of the lists of faults.
func (o Options) validateFaults(add func(path, format string, args ...any)) {
	for _, name := range o.Faults {
		if _, ok := Faults[name]; !ok && name != noFaults {
			add("faults", "there is no fault %q; there are none, %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	for _, scheduled := range o.Schedule {
		if _, ok := Faults[scheduled.Fault]; !ok {
			add("at", "there is no fault %q; there are %s", scheduled.Fault, strings.Join(FaultNames(), ", "))
		}
		if scheduled.After < 0 || scheduled.After > o.Duration {
			add("at", "%v is not within the run of %v", scheduled.After, o.Duration)
		}
	}
}

// drawsFaults tells whether faults are drawn.
func (o Options) drawsFaults() bool {
	return len(o.Schedule) == 0 && !slices.Equal(o.Faults, []string{noFaults})
}

// FaultNames lists the names of all faults.
func FaultNames() []string { return slices.Sorted(maps.Keys(Faults)) }

// MutantNames lists the names of all mutants.
func MutantNames() []string {
	var names []string
	for m := range world.Mutants {
		names = append(names, string(m))
	}
	slices.Sort(names)
	return names
}
