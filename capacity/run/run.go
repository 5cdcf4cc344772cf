// Package run measures a mesh at one size after the other, within bounds of time, memory and
// processes.
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

// Result is the figures of a run, with the options and the build that they were measured with.
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

const (
	// minSizeDuration is the shortest time for which a size is begun.
	minSizeDuration = 3 * time.Second
	// latencySetupTime is set aside, besides the window, for each size's call latency.
	latencySetupTime = 8 * time.Second
	// minReadyTimeout is how long nodes may always take to be ready.
	minReadyTimeout = 5 * time.Second
	gigabyte        = 1e9
)

// measurement is a run in progress.
type measurement struct {
	Options
	deadline time.Time
	result   *Result
}

// Measure measures all sizes. What does not fit within a bound is left out and named.
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

// recordSkippedSize notes why a size was not measured.
func (m *measurement) recordSkippedSize(size int, reason string) {
	note := fmt.Sprintf("%d nodes: %s", size, reason)
	m.result.Skipped = append(m.result.Skipped, note)
	m.Logf("%s", note)
}

// measureSizes puts the mesh under load at each size that fits, until the deadline.
func (m *measurement) measureSizes(deadline time.Time) {
	lastPeak := 0.0 // memory of the last size that was measured
	for i, size := range m.Sizes {
		// The remaining time is divided anew, so that time a smaller size did not use goes to the larger.
		share := time.Until(deadline) / time.Duration(len(m.Sizes)-i)
		if reason := m.exceedsBounds(i, lastPeak, share); reason != "" {
			m.recordSkippedSize(size, reason)
			continue
		}
		began := time.Now()
		peak, err := m.measureSize(size, began.Add(share))
		m.Logf("%d nodes: %.1f s, %.2f GB at its peak", size, time.Since(began).Seconds(), peak/gigabyte)
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

// exceedsBounds tells why the i-th size does not fit, empty if it does. lastPeak is the memory
// of the size before, 0 if none was measured; share is the time there is.
func (m *measurement) exceedsBounds(i int, lastPeak float64, share time.Duration) (reason string) {
	size := m.Sizes[i]
	if processes := m.Target.Cores + 1 + size/m.Target.NodesPerProcess; processes > m.MaxProcesses {
		return fmt.Sprintf("would need %d processes, at most %d may run", processes, m.MaxProcesses)
	}
	if lastPeak > 0 {
		if need := lastPeak * float64(size) / float64(m.Sizes[i-1]); need > m.MemoryLimit {
			return fmt.Sprintf("would need about %.1f GB, at most %.1f may be used", need/gigabyte, m.MemoryLimit/gigabyte)
		}
	}
	if share < minSizeDuration {
		return "no time is left"
	}
	return ""
}

// measureSize measures one size and gives the peak of its memory, over all processes.
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

// measureLatencies measures the call latency once for each size, with as large a part of the
// target's records and routes as the size is of the largest one.
func (m *measurement) measureLatencies() {
	for i, size := range m.Sizes {
		remaining := time.Until(m.deadline) - m.Window
		if remaining < minSizeDuration {
			m.recordSkippedLatency(i, "no time is left")
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
		m.Logf("call latency, %d records, %d routes: %d pairs, added p50 %.3f ms, p99 %.3f ms",
			point.Records, point.Routes, point.Pairs, point.Added["p50"], point.Added["p99"])
		m.result.CallLatency = append(m.result.CallLatency, point)
	}
}

// recordSkippedLatency notes why the call latency was not measured from the i-th size on.
func (m *measurement) recordSkippedLatency(i int, reason string) {
	m.result.Skipped = append(m.result.Skipped, fmt.Sprintf("%s %d: %s", CallLatencyWorkload, i+1, reason))
}
