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

// formatNumber shows a figure with three significant digits.
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

// markdownWriter is Markdown text with tables.
type markdownWriter struct{ text strings.Builder }

func (t *markdownWriter) writeRow(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *markdownWriter) writeHeader(cells ...string) {
	t.writeRow(cells...)
	t.writeRow(slices.Repeat([]string{"---"}, len(cells))...)
}

// writeLine writes a line outside of a table.
func (t *markdownWriter) writeLine(format string, args ...any) {
	fmt.Fprintf(&t.text, format+"\n", args...)
}

// Tables is the whole text, as it stands on the page.
func Tables(result *run.Result) string {
	rows, t := Rows(result), &markdownWriter{}
	t.writeLine("Commit %s, %s, %d processors, window %s. `%s`\n", result.Commit, result.Go, result.Processors, result.Window, result.Command)
	t.writeMachineCPU(result)
	t.writeOmissions(result)
	t.writeBudget(result, rows)
	t.writeActivities(result, rows, "core", "Each core")
	t.writeActivities(result, rows, "sidecar", "The sidecar")
	t.writeCallLatency(result)
	t.writeMetrics(result, rows)
	return t.text.String()
}

// writeMachineCPU tells how busy the machine was.
func (t *markdownWriter) writeMachineCPU(result *run.Result) {
	lowest, highest := 1.0, 0.0
	for _, point := range result.Points {
		lowest, highest = min(lowest, point.MachineCPU), max(highest, point.MachineCPU)
	}
	if highest > 0 {
		t.writeLine("The machine as a whole, with all else that ran on it, was used to %.0f to %.0f %% meanwhile; "+
			"times of a crowded machine are not the mesh's.\n", 100*lowest, 100*highest)
	}
}

// writeOmissions lists the sizes that were not measured and the times that are left out of the fits.
func (t *markdownWriter) writeOmissions(result *run.Result) {
	for _, skipped := range result.Skipped {
		t.writeLine("- left out: %s", skipped)
	}
	for _, point := range result.Points {
		if point.TimedOut > 0 {
			t.writeLine("- %s at %d nodes: %d did not come to know in time", point.Workload, point.Nodes, point.TimedOut)
		}
		if !point.HasReliableTimes() {
			t.writeLine("- %s at %d nodes: the mesh used %.0f %% of the processors given to it and "+
				"a process was held up for %.1f s; its times are left out of the fits",
				point.Workload, point.Nodes, 100*point.MeshCPU, point.MaxStall)
		}
	}
}

// writeBudget holds the figures at the target's size against the budgets.
func (t *markdownWriter) writeBudget(result *run.Result, rows []Row) {
	lines := BudgetLines(result, rows)
	if len(lines) == 0 {
		return
	}
	t.writeLine("\n### At %d nodes, against the budget\n", result.Target.Nodes)
	t.writeHeader("what", "figure", "budget", "", "reached by")
	for _, line := range lines {
		verdict := "fits"
		if line.Ratio() > 1 {
			verdict = fmt.Sprintf("**over, ×%.3g**", line.Ratio())
		}
		t.writeRow(line.Metric, formatNumber(line.Value)+" "+line.Unit, formatNumber(line.Budget), verdict, line.Basis)
	}
	t.writeCoreRows(result, rows)
	t.writeCallChain(result)
}

// writeCoreRows adds the cores' figures, whose budget is a number of machines.
func (t *markdownWriter) writeCoreRows(result *run.Result, rows []Row) {
	targetNodes := float64(result.Target.Nodes)
	for _, name := range []string{"core/busiest/processor cores", "core/all/memory", "core/all/messages a second", "core/all/bytes a second"} {
		row, ok := findRow(rows, "steady", name)
		if !ok {
			continue
		}
		metric := "each core: "
		if row.Activity() == "busiest" {
			metric = "the busiest core: "
		}
		machines := fmt.Sprintf("%d machines", result.Target.Budget.CoreMachines)
		t.writeRow(metric+strings.TrimPrefix(row.Unit(), "processor "), formatNumber(row.AtTarget), machines, "", row.basis(targetNodes))
	}
}

// writeCallChain adds the added latency of a call that leads to a chain of others.
func (t *markdownWriter) writeCallChain(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	depth, latency := result.Target.CallDepth, result.CallLatency[len(result.CallLatency)-1]
	t.writeRow(fmt.Sprintf("a call %d deep, at the half of calls", depth),
		formatNumber(float64(depth)*latency.Added["p50"])+" ms", "", "",
		fmt.Sprintf("%d × p50", depth))
}

