// Command fleet is a test program that runs a deployment as real processes on loopback addresses,
// injects faults and checks the observed behavior against the invariants.
package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/fleet/run"
	"cottonarch.example/cottonarch/sim/scenario"
)

// flags is the command line.
var flags struct {
	Binary            string        `name:"bin" default:"bin/cottonarch" help:"The cottonarch program."`
	OldBinary         string        `name:"old" help:"The program of an older release, with which every process starts; the fault release upgrades the processes to --bin."`
	Deployment        string        `default:"prairie" help:"prairie or volta."`
	Sidecars          int           `help:"Number of sidecars in place of the deployment's own number, with endpoints in proportion; the rates stay."`
	Duration          time.Duration `name:"for" default:"120s" help:"How long the traffic runs."`
	Faults            []string      `help:"Faults to inject in turn; all for every one; none if not given."`
	FaultInterval     time.Duration `name:"every" default:"3s" help:"Pause between faults."`
	OverlappingFaults []string      `name:"overlap" help:"Faults to inject in turn beside the others; they must not act on the same processes."`
	AbandonShare      float64       `name:"leave" help:"Share of the requests whose clients close the connection before a response, 0 to 1."`
	LongShare         float64       `name:"long" help:"Share of the requests that take 1.8 s, 0 to 1."`
	Seed              uint64        `default:"1" help:"Seed of the random choices."`
	Scale             float64       `default:"1" help:"Factor of the deployment's rates."`
	KeepFiles         bool          `name:"keep" help:"Keep settings files, logs and data."`
}

// maxSidecars bounds --sidecars, because the addresses of all sidecars are in one subnet.
const maxSidecars = 200

// validate validates the command line. The failure lists every fault.
func validate(faults []string) *failure.Error {
	invalid := failure.New(failure.BadSettings, "the command line of the fleet is invalid")
	addFault := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if _, ok := scenario.Deployments[flags.Deployment]; !ok {
		addFault("deployment", "unknown deployment %q; known: prairie, volta", flags.Deployment)
	}
	for _, name := range append(slices.Clone(faults), flags.OverlappingFaults...) {
		if run.Faults[name] == nil {
			addFault("faults", "unknown fault %q; known: all, %s", name, strings.Join(run.FaultNames(), ", "))
		}
	}
	if flags.Sidecars < 0 || flags.Sidecars > maxSidecars {
		addFault("sidecars", "must be from 0 to %d", maxSidecars)
	}
	if flags.Duration < 20*time.Second || flags.Duration > time.Hour {
		addFault("for", "must be from 20s to 1h")
	}
	if flags.AbandonShare < 0 || flags.AbandonShare > 1 {
		addFault("leave", "must be from 0 to 1")
	}
	if flags.LongShare < 0 || flags.LongShare > 1 {
		addFault("long", "must be from 0 to 1")
	}
	if flags.FaultInterval < 0 || flags.FaultInterval > flags.Duration {
		addFault("every", "must be from 0s to the length of the run")
	}
	if flags.Scale < 0.01 || flags.Scale > 100 {
		addFault("scale", "must be from 0.01 to 100")
	}
	if _, err := os.Stat(flags.Binary); err != nil {
		addFault("bin", "%v", err)
	}
	if _, err := os.Stat(flags.OldBinary); flags.OldBinary != "" && err != nil {
		addFault("old", "%v", err)
	}
	if len(invalid.Faults) > 0 {
		return invalid
	}
	return nil
}

// The exit codes.
const (
	exitViolation = 1
	exitBadInput  = 2
)

func main() {
	parser := kong.Parse(&flags,
		kong.Name("fleet"),
		kong.Description("Runs a deployment as real processes and checks it against the invariants."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitBadInput // kong itself exits with an error only for an invalid command line
			}
			os.Exit(code)
		}))
	faults := flags.Faults
	if len(faults) == 1 && faults[0] == "all" {
		faults = run.FaultNames()
	}
	if invalid := validate(faults); invalid != nil {
		fmt.Fprintln(os.Stderr, "fleet:", invalid.Error())
		os.Exit(exitBadInput)
	}
	dir, err := os.MkdirTemp("", "fleet")
	parser.FatalIfErrorf(err)
	code := runFleet(dir, faults)
	if flags.KeepFiles || code != 0 {
		fmt.Println("settings files and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// runFleet runs the deployment in a folder, prints the report and returns the exit code.
func runFleet(dir string, faults []string) int {
	fleet, err := run.Start(run.Options{
		Binary:        flags.Binary,
		OldBinary:     flags.OldBinary,
		Dir:           dir,
		Deployment:    scenario.Deployments[flags.Deployment].WithSidecars(flags.Sidecars),
		Duration:      flags.Duration,
		Faults:        faults,
		FaultInterval: flags.FaultInterval,

		OverlappingFaults: flags.OverlappingFaults,
		AbandonShare:      flags.AbandonShare,
		LongShare:         flags.LongShare,

		Seed:  flags.Seed,
		Scale: flags.Scale,
		Logf:  func(format string, args ...any) { fmt.Printf(format+"\n", args...) },
	})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		fmt.Println(err)
		return exitBadInput
	}
	fleet.Run()
	fmt.Print(fleet.Report())
	if len(fleet.Checker.Violations) > 0 {
		return exitViolation
	}
	return 0
}
