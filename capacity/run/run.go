// Package run measures meshes of increasing size, within limits of time, memory and number of processes.
package run

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/capacity/calllatency"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/testbed"
	"cottonarch.example/cottonarch/capacity/workload"
)

// Result holds the measurements of a run, the options of the run and the build of the program.
type Result struct {
	Commit      string              `json:"commit"`
	Command     string              `json:"command"` // command line without the program's folder
	Processors  int                 `json:"processors"`
	Go          string              `json:"go"`
	Target      plan.Target         `json:"target"`
	Sizes       []int               `json:"sizes"`
	Window      string              `json:"window"`
	Points      []workload.Point    `json:"points"`
	CallLatency []calllatency.Point `json:"walk"`
	// Skipped lists the measurements that were skipped, with the reasons.
	Skipped []string `json:"left,omitempty"`
}

const (
	// minSizeDuration is the remaining time below which the measurement of a size does not start.
	minSizeDuration = 3 * time.Second
	// latencySetupTime is reserved for the call latency of each size, in addition to the window.
	latencySetupTime = 8 * time.Second
	// minReadyTimeout is the minimum timeout for nodes to become ready, even close to the deadline.
	minReadyTimeout = 5 * time.Second
	gigabyte        = 1e9
)

// measurement holds the state of a run in progress.
type measurement struct {
	Options
	deadline time.Time
	result   *Result
}

// Measure measures all sizes. Sizes that would exceed a limit are skipped and listed in Result.Skipped.
// The error is not nil if nothing could be measured.
func Measure(options Options) (*Result, error) {
	if err := options.Validate(); err != nil {
		return nil, err
	}
	m := &measurement{Options: options, deadline: time.Now().Add(options.TimeLimit), result: newResult(options)}
	wantLatency := slices.Contains(options.Workloads, CallLatencyWorkload)
	if onlyLatency := wantLatency && len(options.Workloads) == 1; !onlyLatency {
		deadline := m.deadline
		if wantLatency {
			deadline = deadline.Add(-time.Duration(len(options.Sizes)) * (options.Window + latencySetupTime))
		}
		m.measureSizes(deadline)
	}
	if wantLatency {
		m.measureLatencies()
	}
	if len(m.result.Points)+len(m.result.CallLatency) == 0 {
		return m.result, failure.New(failure.DeadlineExceeded, "nothing could be measured: %s", strings.Join(m.result.Skipped, "; "))
	}
	return m.result, nil
}

// newResult returns a result without measurements.
func newResult(options Options) *Result {
	result := &Result{
		Commit:     options.Commit,
		Command:    options.Command,
		Processors: runtime.GOMAXPROCS(0),
		Go:         runtime.Version(),
		Target:     options.Target,
		Sizes:      options.Sizes,
		Window:     options.Window.String(),
	}
	if result.Commit == "" {
		result.Commit = BuildCommit()
	}
	return result
}

// recordSkippedSize records and logs why a size was not measured.
func (m *measurement) recordSkippedSize(size int, reason string) {
	note := fmt.Sprintf("%d nodes: %s", size, reason)
	m.result.Skipped = append(m.result.Skipped, note)
	m.Logf("%s", note)
}

// measureSizes runs the workloads at each size within the limits, until the deadline. It ends at the
// first size whose measurement fails.
func (m *measurement) measureSizes(deadline time.Time) {
	lastPeak := 0.0 // peak memory, in bytes, at the last measured size
	for i, size := range m.Sizes {
		// The remaining time is divided again before each size, so that time which a smaller size did
		// not use is available to the larger sizes.
		share := time.Until(deadline) / time.Duration(len(m.Sizes)-i)
		if reason := m.exceedsLimits(i, lastPeak, share); reason != "" {
			m.recordSkippedSize(size, reason)
			continue
		}
		began := time.Now()
		peak, err := m.measureSize(size, began.Add(share))
		m.Logf("%d nodes: measured in %.1f s, peak memory %.2f GB", size, time.Since(began).Seconds(), peak/gigabyte)
		if err != nil {
			m.recordSkippedSize(size, err.Error())
			return
		}
		lastPeak = peak
		if m.OnSize != nil {
			m.OnSize(m.result)
		}
	}
}

