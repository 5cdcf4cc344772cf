// Package report draws lines through what was measured and writes figures, tables and
// plots.
package report

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/capacity/fit"
	"cottonarch.example/cottonarch/capacity/run"
)

// Row is one figure over all sizes. Line is nil when there are fewer sizes than a line
// needs.
type Row struct {
	Load, Name string
	Points     []fit.Point
	Line       *fit.Line
	AtTarget   float64 // at the size asked about, by the line
	Skipped    int     // points left out because the machine was busy or stood still
}

// Role, Duty and Unit are the parts of a name.
func (r Row) Role() string { return namePart(r.Name, 0) }

// Activity is what the figure is of.
func (r Row) Activity() string { return namePart(r.Name, 1) }

// Unit is what it is counted in.
func (r Row) Unit() string { return namePart(r.Name, 2) }

func namePart(name string, i int) string {
	parts := strings.SplitN(name, "/", 3)
	if i < len(parts) {
		return parts[i]
	}
	return ""
}

func (r Row) inSeconds() bool { return r.Unit() == "seconds" }

// isMemory is that of a process that has grown: only whole sizes tell of it.
func (r Row) isMemory() bool { return strings.HasPrefix(r.Unit(), "memory") }

// Rows gives every figure, by load in the order in which they ran, then by name.
func Rows(result *run.Result) []Row {
	type key struct{ load, name string }
	rowByKey := map[key]*Row{}
	var order []string
	for _, p := range result.Points {
		if !slices.Contains(order, p.Load) {
			order = append(order, p.Load)
		}
		for name, v := range p.Values {
			k := key{p.Load, name}
			if rowByKey[k] == nil {
				rowByKey[k] = &Row{Load: p.Load, Name: name}
			}
			if rowByKey[k].inSeconds() && !p.Clean() {
				rowByKey[k].Skipped++
				continue
			}
			rowByKey[k].Points = append(rowByKey[k].Points, fit.Point{X: float64(p.Nodes), Y: v})
		}
	}
	var all []Row
	for _, load := range order {
		names := []string{}
		for k := range maps.Keys(rowByKey) {
			if k.load == load {
				names = append(names, k.name)
			}
		}
		slices.Sort(names)
		for _, n := range names {
			rowByKey[key{load, n}].addZeros(result, load)
		}
		for _, n := range names {
			r := rowByKey[key{load, n}]
			if line, ok := fit.BestLine(r.Points); ok {
				r.Line, r.AtTarget = &line, line.ValueAt(float64(result.Target.Nodes))
			}
			all = append(all, *r)
		}
	}
	return all
}

// addZeros adds the sizes at which a duty was too small to be seen.
func (r *Row) addZeros(result *run.Result, load string) {
	if r.inSeconds() || r.isMemory() {
		return
	}
	for _, p := range result.Points {
		if _, ok := p.Values[r.Name]; p.Load == load && !ok {
			r.Points = append(r.Points, fit.Point{X: float64(p.Nodes)})
		}
	}
	slices.SortFunc(r.Points, func(a, b fit.Point) int { return cmp.Compare(a.X, b.X) })
}

// findRow gives a row with a line.
func findRow(rows []Row, load, name string) (Row, bool) {
	for _, r := range rows {
		if r.Load == load && r.Name == name && r.Line != nil {
			return r, true
		}
	}
	return Row{}, false
}
