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

// CallLatencyWorkload is the name of the workload that measures the call latency.
const CallLatencyWorkload = "walk"

// WorkloadNames returns the names of all workloads: workload.Names and CallLatencyWorkload.
func WorkloadNames() []string { return append(slices.Clone(workload.Names), CallLatencyWorkload) }

// Options describes a measurement and its limits.
type Options struct {
	ProcessCommand []string // command line that runs process.Run
	Commit         string   // commit that the program was built from; BuildCommit if empty
	Command        string   // command line, which is stored in the result
	Dir            string   // parent of the cores' data folders; the system's temporary folder if empty
	Target         plan.Target
	Sizes          []int         // numbers of nodes to measure
	Workloads      []string      // names from WorkloadNames
	Window         time.Duration // length of the steady measurement and of each measurement of the call latency
	TimeLimit      time.Duration // limit of the duration of the whole measurement
	MemoryLimit    float64       // limit of the memory of all processes together, in bytes
	MaxProcesses   int           // limit of the number of processes
	Logf           func(format string, args ...any)
	OnSize         func(*Result) // called with the result so far after each size; may be nil
}

// Limits of the options.
const (
	minSize   = 2
	maxSize   = 10000
	minWindow = 200 * time.Millisecond
	maxWindow = 10 * time.Minute
)

// Validate returns an error that lists every invalid option, or nil.
func (o Options) Validate() *failure.Error {
	invalid := failure.New(failure.BadSettings, "the options of the capacity measurement are invalid")
	addFault := func(path, format string, args ...any) {
		invalid.Faults = append(invalid.Faults, failure.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
	}
	last := 0
	for _, size := range o.Sizes {
		if size < minSize || size > maxSize || size < 2*last {
			addFault("sizes", "size %d must be from %d to %d and at least double the previous size", size, minSize, maxSize)
		}
		last = size
	}
	if len(o.Sizes) == 0 {
		addFault("sizes", "at least one size is required")
	}
	for _, name := range o.Workloads {
		if !slices.Contains(WorkloadNames(), name) {
			addFault("loads", "unknown workload %q; known workloads: %s", name, strings.Join(WorkloadNames(), ", "))
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

// assumedMemory is the assumed size of the machine's memory, in bytes, if /proc/meminfo can't be read.
const assumedMemory = 8 << 30

// HalfOfMemory returns half of the machine's memory, in bytes.
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

// commitHashLength is the number of hexadecimal digits of a commit hash that are stored.
const commitHashLength = 12

// BuildCommit returns the commit recorded in the program's build information, or "unknown". The suffix
// " with changes" marks a build from a modified work tree.
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
