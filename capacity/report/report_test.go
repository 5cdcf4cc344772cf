package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/capacity/calllatency"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/run"
	"cottonarch.example/cottonarch/capacity/workload"
)

// sampleResult is a run whose sidecars cost so much each per node there is.
func sampleResult(cores float64, meshCPU float64) *run.Result {
	r := &run.Result{Commit: "c", Target: plan.Default(), Sizes: []int{10, 20, 40, 80}}
	for _, n := range r.Sizes {
		x := float64(n)
		steady := workload.Point{Nodes: n, Workload: "steady", Values: map[string]float64{
			"sidecar/all/processor cores":   cores * x,
			"core/leases/messages a second": 4 * x,
			"core/busiest/processor cores":  x / 1000,
			"sidecar/all/memory":            30e6 + x*1000,
			"sidecar/all/bytes a second":    5000,
		}}
		changes := workload.Point{Nodes: n, Workload: "changes", MeshCPU: meshCPU, Values: map[string]float64{
			"mesh/known to all/seconds":     x / 50,
			"sidecar/all/processor seconds": 2.88,
			"sidecar/all/bytes":             288000,
		}}
		r.Points = append(r.Points, steady, changes)
	}
	r.CallLatency = []calllatency.Point{{Records: 600, Routes: 5000, Pairs: 9, Added: map[string]float64{"p50": 0.25, "p99": 0.9}}}
	return r
}

func TestBudgetAndTables(t *testing.T) {
	result := sampleResult(0.00001, 0)
	got := map[string]BudgetLine{}
	for _, line := range BudgetLines(result, Rows(result)) {
		got[line.Metric] = line
	}
	// 600 nodes, and 300 changes of 2.88 s over a day.
	must.InDelta(t, 0.006+0.01, got["a node's control, processor"].Value, 1e-4)
	must.InDelta(t, 1.6, got["a node's control, processor"].Ratio(), 0.01)
	must.InDelta(t, 5000+1000, got["a node's control, both ways"].Value, 1)
	must.InDelta(t, 30.6e6, got["a node's memory, steady"].Value, 1e4)
	must.InDelta(t, 12, got["changes: in force everywhere"].Value, 0.1)
	must.InDelta(t, 0.9, got["added to a call, 99 in 100"].Ratio(), 0.001)
	text := Tables(result)
	for _, want := range []string{"**over, ×1.6**", "| fits |", "×7.5", "16 × p50", "| leases | mesh/lease, control/leasetable | 2400 |"} {
		must.StrContains(t, text, want)
	}
	must.Eq(t, text, Tables(result))
	// Times of a crowded machine make no line.
	result = sampleResult(0.00001, 0.99)
	_, ok := findRow(Rows(result), "changes", "mesh/known to all/seconds")
	must.False(t, ok)
	must.StrContains(t, Tables(result), "left out of the fits")
}

func TestWriteAndUpdatePage(t *testing.T) {
	dir, result := t.TempDir(), sampleResult(0.00001, 0)
	text, err := Write(result, dir)
	must.NoError(t, err)
	reread, err := ReadResult(filepath.Join(dir, ResultFile))
	must.NoError(t, err)
	must.Eq(t, text, Tables(reread))
	svg, err := os.ReadFile(filepath.Join(dir, "processor.svg"))
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(svg), "<svg"))
	page := filepath.Join(dir, "page.md")
	must.NoError(t, os.WriteFile(page, []byte("before\n"+BeginMarker+"\nold\n"+EndMarker+"\nafter\n"), 0o600))
	for range 2 {
		must.NoError(t, UpdatePage(page, text))
		raw, err := os.ReadFile(page)
		must.NoError(t, err)
		must.Eq(t, "before\n"+BeginMarker+"\n"+text+EndMarker+"\nafter\n", string(raw))
	}
	must.NoError(t, os.WriteFile(page, []byte("no markers"), 0o600))
	must.Error(t, UpdatePage(page, text))
	_, err = ReadResult(filepath.Join(dir, "none"))
	must.Error(t, err)
}