// exceedsLimits returns the reason why the i-th size would exceed a limit, or an empty string. lastPeak
// is the peak memory at the last measured size, or 0 if no size was measured; the estimate assumes that
// the last measured size is the previous size. share is the available time.
func (m *measurement) exceedsLimits(i int, lastPeak float64, share time.Duration) (reason string) {
	size := m.Sizes[i]
	if processes := m.Target.Cores + 1 + size/m.Target.NodesPerProcess; processes > m.MaxProcesses {
		return fmt.Sprintf("would need %d processes, but the limit is %d", processes, m.MaxProcesses)
	}
	if lastPeak > 0 {
		if need := lastPeak * float64(size) / float64(m.Sizes[i-1]); need > m.MemoryLimit {
			return fmt.Sprintf("would need about %.1f GB of memory, but the limit is %.1f GB", need/gigabyte, m.MemoryLimit/gigabyte)
		}
	}
	if share < minSizeDuration {
		return "not enough time is left"
	}
	return ""
}

// measureSize runs the workloads at one size. It returns the sum of the peak memory of all processes,
// in bytes.
func (m *measurement) measureSize(size int, deadline time.Time) (peakBytes float64, err error) {
	mesh, err := testbed.Start(testbed.Options{
		ProcessCommand: m.ProcessCommand,
		Dir:            m.Dir,
		Target:         m.Target,
		NodeCount:      size,
		ReadyTimeout:   max(minReadyTimeout, min(plan.MaxWait, time.Until(deadline))),
	})
	if err != nil {
		return 0, err
	}
	defer mesh.Close()
	runner := &workload.Runner{Mesh: mesh, Window: m.Window, MaxWait: plan.MaxWait, Deadline: deadline}
	err = runner.RunAll(m.Workloads)
	m.result.Points = append(m.result.Points, runner.Points...)
	if reading, readErr := mesh.ReadUsage(); readErr == nil {
		for _, response := range reading.Responses() {
			peakBytes += response.Usage.PeakBytes
		}
	}
	return peakBytes, err
}

// measureLatencies measures the call latency once for each size. The numbers of records and routes are
// those of the target, scaled by the ratio of the size to the largest size.
func (m *measurement) measureLatencies() {
	for i, size := range m.Sizes {
		remaining := time.Until(m.deadline) - m.Window
		if remaining < minSizeDuration {
			m.recordSkippedLatency(i, "not enough time is left")
			return
		}
		share := float64(size) / float64(m.Sizes[len(m.Sizes)-1])
		point, err := calllatency.Measure(calllatency.Options{
			ProcessCommand: m.ProcessCommand,
			Dir:            m.Dir,
			Target:         m.Target,
			Records:        int(share * float64(m.Target.Nodes)),
			Routes:         int(share * float64(m.Target.Routes)),
			Duration:       m.Window,
			ReadyTimeout:   min(plan.MaxWait, remaining),
		})
		if err != nil {
			m.recordSkippedLatency(i, err.Error())
			return
		}
		m.Logf("call latency with %d records and %d routes: %d pairs of calls, added p50 %.3f ms, added p99 %.3f ms",
			point.Records, point.Routes, point.Pairs, point.Added["p50"], point.Added["p99"])
		m.result.CallLatency = append(m.result.CallLatency, point)
	}
}

// recordSkippedLatency records why the call latency was not measured from the i-th size on.
func (m *measurement) recordSkippedLatency(i int, reason string) {
	m.result.Skipped = append(m.result.Skipped, fmt.Sprintf("%s, from %d nodes on: %s", CallLatencyWorkload, m.Sizes[i], reason))
}
