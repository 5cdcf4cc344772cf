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

// num shows a figure with three digits that count.
func num(v float64) string {
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

type table struct{ b strings.Builder }

func (t *table) row(cells ...string) { t.b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }

func (t *table) head(cells ...string) {
	t.row(cells...)
	t.row(slices.Repeat([]string{"---"}, len(cells))...)
}

func (t *table) say(f string, args ...any) { fmt.Fprintf(&t.b, f+"\n", args...) }

// at tells where a figure at the size asked about comes from.
func (r Row) from(n float64) string {
	if r.Line.To >= n {
		return "measured"
	}
	return fmt.Sprintf("×%.3g", n/r.Line.To)
}

// Tables is the whole text, as it stands on the page.
func Tables(res *run.Result) string {
	rows, t := Rows(res), &table{}
	t.say("Commit %s, %s, %d processors, window %s. `%s`\n", res.Commit, res.Go, res.Processors, res.Window, res.Command)
	low, high := 1.0, 0.0
	for _, p := range res.Points {
		low, high = min(low, p.Machine), max(high, p.Machine)
	}
	if high > 0 {
		t.say("The machine as a whole, with all else that ran on it, was used to %.0f to %.0f %% meanwhile; times of a crowded machine are not the mesh's.\n", 100*low, 100*high)
	}
	for _, l := range res.Left {
		t.say("- left out: %s", l)
	}
	for _, p := range res.Points {
		if p.Missing > 0 {
			t.say("- %s at %d nodes: %d did not come to know in time", p.Load, p.Nodes, p.Missing)
		}
		if !p.Clean() {
			t.say("- %s at %d nodes: the mesh used %.0f %% of the processors given to it and a process was held up for %.1f s; its times are left out of the fits", p.Load, p.Nodes, 100*p.Busy, p.Held)
		}
	}
	t.budget(res, rows)
	t.duties(res, rows, "core")
	t.duties(res, rows, "sidecar")
	t.walk(res)
	t.figures(res, rows)
	return t.b.String()
}

// Spend is one line of the budget. Figure is at the size asked about.
type Spend struct {
	What, Unit, From string
	Figure, Budget   float64
}

// Over is how many times the budget it is.
func (s Spend) Over() float64 { return s.Figure / s.Budget }

// Budget works out what the budgets are held against: the steady beats, and the day's
// changes and restarts spread over the day.
func Budget(res *run.Result, rows []Row) []Spend {
	var out []Spend
	b, n := res.Target.Budget, float64(res.Target.Nodes)
	day := func(unit, event string) (float64, string, bool) {
		r, ok := find(rows, "steady", "sidecar/all/"+unit)
		if !ok {
			return 0, "", false
		}
		v := r.At
		if e, ok := find(rows, "changes", "sidecar/all/"+event); ok {
			v += e.At * res.Target.ChangesDay / 86400
		}
		if e, ok := find(rows, "restart", "sidecar/all/"+event); ok {
			v += e.At / 86400
		}
		return v, r.from(n), true
	}
	if v, from, ok := day("processor cores", "processor seconds"); ok {
		out = append(out, Spend{"a node's control, processor", "cores", from, v, b.NodeCores})
	}
	if v, from, ok := day("bytes a second", "bytes"); ok {
		out = append(out, Spend{"a node's control, both ways", "bytes a second", from, v, b.NodeBytesS})
	}
	top := Row{}
	for _, l := range []string{"steady", "changes", "manifest", "restart"} {
		for _, name := range []string{"sidecar/all/memory", "sidecar/all/memory at its peak"} {
			if r, ok := find(rows, l, name); ok && r.At > top.At {
				top = r
			}
		}
	}
	if top.Line != nil {
		out = append(out, Spend{"a node's memory, " + top.Load, "bytes", top.from(n), top.At, b.NodeMemory})
	}
	for _, l := range []string{"changes", "manifest"} {
		if r, ok := find(rows, l, "mesh/known to all/seconds"); ok {
			out = append(out, Spend{l + ": in force everywhere", "seconds", r.from(n), r.At, b.InForceS})
		}
		if r, ok := find(rows, l, "mesh/known to all, less the other nodes' work/seconds"); ok {
			out = append(out, Spend{l + ": in force everywhere, nodes on machines of their own", "seconds", r.from(n), r.At, b.InForceS})
		}
		if r, ok := find(rows, l, "sidecar/all/bytes"); ok {
			out = append(out, Spend{l + ": bytes to one node, spread over the time to be in force", "bytes a second", r.from(n), r.At / b.InForceS, b.NodeBytesS})
		}
	}
	if len(res.Walk) > 0 {
		w := res.Walk[len(res.Walk)-1]
		from := "measured"
		if w.Records < res.Target.Nodes {
			from = fmt.Sprintf("at %d records", w.Records)
		}
		out = append(out, Spend{"added to a call, 99 in 100", "ms", from, w.Added["p99"], b.AddedMs})
	}
	return out
}

func (t *table) budget(res *run.Result, rows []Row) {
	list := Budget(res, rows)
	if len(list) == 0 {
		return
	}
	t.say("\n### At %d nodes, against the budget\n", res.Target.Nodes)
	t.head("what", "figure", "budget", "", "reached by")
	for _, s := range list {
		word := "fits"
		if s.Over() > 1 {
			word = fmt.Sprintf("**over, ×%.3g**", s.Over())
		}
		t.row(s.What, num(s.Figure)+" "+s.Unit, num(s.Budget), word, s.From)
	}
	n := float64(res.Target.Nodes)
	for _, name := range []string{"core/busiest/processor cores", "core/all/memory", "core/all/messages a second", "core/all/bytes a second"} {
		if r, ok := find(rows, "steady", name); ok {
			what := "each core: "
			if r.Duty() == "busiest" {
				what = "the busiest core: "
			}
			t.row(what+strings.TrimPrefix(r.Unit(), "processor "), num(r.At), fmt.Sprintf("%d machines", res.Target.Budget.CoreMachine), "", r.from(n))
		}
	}
	if len(res.Walk) > 0 {
		w := res.Walk[len(res.Walk)-1]
		t.row(fmt.Sprintf("a call %d deep, at the half of calls", res.Target.Deep), num(float64(res.Target.Deep)*w.Added["p50"])+" ms", "", "", fmt.Sprintf("%d × p50", res.Target.Deep))
	}
}

// duties is one role's work by duty at the size asked about.
func (t *table) duties(res *run.Result, rows []Row, role string) {
	n, list := float64(res.Target.Nodes), []string{}
	units := []string{"messages a second", "body bytes a second", "processor cores"}
	cell := func(duty, unit string) string {
		if r, ok := find(rows, "steady", role+"/"+duty+"/"+unit); ok {
			return num(r.At)
		}
		return ""
	}
	for _, r := range rows {
		if r.Load == "steady" && r.Role() == role && slices.Contains(units, r.Unit()) && !slices.Contains([]string{"all", "busiest", "hollow, mean"}, r.Duty()) && r.Line != nil && !slices.Contains(list, r.Duty()) {
			list = append(list, r.Duty())
		}
	}
	if len(list) == 0 {
		return
	}
	t.say("\n### %s, steady beats at %.0f nodes, by duty\n", map[string]string{"core": "Each core", "sidecar": "The sidecar"}[role], n)
	t.head("duty", "package", "messages a second", "body bytes a second", "processor cores")
	for _, d := range list {
		t.row(d, meter.Package(d), cell(d, units[0]), cell(d, units[1]), cell(d, units[2]))
	}
	t.row("all", "", cell("all", units[0]), cell("all", "bytes a second")+" (TCP)", cell("all", units[2]))
}

func (t *table) walk(res *run.Result) {
	if len(res.Walk) == 0 {
		return
	}
	t.say("\n### The walk: what both sidecars add to a call, ms\n")
	t.head("records", "ways", "pairs", "added p50", "p99", "p99.9", "through p50", "p99", "direct p50", "p99")
	for _, w := range res.Walk {
		t.row(fmt.Sprint(w.Records), fmt.Sprint(w.Ways), fmt.Sprint(w.Pairs), num(w.Added["p50"]), num(w.Added["p99"]), num(w.Added["p99.9"]),
			num(w.Through["p50"]), num(w.Through["p99"]), num(w.Direct["p50"]), num(w.Direct["p99"]))
	}
}

func value(list []fit.XY, n int) string {
	for _, p := range list {
		if p.X == float64(n) {
			return num(p.Y)
		}
	}
	return ""
}

// figures is every figure that stands on a line.
func (t *table) figures(res *run.Result, rows []Row) {
	last := ""
	for _, r := range rows {
		if len(r.Points) == 0 {
			continue
		}
		if r.Load != last {
			last = r.Load
			t.say("\n### Load: %s\n", last)
			cells := []string{"figure"}
			for _, n := range res.Sizes {
				cells = append(cells, fmt.Sprint(n))
			}
			t.head(append(cells, "line", "farthest off", fmt.Sprintf("at %d", res.Target.Nodes), "reached by")...)
		}
		cells := []string{strings.ReplaceAll(r.Name, "/", ": ")}
		for _, n := range res.Sizes {
			cells = append(cells, value(r.Points, n))
		}
		if r.Line == nil {
			cells = append(cells, fmt.Sprintf("%d sizes are too few", len(r.Points)), "", "", "")
		} else {
			cells = append(cells, r.Line.Text(), fmt.Sprintf("%.0f %%", 100*r.Line.Off), num(r.At), r.from(float64(res.Target.Nodes)))
		}
		t.row(cells...)
	}
}
