// Package report fits lines through what was measured, extrapolates them to the target's size
// and writes figures, tables and plots.
package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/capacity/fit"
	"cottonarch.example/cottonarch/capacity/run"
)

// Row is one figure over all sizes. Its name is role/activity/unit. Line is nil when there are
// fewer sizes than a fit needs.
type Row struct {
	Workload      string
	Name          string
	Points        []fit.Point
	Line          *fit.Curve
	AtTarget      float64 // the line's value at the target's size
	SkippedPoints int     // points left out because the machine was crowded or stalled
}

// Role is the part of the mesh that the figure is of: core, sidecar or mesh.
func (r Row) Role() string { return namePart(r.Name, 0) }

// Activity is what the role spends the figure on; all for the whole.
func (r Row) Activity() string { return namePart(r.Name, 1) }

// Unit is what the figure is counted in.
func (r Row) Unit() string { return namePart(r.Name, 2) }

func namePart(name string, i int) string {
	parts := strings.SplitN(name, "/", 3)
	if i < len(parts) {
		return parts[i]
	}
	return ""
}

// isDuration tells whether the figure is a time, which only an idle enough machine measures.
func (r Row) isDuration() bool { return r.Unit() == "seconds" }

// isMemory tells whether the figure is memory, which is never too small to be seen.
func (r Row) isMemory() bool { return strings.HasPrefix(r.Unit(), "memory") }

// rowKey names a row.
type rowKey struct{ workload, name string }

// Rows gives every figure, by load in the order in which they ran, then by name.
func Rows(result *run.Result) []Row {
	rows := collectRows(result)
	var all []Row
	for _, workload := range workloadsOf(result) {
		for _, name := range metricNames(rows, workload) {
			row := rows[rowKey{workload, name}]
			row.addZeros(result)
			row.fit(result.Target.Nodes)
			all = append(all, *row)
		}
	}
	return all
}

// collectRows gathers the points of each figure.
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

// workloadsOf lists the loads in the order in which they ran.
func workloadsOf(result *run.Result) (names []string) {
	for _, point := range result.Points {
		if !slices.Contains(names, point.Workload) {
			names = append(names, point.Workload)
		}
	}
	return names
}

// metricNames lists the figures of a load, sorted.
func metricNames(rows map[rowKey]*Row, workload string) (names []string) {
	for key := range maps.Keys(rows) {
		if key.workload == workload {
			names = append(names, key.name)
		}
	}
	slices.Sort(names)
	return names
}

// addZeros adds the sizes at which the figure was too small to be seen.
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

// fit fits a line, if there are enough points.
func (r *Row) fit(targetNodes int) {
	if line, ok := fit.BestCurve(r.Points); ok {
		r.Line, r.AtTarget = &line, line.ValueAt(float64(targetNodes))
	}
}

// findRow finds a row that has a line.
func findRow(rows []Row, workload, name string) (Row, bool) {
	for _, row := range rows {
		if row.Workload == workload && row.Name == name && row.Line != nil {
			return row, true
		}
	}
	return Row{}, false
}
