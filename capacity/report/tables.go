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

// formatNumber formats a value with three significant digits and an SI prefix.
func formatNumber(value float64) string {
	switch magnitude := math.Abs(value); {
	case value == 0:
		return "0"
	case magnitude >= 1e9:
		return fmt.Sprintf("%.3g G", value/1e9)
	case magnitude >= 1e6:
		return fmt.Sprintf("%.3g M", value/1e6)
	case magnitude >= 1e4:
		return fmt.Sprintf("%.3g k", value/1e3)
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// markdownWriter writes Markdown text with tables.
type markdownWriter struct{ text strings.Builder }

// writeRow writes a row of a table.
func (w *markdownWriter) writeRow(cells ...string) {
	w.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// writeHeader writes the header row of a table and the separator below.
func (w *markdownWriter) writeHeader(cells ...string) {
	w.writeRow(cells...)
	w.writeRow(slices.Repeat([]string{"---"}, len(cells))...)
}

// writeLine writes a formatted line outside of a table.
func (w *markdownWriter) writeLine(format string, args ...any) {
	fmt.Fprintf(&w.text, format+"\n", args...)
}

// Tables returns the report as Markdown text, which UpdatePage embeds in a page of the documentation.
func Tables(result *run.Result) string {
	rows, w := Rows(result), &markdownWriter{}
	w.writeLine("Commit %s, %s, %d processors, window %s. `%s`\n", result.Commit, result.Go, result.Processors, result.Window, result.Command)
	w.writeMachineCPU(result)
	w.writeOmissions(result)
	w.writeBudget(result, rows)
	w.writeActivities(result, rows, "core", "Each core")
	w.writeActivities(result, rows, "sidecar", "The sidecar")
	w.writeCallLatency(result)
	w.writeMetrics(result, rows)
	return w.text.String()
}

// writeMachineCPU writes the range of the CPU utilization of the machine.
func (w *markdownWriter) writeMachineCPU(result *run.Result) {
	lowest, highest := 1.0, 0.0
	for _, point := range result.Points {
		lowest, highest = min(lowest, point.MachineCPU), max(highest, point.MachineCPU)
	}
	if highest > 0 {
		w.writeLine("The CPU utilization of the whole machine, other programs included, was %.0f to %.0f %%; "+
			"times measured on an overloaded machine do not describe the mesh.\n", 100*lowest, 100*highest)
	}
}

// writeOmissions writes the sizes that were not measured and the times that are excluded from the fits.
func (w *markdownWriter) writeOmissions(result *run.Result) {
	for _, skipped := range result.Skipped {
		w.writeLine("- not measured: %s", skipped)
	}
	for _, point := range result.Points {
		if point.TimedOut > 0 {
			w.writeLine("- %s at %d nodes: %d nodes did not learn of the event in time", point.Workload, point.Nodes, point.TimedOut)
		}
		if !point.HasReliableTimes() {
			w.writeLine("- %s at %d nodes: the mesh used %.0f %% of the available CPU and "+
				"a process stalled for %.1f s; the times are excluded from the fits",
				point.Workload, point.Nodes, 100*point.MeshCPU, point.MaxStall)
		}
	}
}

// writeBudget writes the comparison of the values at the target size with the budgets.
func (w *markdownWriter) writeBudget(result *run.Result, rows []Row) {
	lines := BudgetLines(result, rows)
	if len(lines) == 0 {
		return
	}
	w.writeLine("\n### At %d nodes, against the budget\n", result.Target.Nodes)
	w.writeHeader("what", "figure", "budget", "", "basis")
	for _, line := range lines {
		verdict := "fits"
		if line.Ratio() > 1 {
			verdict = fmt.Sprintf("**over, ×%.3g**", line.Ratio())
		}
		w.writeRow(line.Metric, formatNumber(line.Value)+" "+line.Unit, formatNumber(line.Budget), verdict, line.Basis)
	}
	w.writeCoreRows(result, rows)
	w.writeCallChain(result)
}

// writeCoreRows writes the rows of the cores, whose budget is a number of machines.
func (w *markdownWriter) writeCoreRows(result *run.Result, rows []Row) {
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
		w.writeRow(metric+strings.TrimPrefix(row.Unit(), "processor "), formatNumber(row.AtTarget), machines, "", row.basis(targetNodes))
	}
}

// writeCallChain writes the added latency of a call that causes a chain of further calls, estimated as
// the added median latency of one call, times the depth of the chain.
func (w *markdownWriter) writeCallChain(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	depth, latency := result.Target.CallDepth, result.CallLatency[len(result.CallLatency)-1]
	w.writeRow(fmt.Sprintf("added latency of a call chain %d calls deep, p50", depth),
		formatNumber(float64(depth)*latency.Added["p50"])+" ms", "", "",
		fmt.Sprintf("%d × p50", depth))
}

// activityUnits are the units that the tables of activities show, one unit per column.
var activityUnits = []string{"messages a second", "body bytes a second", "processor cores"}

// aggregateActivities are the activity names of values that are not attributed to a single activity.
var aggregateActivities = []string{"all", "busiest", "hollow, mean"}

// writeActivities writes the steady-state usage of one role by activity, at the size of the target.
func (w *markdownWriter) writeActivities(result *run.Result, rows []Row, role, title string) {
	valueOf := func(activity, unit string) string {
		if row, ok := findRow(rows, "steady", role+"/"+activity+"/"+unit); ok {
			return formatNumber(row.AtTarget)
		}
		return ""
	}
	activities := activitiesOf(rows, role)
	if len(activities) == 0 {
		return
	}
	w.writeLine("\n### %s, steady state at %d nodes, by activity\n", title, result.Target.Nodes)
	w.writeHeader(append([]string{"activity", "package"}, activityUnits...)...)
	for _, activity := range activities {
		cells := []string{activity, meter.PackageOf(activity)}
		for _, unit := range activityUnits {
			cells = append(cells, valueOf(activity, unit))
		}
		w.writeRow(cells...)
	}
	w.writeRow("all", "", valueOf("all", "messages a second"), valueOf("all", "bytes a second")+" (TCP)", valueOf("all", "processor cores"))
}

// activitiesOf returns the activities of a role that have a curve in the steady state.
func activitiesOf(rows []Row, role string) (activities []string) {
	for _, row := range rows {
		activity := row.Activity()
		switch {
		case row.Workload != "steady" || row.Role() != role || row.Curve == nil:
		case !slices.Contains(activityUnits, row.Unit()):
		case slices.Contains(aggregateActivities, activity) || slices.Contains(activities, activity):
		default:
			activities = append(activities, activity)
		}
	}
	return activities
}

// writeCallLatency writes the table of the call latency at each size.
func (w *markdownWriter) writeCallLatency(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	w.writeLine("\n### Call latency: what both sidecars add to a call, ms\n")
	w.writeHeader("records", "routes", "pairs", "added p50", "p99", "p99.9", "through p50", "p99", "direct p50", "p99")
	for _, point := range result.CallLatency {
		w.writeRow(fmt.Sprint(point.Records), fmt.Sprint(point.Routes), fmt.Sprint(point.Pairs),
			formatNumber(point.Added["p50"]), formatNumber(point.Added["p99"]), formatNumber(point.Added["p99.9"]),
			formatNumber(point.ThroughMesh["p50"]), formatNumber(point.ThroughMesh["p99"]),
			formatNumber(point.Direct["p50"]), formatNumber(point.Direct["p99"]))
	}
}

// writeMetrics writes one table for each workload, with the measured values and the curve of each metric.
func (w *markdownWriter) writeMetrics(result *run.Result, rows []Row) {
	lastWorkload := ""
	for _, row := range rows {
		if len(row.Points) == 0 {
			continue
		}
		if row.Workload != lastWorkload {
			lastWorkload = row.Workload
			w.writeMetricsHeader(result, lastWorkload)
		}
		cells := []string{strings.ReplaceAll(row.Name, "/", ": ")}
		for _, size := range result.Sizes {
			cells = append(cells, valueAtSize(row.Points, size))
		}
		if row.Curve == nil {
			cells = append(cells, fmt.Sprintf("%d sizes are too few for a fit", len(row.Points)), "", "", "")
		} else {
			cells = append(cells,
				row.Curve.Formula(),
				fmt.Sprintf("%.0f %%", 100*row.Curve.MaxRelativeError),
				formatNumber(row.AtTarget),
				row.basis(float64(result.Target.Nodes)))
		}
		w.writeRow(cells...)
	}
}

// writeMetricsHeader writes the heading and the table header of a workload.
func (w *markdownWriter) writeMetricsHeader(result *run.Result, workload string) {
	w.writeLine("\n### Load: %s\n", workload)
	cells := []string{"figure"}
	for _, size := range result.Sizes {
		cells = append(cells, fmt.Sprint(size))
	}
	w.writeHeader(append(cells, "line", "largest error", fmt.Sprintf("at %d", result.Target.Nodes), "basis")...)
}

// valueAtSize formats the value that was measured at a size. It returns an empty string if there is no
// value.
func valueAtSize(points []fit.Point, size int) string {
	for _, point := range points {
		if point.X == float64(size) {
			return formatNumber(point.Y)
		}
	}
	return ""
}
