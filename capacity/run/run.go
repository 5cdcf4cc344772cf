// Package run measures one size after the other, within bounds of time, memory and
// processes.
package run

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/calllatency"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/testbed"
	"cottonarch.example/cottonarch/capacity/workload"
)

// CallLatencyWorkload is the name of the walk among the loads.
const CallLatencyWorkload = "walk"

// Options is what is asked.
type Options struct {
	ProcessCommand []string // the command that runs a part
	Commit         string   // that the program was built from, where the build does not hold it
	Command        string   // to be noted with the figures
	Dir            string   // for disk folders; the system's own if empty
	Target         plan.Target
	Sizes          []int
	Workloads      []string
	Window         time.Duration // the window of each look
	TimeLimit      time.Duration // of the whole
	MemoryLimit    float64       // bytes that all processes may take
	MaxProcesses   int           // how many processes there may be
	Logf           func(string, ...any)
	OnSize         func(*Result) // is given what there is after each size; may be nil
}

// Result is all that was measured, with what is needed to repeat it.
type Result struct {
	Commit      string              `json:"commit"`
	Command     string              `json:"command"` // as it was given, without the program's folder
	Processors  int                 `json:"processors"`
	Go          string              `json:"go"`
	Target      plan.Target         `json:"target"`
	Sizes       []int               `json:"sizes"`
	Window      string              `json:"window"`
	Points      []workload.Point    `json:"points"`
	CallLatency []calllatency.Point `json:"walk"`
	// Skipped names what was not measured, and why.
	Skipped []string `json:"left,omitempty"`
}

// Validate names every fault.
func (options Options) Validate() *failure.Error {
	fault := failure.New(failure.BadSettings, "the capacity can't be measured")
	addFault := func(path, note string, args ...any) {
		fault.Faults = append(fault.Faults, failure.Fault{Path: path, Note: fmt.Sprintf(note, args...)})
	}
	last := 0
	for _, n := range options.Sizes {
		if n < 2 || n > 10000 || n < 2*last {
			addFault("sizes", "%d: sizes are from 2 to 10000, each at least double the last", n)
		}
		last = n
	}
	if len(options.Sizes) == 0 {
		addFault("sizes", "at least one size")
	}
	for _, n := range options.Workloads {
		if n != CallLatencyWorkload && !workload.Known(n) {
			addFault("loads", "no load %q; known: %s, %s", n, strings.Join(workload.Names, ", "), CallLatencyWorkload)
		}
	}
	if options.Window < 200*time.Millisecond || options.Window > 10*time.Minute {
		addFault("for", "must be from 200ms to 10m")
	}
	if len(fault.Faults) > 0 {
		return fault
	}
	return nil
}

// HalfOfMemory is half of this machine's memory, in bytes.
func HalfOfMemory() float64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err == nil {
		for line := range strings.Lines(string(raw)) {
			if f := strings.Fields(line); len(f) > 1 && f[0] == "MemTotal:" {
				n, _ := strconv.ParseFloat(f[1], 64)
				return n * 1024 / 2
			}
		}
	}
	return 4 << 30
}

// BuildCommit is the one that this program was built from.
func BuildCommit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision, dirty := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			dirty = " with changes"
		}
	}
	return revision + dirty
}

// minSizeTime is the shortest time for which a size is begun.
const minSizeTime = 3 * time.Second

