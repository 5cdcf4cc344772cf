package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/process"
	"cottonarch.example/cottonarch/capacity/report"
	"cottonarch.example/cottonarch/capacity/run"
)

// capacityCmd measures the cost of growing meshes and extrapolates to a larger mesh.
type capacityCmd struct {
	Sizes         []int         `default:"5,10,20,40" help:"Numbers of nodes to measure, each at least double the last."`
	Workloads     []string      `name:"loads" default:"steady,leave,manifest,restart,walk" help:"What to measure: all, or some of ${loads}. Steady heartbeats are always measured."`
	Window        time.Duration `name:"for" default:"3s" help:"Length of each measurement, and of the pause between two measurements."`
	OutDir        string        `name:"out" default:"capacity-out" help:"Folder for the figures, tables and plots." type:"path"`
	Target        string        `help:"File with the size to extrapolate to and the budgets for that size; the users' target if not given." type:"path"`
	PageFile      string        `name:"page" help:"A page whose tables are replaced between its capacity markers." type:"path"`
	EarlierResult string        `name:"from" help:"Write tables, plots and page from an earlier run's figures, and measure nothing." type:"path"`
	TimeLimit     time.Duration `name:"limit" default:"170s" help:"How long the whole run may take; what does not fit is left out and listed."`
	DiskDir       string        `name:"disks" help:"Folder for the cores' data folders; the system's temporary folder if not given." type:"path"`
	MemoryLimit   float64       `name:"memory" help:"Bytes that all processes together may take; half of the machine's if not given."`
	Commit        string        `help:"Commit that this program was built from, for builds that do not record the commit."`
	MaxProcesses  int           `aliases:"most" default:"300" help:"How many processes there may be at once."`
}

// capacityProcessCmd is the hidden command with which capacityCmd starts the processes of a mesh.
type capacityProcessCmd struct{}

// Run runs one process of a measured mesh, controlled by commands on standard input.
func (capacityProcessCmd) Run() error { return process.Run(os.Stdin, os.Stdout) }

// Run measures, or reads the result of an earlier run, and writes the report.
func (c capacityCmd) Run() error {
	if c.EarlierResult != "" {
		result, err := report.ReadResult(c.EarlierResult)
		if err != nil {
			return err
		}
		return c.writeReport(result)
	}
	options, err := c.options()
	if err != nil {
		return err
	}
	result, err := run.Measure(options)
	if err != nil {
		return err
	}
	return c.writeReport(result)
}

// options reads the target file and converts the flags to the options of a measurement.
func (c capacityCmd) options() (run.Options, error) {
	target, err := plan.Read(c.Target)
	if err != nil {
		return run.Options{}, err
	}
	executable, err := os.Executable()
	if err != nil {
		return run.Options{}, failure.Wrap(err, failure.Internal, "can't find the path of this program")
	}
	options := run.Options{
		ProcessCommand: []string{executable, "capacity-part"},
		Dir:            c.DiskDir,
		Target:         target,
		Sizes:          c.Sizes,
		Workloads:      c.Workloads,
		Commit:         c.Commit,
		Command:        "cottonarch " + strings.Join(os.Args[1:], " "),
		Window:         c.Window,
		TimeLimit:      c.TimeLimit,
		MemoryLimit:    c.MemoryLimit,
		MaxProcesses:   c.MaxProcesses,
		Logf:           logProgress,
		OnSize: func(result *run.Result) {
			if _, err := report.Write(result, c.OutDir); err != nil {
				logProgress("%v", err)
			}
		},
	}
	if options.MemoryLimit <= 0 {
		options.MemoryLimit = run.HalfOfMemory()
	}
	if len(c.Workloads) == 1 && c.Workloads[0] == "all" {
		options.Workloads = run.WorkloadNames()
	}
	return options, nil
}

// logProgress prints a line of progress to standard error.
func logProgress(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }

// writeReport writes the report, updates the page if one is given, and prints the tables.
func (c capacityCmd) writeReport(result *run.Result) error {
	text, err := report.Write(result, c.OutDir)
	if err != nil {
		return err
	}
	if c.PageFile != "" {
		if err := report.UpdatePage(c.PageFile, text); err != nil {
			return err
		}
	}
	fmt.Print(text)
	return nil
}
