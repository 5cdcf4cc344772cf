package report

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/capacity/fit"
	"cottonarch.example/cottonarch/capacity/meter"
	"cottonarch.example/cottonarch/capacity/run"
)

// formatNumber shows a figure with three digits that count.
func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case v == 0:
		return "0"
	case a >= 1e9:
		return fmt.Sprintf("%.3g G", v/1e9)
	case a >= 1e6:
		return fmt.Sprintf("%.3g M", v/1e6)
	case a >= 1e4:
		return fmt.Sprintf("%.3g k", v/1e3)
	case a >= 100:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

type table struct{ text strings.Builder }

func (t *table) row(cells ...string) { t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n") }

func (t *table) header(cells ...string) {
	t.row(cells...)
	t.row(slices.Repeat([]string{"---"}, len(cells))...)
}

func (t *table) printf(format string, args ...any) { fmt.Fprintf(&t.text, format+"\n", args...) }

// at tells where a figure at the size asked about comes from.
func (r Row) reachedBy(n float64) string {
	if r.Line.MaxSize >= n {
		return "measured"
	}
	return fmt.Sprintf("×%.3g", n/r.Line.MaxSize)
}

// Tables is the whole text, as it stands on the page.
func Tables(result *run.Result) string {
	rows, t := Rows(result), &table{}
	t.printf("Commit %s, %s, %d processors, window %s. `%s`\n", result.Commit, result.Go, result.Processors, result.Window, result.Command)
	lowest, highest := 1.0, 0.0
	for _, p := range result.Points {
		lowest, highest = min(lowest, p.MachineCPU), max(highest, p.MachineCPU)
	}
	if highest > 0 {
		t.printf("The machine as a whole, with all else that ran on it, was used to %.0f to %.0f %% meanwhile; times of a crowded machine are not the mesh's.\n", 100*lowest, 100*highest)
	}
	for _, skipped := range result.Skipped {
		t.printf("- left out: %s", skipped)
	}
	for _, p := range result.Points {
		if p.Missing > 0 {
			t.printf("- %s at %d nodes: %d did not come to know in time", p.Load, p.Nodes, p.Missing)
		}
		if !p.Clean() {
			t.printf("- %s at %d nodes: the mesh used %.0f %% of the processors given to it and a process was held up for %.1f s; its times are left out of the fits", p.Load, p.Nodes, 100*p.MeshCPU, p.MaxStall)
		}
	}
	t.budget(result, rows)
	t.activities(result, rows, "core")
	t.activities(result, rows, "sidecar")
	t.callLatency(result)
	t.figures(result, rows)
	return t.text.String()
}

// BudgetLine is one line of the budget. Figure is at the size asked about.
type BudgetLine struct {
	What, Unit, ReachedBy string
	Figure, Budget        float64
}

// Ratio is how many times the budget it is.
func (l BudgetLine) Ratio() float64 { return l.Figure / l.Budget }

// BudgetLines works out what the budgets are held against: the steady beats, and the day's
// changes and restarts spread over the day.
func BudgetLines(result *run.Result, rows []Row) []BudgetLine {
	var out []BudgetLine
	budget, targetNodes := result.Target.Budget, float64(result.Target.Nodes)
	overDay := func(unit, event string) (float64, string, bool) {
		r, ok := findRow(rows, "steady", "sidecar/all/"+unit)
		if !ok {
			return 0, "", false
		}
		v := r.AtTarget
		if e, ok := findRow(rows, "changes", "sidecar/all/"+event); ok {
			v += e.AtTarget * result.Target.ChangesPerDay / 86400
		}
		if e, ok := findRow(rows, "restart", "sidecar/all/"+event); ok {
			v += e.AtTarget / 86400
		}
		return v, r.reachedBy(targetNodes), true
	}
	if v, from, ok := overDay("processor cores", "processor seconds"); ok {
		out = append(out, BudgetLine{"a node's control, processor", "cores", from, v, budget.NodeCores})
	}
	if v, from, ok := overDay("bytes a second", "bytes"); ok {
		out = append(out, BudgetLine{"a node's control, both ways", "bytes a second", from, v, budget.NodeBytesPerSecond})
	}
	highest := Row{}
	for _, load := range []string{"steady", "changes", "manifest", "restart"} {
		for _, name := range []string{"sidecar/all/memory", "sidecar/all/memory at its peak"} {
			if r, ok := findRow(rows, load, name); ok && r.AtTarget > highest.AtTarget {
				highest = r
			}
		}
	}
	if highest.Line != nil {
		out = append(out, BudgetLine{"a node's memory, " + highest.Load, "bytes", highest.reachedBy(targetNodes), highest.AtTarget, budget.NodeMemoryBytes})
	}
	for _, load := range []string{"changes", "manifest"} {
		if r, ok := findRow(rows, load, "mesh/known to all/seconds"); ok {
			out = append(out, BudgetLine{load + ": in force everywhere", "seconds", r.reachedBy(targetNodes), r.AtTarget, budget.ApplySeconds})
		}
		if r, ok := findRow(rows, load, "mesh/known to all, less the other nodes' work/seconds"); ok {
			out = append(out, BudgetLine{load + ": in force everywhere, nodes on machines of their own", "seconds", r.reachedBy(targetNodes), r.AtTarget, budget.ApplySeconds})
		}
		if r, ok := findRow(rows, load, "sidecar/all/bytes"); ok {
			out = append(out, BudgetLine{load + ": bytes to one node, spread over the time to be in force", "bytes a second", r.reachedBy(targetNodes), r.AtTarget / budget.ApplySeconds, budget.NodeBytesPerSecond})
		}
	}
	if len(result.CallLatency) > 0 {
		latency := result.CallLatency[len(result.CallLatency)-1]
		from := "measured"
		if latency.Records < result.Target.Nodes {
			from = fmt.Sprintf("at %d records", latency.Records)
		}
		out = append(out, BudgetLine{"added to a call, 99 in 100", "ms", from, latency.Added["p99"], budget.AddedLatencyMs})
	}
	return out
}

func (t *table) budget(result *run.Result, rows []Row) {
	lines := BudgetLines(result, rows)
	if len(lines) == 0 {
		return
	}
	t.printf("\n### At %d nodes, against the budget\n", result.Target.Nodes)
	t.header("what", "figure", "budget", "", "reached by")
	for _, line := range lines {
		verdict := "fits"
		if line.Ratio() > 1 {
			verdict = fmt.Sprintf("**over, ×%.3g**", line.Ratio())
		}
		t.row(line.What, formatNumber(line.Figure)+" "+line.Unit, formatNumber(line.Budget), verdict, line.ReachedBy)
	}
	n := float64(result.Target.Nodes)
	for _, name := range []string{"core/busiest/processor cores", "core/all/memory", "core/all/messages a second", "core/all/bytes a second"} {
		if r, ok := findRow(rows, "steady", name); ok {
			what := "each core: "
			if r.Activity() == "busiest" {
				what = "the busiest core: "
			}
			t.row(what+strings.TrimPrefix(r.Unit(), "processor "), formatNumber(r.AtTarget), fmt.Sprintf("%d machines", result.Target.Budget.CoreMachines), "", r.reachedBy(n))
		}
	}
	if len(result.CallLatency) > 0 {
		latency := result.CallLatency[len(result.CallLatency)-1]
		t.row(fmt.Sprintf("a call %d deep, at the half of calls", result.Target.CallDepth), formatNumber(float64(result.Target.CallDepth)*latency.Added["p50"])+" ms", "", "", fmt.Sprintf("%d × p50", result.Target.CallDepth))
	}
}

// activities is one role's work by duty at the size asked about.
func (t *table) activities(result *run.Result, rows []Row, role string) {
	n, activities := float64(result.Target.Nodes), []string{}
	units := []string{"messages a second", "body bytes a second", "processor cores"}
	figure := func(activity, unit string) string {
		if r, ok := findRow(rows, "steady", role+"/"+activity+"/"+unit); ok {
			return formatNumber(r.AtTarget)
		}
		return ""
	}
	for _, r := range rows {
		if r.Load == "steady" && r.Role() == role && slices.Contains(units, r.Unit()) && !slices.Contains([]string{"all", "busiest", "hollow, mean"}, r.Activity()) && r.Line != nil && !slices.Contains(activities, r.Activity()) {
			activities = append(activities, r.Activity())
		}
	}
	if len(activities) == 0 {
		return
	}
	t.printf("\n### %s, steady beats at %.0f nodes, by duty\n", map[string]string{"core": "Each core", "sidecar": "The sidecar"}[role], n)
	t.header("duty", "package", "messages a second", "body bytes a second", "processor cores")
	for _, activity := range activities {
		t.row(activity, meter.PackageOf(activity), figure(activity, units[0]), figure(activity, units[1]), figure(activity, units[2]))
	}
	t.row("all", "", figure("all", units[0]), figure("all", "bytes a second")+" (TCP)", figure("all", units[2]))
}

func (t *table) callLatency(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	t.printf("\n### The walk: what both sidecars add to a call, ms\n")
	t.header("records", "ways", "pairs", "added p50", "p99", "p99.9", "through p50", "p99", "direct p50", "p99")
	for _, point := range result.CallLatency {
		t.row(fmt.Sprint(point.Records), fmt.Sprint(point.Routes), fmt.Sprint(point.Pairs), formatNumber(point.Added["p50"]), formatNumber(point.Added["p99"]), formatNumber(point.Added["p99.9"]),
			formatNumber(point.ThroughMesh["p50"]), formatNumber(point.ThroughMesh["p99"]), formatNumber(point.Direct["p50"]), formatNumber(point.Direct["p99"]))
	}
}

func valueAtSize(points []fit.Point, n int) string {
	for _, p := range points {
		if p.X == float64(n) {
			return formatNumber(p.Y)
		}
	}
	return ""
}

// figures is every figure that stands on a line.
func (t *table) figures(result *run.Result, rows []Row) {
	last := ""
	for _, r := range rows {
		if len(r.Points) == 0 {
			continue
		}
		if r.Load != last {
			last = r.Load
			t.printf("\n### Load: %s\n", last)
			cells := []string{"figure"}
			for _, n := range result.Sizes {
				cells = append(cells, fmt.Sprint(n))
			}
			t.header(append(cells, "line", "farthest off", fmt.Sprintf("at %d", result.Target.Nodes), "reached by")...)
		}
		cells := []string{strings.ReplaceAll(r.Name, "/", ": ")}
		for _, n := range result.Sizes {
			cells = append(cells, valueAtSize(r.Points, n))
		}
		if r.Line == nil {
			cells = append(cells, fmt.Sprintf("%d sizes are too few", len(r.Points)), "", "", "")
		} else {
			cells = append(cells, r.Line.Formula(), fmt.Sprintf("%.0f %%", 100*r.Line.MaxRelativeError), formatNumber(r.AtTarget), r.reachedBy(float64(result.Target.Nodes)))
		}
		t.row(cells...)
	}
}
