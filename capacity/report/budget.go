package report

import (
	"fmt"

	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/run"
)

const secondsPerDay = 86400

// BudgetLine compares one metric with its budget.
type BudgetLine struct {
	Metric string // description of the metric
	Unit   string
	Basis  string  // how Value was obtained: by measurement, or with which factor of extrapolation
	Value  float64 // at the size of the target
	Budget float64
}

// Ratio returns the value divided by the budget.
func (l BudgetLine) Ratio() float64 { return l.Value / l.Budget }

// basis describes how the value of a row at the target size was obtained: by measurement, or by
// extrapolation and with which factor beyond the largest measured size.
func (r Row) basis(targetNodes float64) string {
	if r.Curve.MaxSize >= targetNodes {
		return "measured"
	}
	return fmt.Sprintf("×%.3g", targetNodes/r.Curve.MaxSize)
}

// budgetBuilder builds the lines of the budget.
type budgetBuilder struct {
	target plan.Target
	rows   []Row
	lines  []BudgetLine
}

// BudgetLines returns the comparison of the metrics with their budgets, at the size of the target.
func BudgetLines(result *run.Result, rows []Row) []BudgetLine {
	builder := &budgetBuilder{target: result.Target, rows: rows}
	budget := result.Target.Budget
	builder.addDailyAverage("sidecar CPU", "cores", "processor cores", "processor seconds", budget.NodeCores)
	builder.addDailyAverage("sidecar control traffic, sent and received", "bytes a second", "bytes a second", "bytes", budget.NodeBytesPerSecond)
	builder.addPeakMemory()
	builder.addConfigPropagation("changes")
	builder.addConfigPropagation("manifest")
	builder.addCallLatency(result)
	return builder.lines
}

// addLine adds a line whose value is derived from a row.
func (b *budgetBuilder) addLine(metric, unit string, row Row, value, budget float64) {
	b.lines = append(b.lines, BudgetLine{
		Metric: metric,
		Unit:   unit,
		Basis:  row.basis(float64(b.target.Nodes)),
		Value:  value,
		Budget: budget,
	})
}

// addDailyAverage adds the usage of a sidecar in the steady state plus the cost of one day's changes and
// restarts, averaged over the day. steadyUnit is the unit of a rate, eventUnit the unit of the cost of
// one event.
func (b *budgetBuilder) addDailyAverage(metric, unit, steadyUnit, eventUnit string, budget float64) {
	steady, ok := findRow(b.rows, "steady", "sidecar/all/"+steadyUnit)
	if !ok {
		return
	}
	value := steady.AtTarget
	if change, ok := findRow(b.rows, "changes", "sidecar/all/"+eventUnit); ok {
		value += change.AtTarget * b.target.ChangesPerDay / secondsPerDay
	}
	if restarts, ok := findRow(b.rows, "restart", "sidecar/all/"+eventUnit); ok {
		value += restarts.AtTarget / secondsPerDay // the restart workload is one event with all restarts of a day
	}
	b.addLine(metric, unit, steady, value, budget)
}

// addPeakMemory adds the memory of a sidecar in the workload with the highest memory usage.
func (b *budgetBuilder) addPeakMemory() {
	highest := Row{}
	for _, workload := range []string{"steady", "changes", "manifest", "restart"} {
		for _, name := range []string{"sidecar/all/memory", "sidecar/all/memory at its peak"} {
			if row, ok := findRow(b.rows, workload, name); ok && row.AtTarget > highest.AtTarget {
				highest = row
			}
		}
	}
	if highest.Curve != nil {
		b.addLine("sidecar memory, "+highest.Workload, "bytes", highest, highest.AtTarget, b.target.Budget.NodeMemoryBytes)
	}
}

// addConfigPropagation adds the time until all nodes have applied a configuration, and the traffic that
// the configuration causes at one node.
func (b *budgetBuilder) addConfigPropagation(workload string) {
	budget := b.target.Budget
	if row, ok := findRow(b.rows, workload, "mesh/known to all/seconds"); ok {
		b.addLine(workload+": applied on all nodes", "seconds", row, row.AtTarget, budget.ApplySeconds)
	}
	if row, ok := findRow(b.rows, workload, "mesh/known to all, less the other nodes' work/seconds"); ok {
		b.addLine(workload+": applied on all nodes, each node on its own machine", "seconds", row, row.AtTarget, budget.ApplySeconds)
	}
	if row, ok := findRow(b.rows, workload, "sidecar/all/bytes"); ok {
		b.addLine(workload+": traffic of one node, averaged over the budgeted time to apply", "bytes a second",
			row, row.AtTarget/budget.ApplySeconds, budget.NodeBytesPerSecond)
	}
}

// addCallLatency adds the call latency at the largest measured size.
func (b *budgetBuilder) addCallLatency(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	latency := result.CallLatency[len(result.CallLatency)-1]
	basis := "measured"
	if latency.Records < b.target.Nodes {
		basis = fmt.Sprintf("measured at %d records", latency.Records)
	}
	b.lines = append(b.lines, BudgetLine{
		Metric: "added call latency, p99",
		Unit:   "ms",
		Basis:  basis,
		Value:  latency.Added["p99"],
		Budget: b.target.Budget.AddedLatencyMs,
	})
}