// activityUnits are the units in which activities are shown side by side.
var activityUnits = []string{"messages a second", "body bytes a second", "processor cores"}

// aggregateActivities are names that stand for all activities together.
var aggregateActivities = []string{"all", "busiest", "hollow, mean"}

// writeActivities is one role's work by activity at the target's size.
func (t *markdownWriter) writeActivities(result *run.Result, rows []Row, role, title string) {
	figure := func(activity, unit string) string {
		if row, ok := findRow(rows, "steady", role+"/"+activity+"/"+unit); ok {
			return formatNumber(row.AtTarget)
		}
		return ""
	}
	activities := activitiesOf(rows, role)
	if len(activities) == 0 {
		return
	}
	t.writeLine("\n### %s, steady state at %d nodes, by activity\n", title, result.Target.Nodes)
	t.writeHeader(append([]string{"activity", "package"}, activityUnits...)...)
	for _, activity := range activities {
		cells := []string{activity, meter.PackageOf(activity)}
		for _, unit := range activityUnits {
			cells = append(cells, figure(activity, unit))
		}
		t.writeRow(cells...)
	}
	t.writeRow("all", "", figure("all", "messages a second"), figure("all", "bytes a second")+" (TCP)", figure("all", "processor cores"))
}

// activitiesOf lists the activities of a role that have a line in the steady state.
func activitiesOf(rows []Row, role string) (activities []string) {
	for _, row := range rows {
		activity := row.Activity()
		switch {
		case row.Workload != "steady" || row.Role() != role || row.Line == nil:
		case !slices.Contains(activityUnits, row.Unit()):
		case slices.Contains(aggregateActivities, activity) || slices.Contains(activities, activity):
		default:
			activities = append(activities, activity)
		}
	}
	return activities
}

func (t *markdownWriter) writeCallLatency(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	t.writeLine("\n### Call latency: what both sidecars add to a call, ms\n")
	t.writeHeader("records", "routes", "pairs", "added p50", "p99", "p99.9", "through p50", "p99", "direct p50", "p99")
	for _, point := range result.CallLatency {
		t.writeRow(fmt.Sprint(point.Records), fmt.Sprint(point.Routes), fmt.Sprint(point.Pairs),
			formatNumber(point.Added["p50"]), formatNumber(point.Added["p99"]), formatNumber(point.Added["p99.9"]),
			formatNumber(point.ThroughMesh["p50"]), formatNumber(point.ThroughMesh["p99"]),
			formatNumber(point.Direct["p50"]), formatNumber(point.Direct["p99"]))
	}
}

// writeMetrics lists every figure of every load with its line.
func (t *markdownWriter) writeMetrics(result *run.Result, rows []Row) {
	lastWorkload := ""
	for _, row := range rows {
		if len(row.Points) == 0 {
			continue
		}
		if row.Workload != lastWorkload {
			lastWorkload = row.Workload
			t.writeMetricsHeader(result, lastWorkload)
		}
		cells := []string{strings.ReplaceAll(row.Name, "/", ": ")}
		for _, size := range result.Sizes {
			cells = append(cells, valueAtSize(row.Points, size))
		}
		if row.Line == nil {
			cells = append(cells, fmt.Sprintf("%d sizes are too few", len(row.Points)), "", "", "")
		} else {
			cells = append(cells,
				row.Line.Formula(),
				fmt.Sprintf("%.0f %%", 100*row.Line.MaxRelativeError),
				formatNumber(row.AtTarget),
				row.basis(float64(result.Target.Nodes)))
		}
		t.writeRow(cells...)
	}
}

func (t *markdownWriter) writeMetricsHeader(result *run.Result, workload string) {
	t.writeLine("\n### Load: %s\n", workload)
	cells := []string{"figure"}
	for _, size := range result.Sizes {
		cells = append(cells, fmt.Sprint(size))
	}
	t.writeHeader(append(cells, "line", "farthest off", fmt.Sprintf("at %d", result.Target.Nodes), "reached by")...)
}

// valueAtSize shows the figure that was measured at a size, empty if there is none.
func valueAtSize(points []fit.Point, size int) string {
	for _, point := range points {
		if point.X == float64(size) {
			return formatNumber(point.Y)
		}
	}
	return ""
}
