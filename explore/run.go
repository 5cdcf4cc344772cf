package explore

import (
	"maps"

	"cottonarch.example/cottonarch/explore/cluster"
	"cottonarch.example/cottonarch/explore/search"
)

// Part is one search of a run: of a model, under some faults, breadth first or by walks.
type Part struct {
	Model  Model
	Faults map[cluster.Fault]int
	Walked bool
	search.Report
	settings cluster.Settings
}

// Run explores, model after model, every mix of faults breadth first and then by walks. It
// ends with the first breach, which is that of the last part.
func Run(o Options) []Part {
	o = o.Focused()
	models := []Model{o.Model}
	if o.Model == All {
		models = Models()
	}
	var out []Part
	for _, model := range models {
		for _, p := range o.plan(model) {
			p.search(o)
			out = append(out, p)
			if p.Breach != nil {
				return out
			}
		}
	}
	return out
}

// plan lists the searches of a model. The states to remember are shared out evenly.
func (o Options) plan(model Model) []Part {
	var out []Part
	for _, mix := range o.mixes(model) {
		out = append(out, Part{Model: model, Faults: maps.Clone(mix), settings: o.settings(model, mix, deedsBreadth)})
	}
	drawn := o.drawn(model)
	return append(out, Part{Model: model, Faults: maps.Clone(drawn), Walked: true, settings: o.settings(model, drawn, deedsWalked)})
}

func (p *Part) search(o Options) {
	bound := search.Bound{Depth: o.Depth, States: o.States / len(o.mixes(p.Model)), Walks: o.Walks, Steps: o.Steps, Seed: o.Seed, Stop: o.Stop}
	if p.Walked {
		p.Report = search.Walks(p.settings.Factory(), bound)
		return
	}
	p.Report = search.Breadth(p.settings.Factory(), bound)
}
