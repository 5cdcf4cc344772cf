package explore

import (
	"maps"

	"cottonarch.example/cottonarch/explore/cluster"
	"cottonarch.example/cottonarch/explore/search"
)

// SearchRun is one search of a model under fault limits, either breadth first or by random walks.
type SearchRun struct {
	Model       Model
	Faults      map[cluster.Fault]int
	RandomWalks bool
	search.Report
	settings cluster.Settings
}

// Run runs the searches of each model: breadth first under each set of fault limits, then random walks.
// Run stops after the first search that finds a violation, which is the last of the result.
func Run(o Options) []SearchRun {
	o = o.NarrowedToMutant()
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

// searchRuns returns the searches of a model, which have not run yet.
func (o Options) searchRuns(model Model) []SearchRun {
	var out []SearchRun
	for _, faults := range o.breadthFirstFaults(model) {
		out = append(out, SearchRun{Model: model, Faults: maps.Clone(faults), settings: o.settings(model, faults, operationsBreadthFirst)})
	}
	walkFaults := o.walkFaults(model)
	return append(out, SearchRun{Model: model, Faults: maps.Clone(walkFaults), RandomWalks: true, settings: o.settings(model, walkFaults, operationsPerWalk)})
}

// search runs the search. The limit of remembered states is divided evenly among the breadth-first
// searches of a model.
func (r *SearchRun) search(o Options) {
	limits := search.Limits{Depth: o.Depth, States: o.States / len(o.breadthFirstFaults(r.Model)), Walks: o.Walks, Steps: o.Steps, Seed: o.Seed, Stop: o.Stop}
	if r.RandomWalks {
		r.Report = search.RandomWalks(r.settings.Factory(), limits)
		return
	}
	r.Report = search.BreadthFirst(r.settings.Factory(), limits)
}
