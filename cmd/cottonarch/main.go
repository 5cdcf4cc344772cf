// Command cottonarch is the one program of the mesh; the role is a subcommand.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/run"
	"cottonarch.example/cottonarch/sim/scenario"
)

// The exit codes. A rule that a simulation or exploration finds broken is a failure too.
const (
	exitFailure  = 1
	exitBadInput = 2
)

// commandLine is what the command line may hold. A flag or command that has an alias was renamed;
// the alias is its old name and is still read in this release.
type commandLine struct {
	Core     coreCmd            `cmd:"" help:"Run a core: control state on disk, the registry, coordination."`
	Sidecar  sidecarCmd         `cmd:"" help:"Run a sidecar: the proxy beside an application."`
	Platform platformCmd        `cmd:"" help:"Run the role that the platform's settings file gives, with the platform's headers and calls."`
	Simulate simulateCmd        `cmd:"" help:"Simulate a deployment under faults; ends with 1 when a rule is broken."`
	Explore  exploreCmd         `cmd:"" help:"Check the control plane's steps over all orders of messages and faults up to a bound; ends with 1 when a rule is broken."`
	Endpoint endpointCmd        `cmd:"" help:"Run a stand-in endpoint."`
	Client   clientCmd          `cmd:"" aliases:"caller" help:"Run stand-in clients and print the outcomes of their requests."`
	Capacity capacityCmd        `cmd:"" help:"Measure what a mesh costs as it grows, and what that says of a larger one."`
	Process  capacityProcessCmd `cmd:"" hidden:"" name:"capacity-part" help:"One process of a measured mesh; reads commands from its input."`
	operatorCmds
}

// operatorCmds call a running core or sidecar.
type operatorCmds struct {
	Apply   applyCmd   `cmd:"" help:"Apply a configuration, or a patch of the newest one, at a core."`
	Show    showCmd    `cmd:"" help:"Show the newest confirmed configuration (core) or the one in force (sidecar)."`
	Status  statusCmd  `cmd:"" help:"Show a daemon's status and counters."`
	Rollout rolloutCmd `cmd:"" help:"Move a route to another service in steps, or roll it back."`
	Audit   auditCmd   `cmd:"" help:"Fetch the audit log of configurations and verify it."`
	Lock    lockCmd    `cmd:"" help:"Acquire, renew, release, transfer or read a lock."`
	Number  numberCmd  `cmd:"" help:"Take the next number of a sequence, or read the last."`
	Key     keyCmd     `cmd:"" help:"Read, write, delete or list small keys."`
	Watch   watchCmd   `cmd:"" help:"Follow changes of the keys with a prefix."`
}

// newParser makes the parser of a command line.
func newParser(line *commandLine) (*kong.Kong, error) {
	return kong.New(line,
		kong.Name("cottonarch"),
		kong.Description("A service mesh: cores hold the control state, sidecars carry the traffic."),
		kong.UsageOnError(),
		exploreVars(),
		kong.Vars{
			"faults": strings.Join(scenario.FaultNames(), ", "),
			"breaks": strings.Join(scenario.MutantNames(), ", "),
			"loads":  strings.Join(run.WorkloadNames(), ", "),
		},
		kong.Exit(func(code int) {
			if code != 0 && code != exitFailure {
				code = exitBadInput // a wrong command line is bad input too
			}
			os.Exit(code)
		}))
}

func main() {
	var line commandLine
	parser, err := newParser(&line)
	if err != nil {
		panic(err)
	}
	command, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	warnDeprecated(command)
	if err := command.Run(); err != nil {
		fail := failure.From(err)
		fmt.Fprintln(os.Stderr, "cottonarch:", fail.Error())
		os.Exit(exitCode(fail))
	}
}

// exitCode is the code that the program ends with after a failure.
func exitCode(fail *failure.Error) int {
	if fail.Kind == failure.BadSettings {
		return exitBadInput
	}
	return exitFailure
}
