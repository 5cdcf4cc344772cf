// Package report fits curves to the measurements, extrapolates the curves to the size of the target and
// writes the measurements, tables and plots.
package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/capacity/fit"
	"cottonarch.example/cottonarch/capacity/run"
)

// Row is one metric of one workload at all sizes. The name of the metric is role/activity/unit. Curve is
// nil if there are fewer points than a fit needs.
type Row struct {
	Workload      string
	Name          string
	Points        []fit.Point
	Curve         *fit.Curve
	AtTarget      float64 // value of the curve at the size of the target
	SkippedPoints int     // points excluded because the machine was overloaded or stalled
}

// Role returns the part of the mesh that the metric describes: core, sidecar or mesh.
func (r Row) Role() string { return namePart(r.Name, 0) }

// Activity returns the activity that the metric is attributed to; "all" is the total.
func (r Row) Activity() string { return namePart(r.Name, 1) }

// Unit returns the unit of the metric.
func (r Row) Unit() string { return namePart(r.Name, 2) }

// namePart returns the i-th part of a metric name, or an empty string if the name has fewer parts.
func namePart(name string, i int) string {
	parts := strings.SplitN(name, "/", 3)
	if i < len(parts) {
		return parts[i]
	}
	return ""
}

// isDuration reports whether the metric is a duration, which is reliable only on a lightly loaded machine.
func (r Row) isDuration() bool { return r.Unit() == "seconds" }

// isMemory reports whether the metric is memory, which is never too small to be measured.
func (r Row) isMemory() bool { return strings.HasPrefix(r.Unit(), "memory") }

// rowKey identifies a row.
type rowKey struct{ workload, name string }

// Rows returns the rows of all metrics: by workload in the order of execution, then by name.
func Rows(result *run.Result) []Row {
	rows := collectRows(result)
	var all []Row
	for _, workload := range workloadsOf(result) {
		for _, name := range metricNames(rows, workload) {
			row := rows[rowKey{workload, name}]
			row.addZeros(result)
			row.fitCurve(result.Target.Nodes)
			all = append(all, *row)
		}
	}
	return all
}

// collectRows collects the points of each metric.
func collectRows(result *run.Result) map[rowKey]*Row {
	rows := map[rowKey]*Row{}
	for _, point := range result.Points {
		for name, value := range point.Values {
			key := rowKey{point.Workload, name}
			row := rows[key]
			if row == nil {
				row = &Row{Workload: point.Workload, Name: name}
				rows[key] = row
			}
			if row.isDuration() && !point.HasReliableTimes() {
				row.SkippedPoints++
				continue
			}
			row.Points = append(row.Points, fit.Point{X: float64(point.Nodes), Y: value})
		}
	}
	return rows
}

// workloadsOf returns the names of the workloads in the order of execution.
func workloadsOf(result *run.Result) (names []string) {
	for _, point := range result.Points {
		if !slices.Contains(names, point.Workload) {
			names = append(names, point.Workload)
		}
	}
	return names
}

// metricNames returns the sorted names of the metrics of a workload.
func metricNames(rows map[rowKey]*Row, workload string) (names []string) {
	for key := range maps.Keys(rows) {
		if key.workload == workload {
			names = append(names, key.name)
		}
	}
	slices.Sort(names)
	return names
}

// addZeros adds a zero for each size at which the metric is absent because its value was too small to be
// measured.
func (r *Row) addZeros(result *run.Result) {
	if r.isDuration() || r.isMemory() {
		return
	}
	for _, point := range result.Points {
		if _, ok := point.Values[r.Name]; point.Workload == r.Workload && !ok {
			r.Points = append(r.Points, fit.Point{X: float64(point.Nodes)})
		}
	}
	slices.SortFunc(r.Points, func(a, b fit.Point) int { return cmp.Compare(a.X, b.X) })
}

// fitCurve fits a curve if there are enough points.
func (r *Row) fitCurve(targetNodes int) {
	if curve, ok := fit.BestCurve(r.Points); ok {
		r.Curve, r.AtTarget = &curve, curve.ValueAt(float64(targetNodes))
	}
}

// findRow finds a row that has a curve.
func findRow(rows []Row, workload, name string) (Row, bool) {
	for _, row := range rows {
		if row.Workload == workload && row.Name == name && row.Curve != nil {
			return row, true
		}
	}
	return Row{}, false
}
