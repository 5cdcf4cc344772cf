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

// noFaults is the name that, as the only element of Options.Faults, selects no faults.
const noFaults = "none"

// The bounds of the options.
const (
	minDuration, maxDuration     = 5 * time.Second, time.Hour
	minLoadFactor, maxLoadFactor = 0.01, 100
	maxAddedCores                = 4
	maxCoreMessageCost           = 100 * time.Millisecond
)

// ScheduledFault is one fault of a schedule. After is the time since the start of the fault phase.
type ScheduledFault struct {
	Fault string
	After time.Duration
}

// Options select how a run changes its deployment, and which faults the run injects.
type Options struct {
	Seed          uint64
	Duration      time.Duration    // length of the fault phase
	Faults        []string         // random faults are selected from these; empty means all, "none" means none
	Schedule      []ScheduledFault // instead of random faults
	FaultInterval time.Duration    // maximum pause between random faults; 0 means 2 s
	AddCores      int              // number of cores in addition to the cores of the deployment
	LoseZone      bool             // isolates a zone from the other zones for the rest of the run
	FinalOutage   bool             // at the end all cores lose power and half of the sidecars are killed
	LossyLinks    bool             // links lose, delay and duplicate messages during the whole run
	LoadFactor    float64          // factor of the request rate
	Scale         float64          // multiplies the request rate in addition to LoadFactor, to shorten a run; 0 means 1
	Mutant        world.Mutant
	// Keyspaces adds clients that use keyspaces and the platform's locks. The clients are optional,
	// because every client draws random numbers from the generator of the run: clients in every run
	// would change the runs of known seeds.
	Keyspaces bool
	// Platform sets World.Platform, which is optional because it changes the runs of known seeds.
	Platform bool
	// CoreMessageCost sets World.CoreMessageCost.
	CoreMessageCost time.Duration
}

// Validate returns an error that lists every invalid option, or nil.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "the simulation can't be run")
	addInvalid := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	o.validateFaults(addInvalid)
	if _, ok := world.Mutants[o.Mutant]; !ok && o.Mutant != "" {
		addInvalid("break", "there is no mutant %q", o.Mutant)
	}
	if o.Mutant.NeedsPlatform() && !o.Platform {
		addInvalid("break", "mutant %q needs the platform option", o.Mutant)
	}
	if o.Duration < minDuration || o.Duration > maxDuration {
		addInvalid("for", "must be from 5s to 1h")
	}
	if o.LoadFactor < minLoadFactor || o.LoadFactor > maxLoadFactor {
		addInvalid("burden", "must be from %v to %v", minLoadFactor, maxLoadFactor)
	}
	if o.AddCores < 0 || o.AddCores > maxAddedCores {
		addInvalid("add-cores", "must be from 0 to %d", maxAddedCores)
	}
	if o.CoreMessageCost < 0 || o.CoreMessageCost > maxCoreMessageCost {
		addInvalid("cost", "must be from 0 to %v", maxCoreMessageCost)
	}
	if len(invalid.Faults) > 0 {
		return invalid
	}
	return nil
}

// validateFaults reports invalid elements of Faults and Schedule.
func (o Options) validateFaults(addInvalid func(path, format string, args ...any)) {
	for _, name := range o.Faults {
		if _, ok := Faults[name]; !ok && name != noFaults {
			addInvalid("faults", "there is no fault %q; known: none, %s", name, strings.Join(FaultNames(), ", "))
		}
	}
	for _, scheduled := range o.Schedule {
		if _, ok := Faults[scheduled.Fault]; !ok {
			addInvalid("at", "there is no fault %q; known: %s", scheduled.Fault, strings.Join(FaultNames(), ", "))
		}
		if scheduled.After < 0 || scheduled.After > o.Duration {
			addInvalid("at", "the time %v is not within the fault phase of %v", scheduled.After, o.Duration)
		}
	}
}

// usesRandomFaults reports whether the run injects random faults.
func (o Options) usesRandomFaults() bool {
	return len(o.Schedule) == 0 && !slices.Equal(o.Faults, []string{noFaults})
}

// FaultNames returns the sorted names of all faults.
func FaultNames() []string { return slices.Sorted(maps.Keys(Faults)) }

// MutantNames returns the sorted names of all mutants.
func MutantNames() []string {
	var names []string
	for m := range world.Mutants {
		names = append(names, string(m))
	}
	slices.Sort(names)
	return names
}
