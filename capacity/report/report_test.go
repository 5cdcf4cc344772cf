package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/capacity/load"
	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/run"
	"cottonarch.example/cottonarch/capacity/walk"
)

// made is a run whose sidecars cost so much each per node there is.
func made(cores float64, busy float64) *run.Result {
	r := &run.Result{Commit: "c", Target: plan.Default(), Sizes: []int{10, 20, 40, 80}}
	for _, n := range r.Sizes {
		x := float64(n)
		r.Points = append(r.Points, load.Point{Nodes: n, Load: "steady", Values: map[string]float64{"sidecar/all/processor cores": cores * x, "core/leases/messages a second": 4 * x, "core/busiest/processor cores": x / 1000,
			"sidecar/all/memory": 30e6 + x*1000, "sidecar/all/bytes a second": 5000}},
			load.Point{Nodes: n, Load: "changes", Busy: busy, Values: map[string]float64{"mesh/known to all/seconds": x / 50, "sidecar/all/processor seconds": 2.88, "sidecar/all/bytes": 288000}})
	}
	r.Walk = []walk.Point{{Records: 600, Ways: 5000, Pairs: 9, Added: map[string]float64{"p50": 0.25, "p99": 0.9}}}
	return r
}

func TestBudget(t *testing.T) {
	res := made(0.00001, 0)
	got := map[string]Spend{}
	for _, s := range Budget(res, Rows(res)) {
		got[s.What] = s
	}
	// 600 nodes, and 300 changes of 2.88 s over a day.
	must.InDelta(t, 0.006+0.01, got["a node's control, processor"].Figure, 1e-4)
	must.InDelta(t, 1.6, got["a node's control, processor"].Over(), 0.01)
	must.InDelta(t, 5000+1000, got["a node's control, both ways"].Figure, 1)
	must.InDelta(t, 30.6e6, got["a node's memory, steady"].Figure, 1e4)
	must.InDelta(t, 12, got["changes: in force everywhere"].Figure, 0.1)
	must.InDelta(t, 0.9, got["added to a call, 99 in 100"].Over(), 0.001)
	text := Tables(res)
	for _, want := range []string{"**over, ×1.6**", "| fits |", "×7.5", "16 × p50", "| leases | mesh/lease | 2400 |"} {
		must.StrContains(t, text, want)
	}
	must.Eq(t, text, Tables(res))
	// Times of a crowded machine make no line.
	res = made(0.00001, 0.99)
	_, ok := find(Rows(res), "changes", "mesh/known to all/seconds")
	must.False(t, ok)
	must.StrContains(t, Tables(res), "left out of the fits")
}

func TestFilesAndPage(t *testing.T) {
	dir, res := t.TempDir(), made(0.00001, 0)
	text, err := Write(res, dir)
	must.NoError(t, err)
	back, err := Load(filepath.Join(dir, Figures))
	must.NoError(t, err)
	must.Eq(t, text, Tables(back))
	svg, err := os.ReadFile(filepath.Join(dir, "processor.svg"))
	must.NoError(t, err)
	must.True(t, strings.HasPrefix(string(svg), "<svg"))
	page := filepath.Join(dir, "page.md")
	must.NoError(t, os.WriteFile(page, []byte("before\n"+Begin+"\nold\n"+End+"\nafter\n"), 0o600))
	for range 2 {
		must.NoError(t, Page(page, text))
		raw, err := os.ReadFile(page)
		must.NoError(t, err)
		must.Eq(t, "before\n"+Begin+"\n"+text+End+"\nafter\n", string(raw))
	}
	must.NoError(t, os.WriteFile(page, []byte("no marks"), 0o600))
	must.Error(t, Page(page, text))
	_, err = Load(filepath.Join(dir, "none"))
	must.Error(t, err)
}