// Measure measures. What fits in no bound is left out and named.
func Measure(options Options) (*Result, error) {
	if fault := options.Validate(); fault != nil {
		return nil, fault
	}
	result := &Result{Commit: BuildCommit(), Command: options.Command, Processors: runtime.GOMAXPROCS(0), Go: runtime.Version(), Target: options.Target, Sizes: options.Sizes, Window: options.Window.String()}
	if options.Commit != "" {
		result.Commit = options.Commit
	}
	deadline := time.Now().Add(options.TimeLimit)
	sizesDeadline := deadline
	wantLatency := has(options.Workloads, CallLatencyWorkload)
	if wantLatency {
		sizesDeadline = sizesDeadline.Add(-time.Duration(len(options.Sizes)) * (options.Window + 8*time.Second))
	}
	skip := func(n int, reason string, args ...any) {
		result.Skipped = append(result.Skipped, fmt.Sprintf("%d nodes: %s", n, fmt.Sprintf(reason, args...)))
		options.Logf("%d nodes: %s", n, fmt.Sprintf(reason, args...))
	}
	var peaks []float64
	onlyLatency := len(options.Workloads) == 1 && wantLatency
	for i, n := range options.Sizes {
		if onlyLatency {
			break
		}
		if processes := options.Target.Cores + 1 + n/options.Target.NodesPerProcess; processes > options.MaxProcesses {
			skip(n, "would need %d processes, %d may be", processes, options.MaxProcesses)
			continue
		}
		if i > 0 && len(peaks) > 0 {
			if need := peaks[len(peaks)-1] * float64(n) / float64(options.Sizes[i-1]); need > options.MemoryLimit {
				skip(n, "would need about %.1f GB, %.1f may be used", need/1e9, options.MemoryLimit/1e9)
				continue
			}
		}
		began := time.Now()
		// What the smaller sizes leave goes to the larger.
		share := time.Until(sizesDeadline) / time.Duration(len(options.Sizes)-i)
		if share < minSizeTime {
			skip(n, "no time is left")
			continue
		}
		peak, err := measureSize(options, n, began.Add(share), result)
		options.Logf("%d nodes: %.1f s, %.2f GB at its peak", n, time.Since(began).Seconds(), peak/1e9)
		if err != nil {
			skip(n, "%v", err)
			break
		}
		peaks = append(peaks, peak)
		if options.OnSize != nil {
			options.OnSize(result)
		}
	}
	if wantLatency {
		for i, n := range options.Sizes {
			share := float64(n) / float64(options.Sizes[len(options.Sizes)-1])
			records, routes := int(share*float64(options.Target.Nodes)), int(share*float64(options.Target.Routes))
			remaining := time.Until(deadline) - options.Window
			if remaining < minSizeTime {
				result.Skipped = append(result.Skipped, fmt.Sprintf("walk %d: no time is left", i+1))
				break
			}
			point, err := calllatency.Measure(options.ProcessCommand, options.Dir, options.Target, records, routes, options.Window, min(plan.MaxWait, remaining))
			if err != nil {
				result.Skipped = append(result.Skipped, fmt.Sprintf("walk %d: %v", i+1, err))
				break
			}
			options.Logf("walk, %d records, %d ways: %d pairs, added p50 %.3f ms, p99 %.3f ms", point.Records, point.Routes, point.Pairs, point.Added["p50"], point.Added["p99"])
			result.CallLatency = append(result.CallLatency, point)
		}
	}
	if len(result.Points)+len(result.CallLatency) == 0 {
		return result, failure.New(failure.DeadlineExceeded, "nothing could be measured: %s", strings.Join(result.Skipped, "; "))
	}
	return result, nil
}

func has(list []string, name string) bool {
	for _, n := range list {
		if n == name {
			return true
		}
	}
	return false
}

// measureSize measures one size and gives the memory of all processes.
func measureSize(options Options, n int, deadline time.Time, result *Result) (float64, error) {
	mesh, err := testbed.Start(testbed.Options{ProcessCommand: options.ProcessCommand, Dir: options.Dir, Target: options.Target, NodeCount: n, ReadyTimeout: max(5*time.Second, min(plan.MaxWait, time.Until(deadline)))})
	if err != nil {
		return 0, err
	}
	defer mesh.Close()
	run := &workload.Run{Mesh: mesh, Window: options.Window, MaxWait: plan.MaxWait, Deadline: deadline}
	err = run.RunAll(options.Workloads)
	result.Points = append(result.Points, run.Points...)
	sum := 0.0
	if last, e := mesh.Read(); e == nil {
		for _, a := range append(append(last.Cores, last.SharedNodes...), last.FirstNode) {
			sum += a.Usage.PeakBytes
		}
	}
	return sum, err
}

// WorkloadNames lists all loads.
func WorkloadNames() []string {
	return append(append([]string{}, workload.Names...), CallLatencyWorkload)
}
