package run

import (
	"fmt"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/workload"
)

// CallLatencyWorkload is the name of the call latency among the workloads.
const CallLatencyWorkload = "walk"

// WorkloadNames lists all workloads.
func WorkloadNames() []string { return append(slices.Clone(workload.Names), CallLatencyWorkload) }

// Options is what is to be measured, and its bounds.
type Options struct {
	ProcessCommand []string // command line that runs process.Run
	Commit         string   // that the program was built from, where the build does not hold it
	Command        string   // to be noted with the figures
	Dir            string   // for disk folders; the system's temporary one if empty
	Target         plan.Target
	Sizes          []int         // numbers of nodes
	Workloads      []string      // of WorkloadNames
	Window         time.Duration // of the steady state and of the call latency
	TimeLimit      time.Duration // of the whole
	MemoryLimit    float64       // bytes that all processes together may take
	MaxProcesses   int
	Logf           func(format string, args ...any)
	OnSize         func(*Result) // is given what there is after each size; may be nil
}

// Bounds of what may be asked.
const (
	minSize   = 2
	maxSize   = 10000
	minWindow = 200 * time.Millisecond
	maxWindow = 10 * time.Minute
)

// Validate returns every fault of the options, or nil.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "the capacity can't be measured")
	addFault := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	last := 0
	for _, size := range o.Sizes {
		if size < minSize || size > maxSize || size < 2*last {
			addFault("sizes", "%d: sizes are from %d to %d, each at least double the last", size, minSize, maxSize)
		}
		last = size
	}
	if len(o.Sizes) == 0 {
		addFault("sizes", "at least one size")
	}
	for _, name := range o.Workloads {
		if !slices.Contains(WorkloadNames(), name) {
			addFault("loads", "no load %q; known: %s", name, strings.Join(WorkloadNames(), ", "))
		}
	}
	if o.Window < minWindow || o.Window > maxWindow {
		addFault("for", "must be from 200ms to 10m")
	}
	if len(invalid.Faults) > 0 {
		return invalid
	}
	return nil
}

// assumedMemory is taken for the machine's memory when it can't be read.
const assumedMemory = 8 << 30

// HalfOfMemory is half of this machine's memory, in bytes.
func HalfOfMemory() float64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return assumedMemory / 2
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kibibytes, _ := strconv.ParseFloat(fields[1], 64)
			return kibibytes * 1024 / 2
		}
	}
	return assumedMemory / 2
}

// commitHashLength is how much of a commit's hash is noted.
const commitHashLength = 12

// BuildCommit is the commit that this program was built from, as the build holds it.
func BuildCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, modified := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			commit = setting.Value[:min(commitHashLength, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = " with changes"
		}
	}
	return commit + modified
}
