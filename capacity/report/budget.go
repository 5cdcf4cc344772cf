package report

import (
	"fmt"

	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/run"
)

const secondsPerDay = 86400

// BudgetLine is one line of the budget.
type BudgetLine struct {
	Metric string
	Unit   string
	Basis  string  // how the figure comes about: measured, or by which extrapolation
	Value  float64 // at the target's size
	Budget float64
}

// Ratio is how many times the budget the figure is.
func (l BudgetLine) Ratio() float64 { return l.Value / l.Budget }

// basis tells how a row's figure at the target's size comes about.
func (r Row) basis(targetNodes float64) string {
	if r.Line.MaxSize >= targetNodes {
		return "measured"
	}
	return fmt.Sprintf("×%.3g", targetNodes/r.Line.MaxSize)
}

// budgetBuilder collects the lines of the budget.
type budgetBuilder struct {
	target plan.Target
	rows   []Row
	lines  []BudgetLine
}

// BudgetLines works out the figures that the budgets are for.
func BudgetLines(result *run.Result, rows []Row) []BudgetLine {
	builder := &budgetBuilder{target: result.Target, rows: rows}
	budget := result.Target.Budget
	builder.addDailyAverage("a node's control, processor", "cores", "processor cores", "processor seconds", budget.NodeCores)
	builder.addDailyAverage("a node's control, both ways", "bytes a second", "bytes a second", "bytes", budget.NodeBytesPerSecond)
	builder.addPeakMemory()
	builder.addConfigPropagation("changes")
	builder.addConfigPropagation("manifest")
	builder.addCallLatency(result)
	return builder.lines
}

// addLine adds a line whose figure follows from a row.
func (s *budgetBuilder) addLine(metric, unit string, row Row, value, budget float64) {
	s.lines = append(s.lines, BudgetLine{
		Metric: metric,
		Unit:   unit,
		Basis:  row.basis(float64(s.target.Nodes)),
		Value:  value,
		Budget: budget,
	})
}

// addDailyAverage adds what a sidecar uses in the steady state, with the day's changes and restarts
// spread over the day. steadyUnit is a rate, eventUnit what one event costs.
func (s *budgetBuilder) addDailyAverage(metric, unit, steadyUnit, eventUnit string, budget float64) {
	steady, ok := findRow(s.rows, "steady", "sidecar/all/"+steadyUnit)
	if !ok {
		return
	}
	value := steady.AtTarget
	if change, ok := findRow(s.rows, "changes", "sidecar/all/"+eventUnit); ok {
		value += change.AtTarget * s.target.ChangesPerDay / secondsPerDay
	}
	if restarts, ok := findRow(s.rows, "restart", "sidecar/all/"+eventUnit); ok {
		value += restarts.AtTarget / secondsPerDay // all restarts of a day are one event
	}
	s.addLine(metric, unit, steady, value, budget)
}

// addPeakMemory adds the load in which a sidecar takes the most memory.
func (s *budgetBuilder) addPeakMemory() {
	highest := Row{}
	for _, workload := range []string{"steady", "changes", "manifest", "restart"} {
		for _, name := range []string{"sidecar/all/memory", "sidecar/all/memory at its peak"} {
			if row, ok := findRow(s.rows, workload, name); ok && row.AtTarget > highest.AtTarget {
				highest = row
			}
		}
	}
	if highest.Line != nil {
		s.addLine("a node's memory, "+highest.Workload, "bytes", highest, highest.AtTarget, s.target.Budget.NodeMemoryBytes)
	}
}

// addConfigPropagation adds how long a configuration takes to be in force everywhere, and its traffic.
func (s *budgetBuilder) addConfigPropagation(workload string) {
	budget := s.target.Budget
	if row, ok := findRow(s.rows, workload, "mesh/known to all/seconds"); ok {
		s.addLine(workload+": in force everywhere", "seconds", row, row.AtTarget, budget.ApplySeconds)
	}
	if row, ok := findRow(s.rows, workload, "mesh/known to all, less the other nodes' work/seconds"); ok {
		s.addLine(workload+": in force everywhere, nodes on machines of their own", "seconds", row, row.AtTarget, budget.ApplySeconds)
	}
	if row, ok := findRow(s.rows, workload, "sidecar/all/bytes"); ok {
		s.addLine(workload+": bytes to one node, spread over the time to be in force", "bytes a second",
			row, row.AtTarget/budget.ApplySeconds, budget.NodeBytesPerSecond)
	}
}

// addCallLatency adds the call latency at the largest size that was measured.
func (s *budgetBuilder) addCallLatency(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	latency := result.CallLatency[len(result.CallLatency)-1]
	basis := "measured"
	if latency.Records < s.target.Nodes {
		basis = fmt.Sprintf("at %d records", latency.Records)
	}
	s.lines = append(s.lines, BudgetLine{
		Metric: "added to a call, 99 in 100",
		Unit:   "ms",
		Basis:  basis,
		Value:  latency.Added["p99"],
		Budget: s.target.Budget.AddedLatencyMs,
	})
}
