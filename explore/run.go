package explore

import (
	"maps"

	"cottonarch.example/cottonarch/explore/cluster"
	"cottonarch.example/cottonarch/explore/search"
)

// SearchRun is one search of a run: of a model and some faults, breadth first or by walks.
type SearchRun struct {
	Model       Model
	Faults      map[cluster.Fault]int
	RandomWalks bool
	search.Report
	settings cluster.Settings
}

// Run explores, model after model, every mix of faults breadth first and then by walks. It ends
// with the first violation, which is that of the last search.
func Run(o Options) []SearchRun {
	o = o.Focused()
	models := []Model{o.Model}
	if o.Model == All {
		models = Models()
	}
	var out []SearchRun
	for _, model := range models {
		for _, run := range o.searchRuns(model) {
			run.search(o)
			out = append(out, run)
			if run.Violation != nil {
				return out
			}
		}
	}
	return out
}

// searchRuns lists the searches of a model.
func (o Options) searchRuns(model Model) []SearchRun {
	var out []SearchRun
	for _, mix := range o.faultMixes(model) {
		out = append(out, SearchRun{Model: model, Faults: maps.Clone(mix), settings: o.settings(model, mix, operationsBreadthFirst)})
	}
	walkFaults := o.walkFaults(model)
	return append(out, SearchRun{Model: model, Faults: maps.Clone(walkFaults), RandomWalks: true, settings: o.settings(model, walkFaults, operationsPerWalk)})
}

// search makes the search. The breadth-first searches of a model share the remembered states
// evenly.
func (r *SearchRun) search(o Options) {
	limits := search.Limits{Depth: o.Depth, States: o.States / len(o.faultMixes(r.Model)), Walks: o.Walks, Steps: o.Steps, Seed: o.Seed, Stop: o.Stop}
	if r.RandomWalks {
		r.Report = search.RandomWalks(r.settings.Factory(), limits)
		return
	}
	r.Report = search.BreadthFirst(r.settings.Factory(), limits)
}
