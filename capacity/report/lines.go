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
	Points     []fit.XY
	Line       *fit.Line
	At         float64 // at the size asked about, by the line
	Crowded    int     // points left out because the machine was busy or stood still
}

// Role, Duty and Unit are the parts of a name.
func (r Row) Role() string { return part(r.Name, 0) }

// Duty is what the figure is of.
func (r Row) Duty() string { return part(r.Name, 1) }

// Unit is what it is counted in.
func (r Row) Unit() string { return part(r.Name, 2) }

func part(name string, i int) string {
	list := strings.SplitN(name, "/", 3)
	if i < len(list) {
		return list[i]
	}
	return ""
}

func (r Row) seconds() bool { return r.Unit() == "seconds" }

// memory is that of a process that has grown: only whole sizes tell of it.
func (r Row) memory() bool { return strings.HasPrefix(r.Unit(), "memory") }

// Rows gives every figure, by load in the order in which they ran, then by name.
func Rows(res *run.Result) []Row {
	type key struct{ load, name string }
	by := map[key]*Row{}
	var order []string
	for _, p := range res.Points {
		if !slices.Contains(order, p.Load) {
			order = append(order, p.Load)
		}
		for name, v := range p.Values {
			k := key{p.Load, name}
			if by[k] == nil {
				by[k] = &Row{Load: p.Load, Name: name}
			}
			if by[k].seconds() && !p.Clean() {
				by[k].Crowded++
				continue
			}
			by[k].Points = append(by[k].Points, fit.XY{X: float64(p.Nodes), Y: v})
		}
	}
	var out []Row
	for _, l := range order {
		names := []string{}
		for k := range maps.Keys(by) {
			if k.load == l {
				names = append(names, k.name)
			}
		}
		slices.Sort(names)
		for _, n := range names {
			by[key{l, n}].nought(res, l)
		}
		for _, n := range names {
			r := by[key{l, n}]
			if line, ok := fit.Draw(r.Points); ok {
				r.Line, r.At = &line, line.At(float64(res.Target.Nodes))
			}
			out = append(out, *r)
		}
	}
	return out
}

// nought adds the sizes at which a duty was too small to be seen.
func (r *Row) nought(res *run.Result, l string) {
	if r.seconds() || r.memory() {
		return
	}
	for _, p := range res.Points {
		if _, ok := p.Values[r.Name]; p.Load == l && !ok {
			r.Points = append(r.Points, fit.XY{X: float64(p.Nodes)})
		}
	}
	slices.SortFunc(r.Points, func(a, b fit.XY) int { return cmp.Compare(a.X, b.X) })
}

// find gives a row with a line.
func find(rows []Row, l, name string) (Row, bool) {
	for _, r := range rows {
		if r.Load == l && r.Name == name && r.Line != nil {
			return r, true
		}
	}
	return Row{}, false
}
