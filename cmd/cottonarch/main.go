// Command cottonarch runs the daemons of the mesh, the simulator, the model checker and the operators'
// client, each as a subcommand.
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

// The exit codes. A rule violation found by a simulation or an exploration is a failure too.
const (
	exitFailure  = 1
	exitBadInput = 2
)

// commandLine defines the commands. A flag or command that has an alias was renamed; the alias is the
// deprecated name, which this release still accepts.
type commandLine struct {
	Core     coreCmd            `cmd:"" help:"Run a core: control state on disk, the registry, coordination."`
	Sidecar  sidecarCmd         `cmd:"" help:"Run a sidecar: the proxy beside an application."`
	Platform platformCmd        `cmd:"" help:"Run the role that the platform's settings file gives, with the platform's headers and calls."`
	Simulate simulateCmd        `cmd:"" help:"Simulate a deployment under faults; ends with 1 when a rule is broken."`
	Explore  exploreCmd         `cmd:"" help:"Check the control plane's steps over all orders of messages and faults up to a bound; ends with 1 when a rule is broken."`
	Endpoint endpointCmd        `cmd:"" help:"Run a stand-in endpoint."`
	Client   clientCmd          `cmd:"" aliases:"caller" help:"Run stand-in clients and print the outcomes of their requests."`
	Capacity capacityCmd        `cmd:"" help:"Measure the resource usage of meshes of growing size, and extrapolate to a larger mesh."`
	Process  capacityProcessCmd `cmd:"" hidden:"" name:"capacity-part" help:"One process of a measured mesh; reads commands from standard input."`
	operatorCmds
}

// operatorCmds are the commands that call a running core or sidecar.
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

// newParser returns a parser that stores the values of a command line in line.
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
				code = exitBadInput // an invalid command line counts as bad input
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

// exitCode returns the exit code of the program for a failure.
func exitCode(fail *failure.Error) int {
	if fail.Kind == failure.BadSettings {
		return exitBadInput
	}
	return exitFailure
}
