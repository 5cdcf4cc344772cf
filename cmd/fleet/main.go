// Command fleet is the test program that runs a deployment as real processes on loopback
// addresses and checks what happens against the invariants.
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

// app is the command line.
var app struct {
	Bin        string        `default:"bin/cottonarch" help:"The cottonarch program."`
	Old        string        `help:"An older release of it that every process starts as; the fault release upgrades them to the new one."`
	Deployment string        `default:"prairie" help:"prairie or volta."`
	Sidecars   int           `help:"So many sidecars instead of the deployment's own number, with endpoints in proportion; the rates stay."`
	For        time.Duration `default:"120s" help:"How long the traffic runs."`
	Faults     []string      `help:"Faults to inject in turn; all for every one; none if not given."`
	Every      time.Duration `default:"3s" help:"Pause between faults."`
	Overlap    []string      `help:"Faults to inject in turn beside the others; they must not act on the same processes."`
	Leave      float64       `help:"Share of the requests whose clients close the connection before a response, 0 to 1."`
	Long       float64       `help:"Share of the requests that take 1.8 s, 0 to 1."`
	Seed       uint64        `default:"1" help:"Seed of the random choices."`
	Scale      float64       `default:"1" help:"Factor of the deployment's rates."`
	Keep       bool          `help:"Keep settings files, logs and data."`
}

// maxSidecars bounds --sidecars: their addresses are of one subnet.
const maxSidecars = 200

// validate checks the command line; the failure names every fault.
func validate(faults []string) *failure.Error {
	invalid := failure.New(failure.BadSettings, "the fleet can't be run")
	add := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	if _, ok := scenario.Deployments[app.Deployment]; !ok {
		add("deployment", "there is no deployment %q; known: prairie, volta", app.Deployment)
	}
	for _, name := range append(slices.Clone(faults), app.Overlap...) {
		if run.Faults[name] == nil {
			add("faults", "there is no fault %q; known: all, %s", name, strings.Join(run.FaultNames(), ", "))
		}
	}
	if app.Sidecars < 0 || app.Sidecars > maxSidecars {
		add("sidecars", "must be from 0 to %d", maxSidecars)
	}
	if app.For < 20*time.Second || app.For > time.Hour {
		add("for", "must be from 20s to 1h")
	}
	if app.Leave < 0 || app.Leave > 1 {
		add("leave", "must be from 0 to 1")
	}
	if app.Long < 0 || app.Long > 1 {
		add("long", "must be from 0 to 1")
	}
	if app.Every < 0 || app.Every > app.For {
		add("every", "must be from 0s to the length of the run")
	}
	if app.Scale < 0.01 || app.Scale > 100 {
		add("scale", "must be from 0.01 to 100")
	}
	if _, err := os.Stat(app.Bin); err != nil {
		add("bin", "%v", err)
	}
	if _, err := os.Stat(app.Old); app.Old != "" && err != nil {
		add("old", "%v", err)
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
	parser := kong.Parse(&app,
		kong.Name("fleet"),
		kong.Description("Runs a deployment as real processes and checks it against the invariants."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitBadInput // kong itself ends the program only for a wrong command line
			}
			os.Exit(code)
		}))
	faults := app.Faults
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
	if app.Keep || code != 0 {
		fmt.Println("settings files and logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// runFleet runs the deployment in a folder, prints the report and returns the exit code.
func runFleet(dir string, faults []string) int {
	fleet, err := run.Start(run.Options{
		Binary:        app.Bin,
		OldBinary:     app.Old,
		Dir:           dir,
		Deployment:    scenario.Deployments[app.Deployment].WithSidecars(app.Sidecars),
		Duration:      app.For,
		Faults:        faults,
		FaultInterval: app.Every,

		OverlappingFaults: app.Overlap,
		AbandonShare:      app.Leave,
		LongShare:         app.Long,

		Seed:  app.Seed,
		Scale: app.Scale,
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
