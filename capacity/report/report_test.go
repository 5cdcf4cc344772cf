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

// sampleResult returns the result of a run in which the CPU usage of a sidecar is cpuPerNode times the
// number of nodes. The changes workload has the mesh CPU utilization meshCPU.
func sampleResult(cpuPerNode float64, meshCPU float64) *run.Result {
	result := &run.Result{Commit: "c", Target: plan.Default(), Sizes: []int{10, 20, 40, 80}}
	for _, nodes := range result.Sizes {
		size := float64(nodes)
		steady := workload.Point{Nodes: nodes, Workload: "steady", Values: map[string]float64{
			"sidecar/all/processor cores":   cpuPerNode * size,
			"core/leases/messages a second": 4 * size,
			"core/busiest/processor cores":  size / 1000,
			"sidecar/all/memory":            30e6 + size*1000,
			"sidecar/all/bytes a second":    5000,
		}}
		changes := workload.Point{Nodes: nodes, Workload: "changes", MeshCPU: meshCPU, Values: map[string]float64{
			"mesh/known to all/seconds":     size / 50,
			"sidecar/all/processor seconds": 2.88,
			"sidecar/all/bytes":             288000,
		}}
		result.Points = append(result.Points, steady, changes)
	}
	result.CallLatency = []calllatency.Point{{Records: 600, Routes: 5000, Pairs: 9, Added: map[string]float64{"p50": 0.25, "p99": 0.9}}}
	return result
}

func TestBudgetAndTables(t *testing.T) {
	result := sampleResult(0.00001, 0)
	lineByMetric := map[string]BudgetLine{}
	for _, line := range BudgetLines(result, Rows(result)) {
		lineByMetric[line.Metric] = line
	}
	// At 600 nodes: 0.00001 × 600 cores, plus 300 changes per day of 2.88 CPU seconds each.
	must.InDelta(t, 0.006+0.01, lineByMetric["sidecar CPU"].Value, 1e-4)
	must.InDelta(t, 1.6, lineByMetric["sidecar CPU"].Ratio(), 0.01)
	must.InDelta(t, 5000+1000, lineByMetric["sidecar control traffic, sent and received"].Value, 1)
	must.InDelta(t, 30.6e6, lineByMetric["sidecar memory, steady"].Value, 1e4)
	must.InDelta(t, 12, lineByMetric["changes: applied on all nodes"].Value, 0.1)
	must.InDelta(t, 0.9, lineByMetric["added call latency, p99"].Ratio(), 0.001)
	text := Tables(result)
	for _, want := range []string{"**over, ×1.6**", "| fits |", "×7.5", "16 × p50", "| leases | mesh/lease, control/leasetable | 2400 |"} {
		must.StrContains(t, text, want)
	}
	must.Eq(t, text, Tables(result))
	// Times measured on an overloaded machine are excluded from the fit.
	result = sampleResult(0.00001, 0.99)
	_, ok := findRow(Rows(result), "changes", "mesh/known to all/seconds")
	must.False(t, ok)
	must.StrContains(t, Tables(result), "excluded from the fits")
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
