package report

import (
	"fmt"

	"cottonarch.example/cottonarch/capacity/plan"
	"cottonarch.example/cottonarch/capacity/run"
)

const secondsPerDay = 86400

// BudgetLine is one line of the budget.
type BudgetLine struct {
	What      string
	Unit      string
	ReachedBy string  // how the figure comes about: measured, or by which extrapolation
	Figure    float64 // at the target's size
	Budget    float64
}

// Ratio is how many times the budget the figure is.
func (l BudgetLine) Ratio() float64 { return l.Figure / l.Budget }

// reachedBy tells how a row's figure at the target's size comes about.
func (r Row) reachedBy(targetNodes float64) string {
	if r.Line.MaxSize >= targetNodes {
		return "measured"
	}
	return fmt.Sprintf("×%.3g", targetNodes/r.Line.MaxSize)
}

// budgetSheet collects the lines of the budget.
type budgetSheet struct {
	target plan.Target
	rows   []Row
	lines  []BudgetLine
}

// BudgetLines works out the figures that the budgets are for.
func BudgetLines(result *run.Result, rows []Row) []BudgetLine {
	sheet := &budgetSheet{target: result.Target, rows: rows}
	budget := result.Target.Budget
	sheet.addOverDay("a node's control, processor", "cores", "processor cores", "processor seconds", budget.NodeCores)
	sheet.addOverDay("a node's control, both ways", "bytes a second", "bytes a second", "bytes", budget.NodeBytesPerSecond)
	sheet.addMemory()
	sheet.addConfig("changes")
	sheet.addConfig("manifest")
	sheet.addLatency(result)
	return sheet.lines
}

// add adds a line whose figure follows from a row.
func (s *budgetSheet) add(what, unit string, row Row, figure, budget float64) {
	s.lines = append(s.lines, BudgetLine{
		What:      what,
		Unit:      unit,
		ReachedBy: row.reachedBy(float64(s.target.Nodes)),
		Figure:    figure,
		Budget:    budget,
	})
}

// addOverDay adds what a sidecar uses in the steady state, with the day's changes and restarts
// spread over the day. steadyUnit is a rate, eventUnit what one event costs.
func (s *budgetSheet) addOverDay(what, unit, steadyUnit, eventUnit string, budget float64) {
	steady, ok := findRow(s.rows, "steady", "sidecar/all/"+steadyUnit)
	if !ok {
		return
	}
	figure := steady.AtTarget
	if change, ok := findRow(s.rows, "changes", "sidecar/all/"+eventUnit); ok {
		figure += change.AtTarget * s.target.ChangesPerDay / secondsPerDay
	}
	if restarts, ok := findRow(s.rows, "restart", "sidecar/all/"+eventUnit); ok {
		figure += restarts.AtTarget / secondsPerDay // all restarts of a day are one event
	}
	s.add(what, unit, steady, figure, budget)
}

// addMemory adds the load in which a sidecar takes the most memory.
func (s *budgetSheet) addMemory() {
	highest := Row{}
	for _, load := range []string{"steady", "changes", "manifest", "restart"} {
		for _, name := range []string{"sidecar/all/memory", "sidecar/all/memory at its peak"} {
			if row, ok := findRow(s.rows, load, name); ok && row.AtTarget > highest.AtTarget {
				highest = row
			}
		}
	}
	if highest.Line != nil {
		s.add("a node's memory, "+highest.Load, "bytes", highest, highest.AtTarget, s.target.Budget.NodeMemoryBytes)
	}
}

// addConfig adds how long a configuration takes to be in force everywhere, and its traffic.
func (s *budgetSheet) addConfig(load string) {
	budget := s.target.Budget
	if row, ok := findRow(s.rows, load, "mesh/known to all/seconds"); ok {
		s.add(load+": in force everywhere", "seconds", row, row.AtTarget, budget.ApplySeconds)
	}
	if row, ok := findRow(s.rows, load, "mesh/known to all, less the other nodes' work/seconds"); ok {
		s.add(load+": in force everywhere, nodes on machines of their own", "seconds", row, row.AtTarget, budget.ApplySeconds)
	}
	if row, ok := findRow(s.rows, load, "sidecar/all/bytes"); ok {
		s.add(load+": bytes to one node, spread over the time to be in force", "bytes a second",
			row, row.AtTarget/budget.ApplySeconds, budget.NodeBytesPerSecond)
	}
}

// addLatency adds the call latency at the largest size that was measured.
func (s *budgetSheet) addLatency(result *run.Result) {
	if len(result.CallLatency) == 0 {
		return
	}
	latency := result.CallLatency[len(result.CallLatency)-1]
	reachedBy := "measured"
	if latency.Records < s.target.Nodes {
		reachedBy = fmt.Sprintf("at %d records", latency.Records)
	}
	s.lines = append(s.lines, BudgetLine{
		What:      "added to a call, 99 in 100",
		Unit:      "ms",
		ReachedBy: reachedBy,
		Figure:    latency.Added["p99"],
		Budget:    s.target.Budget.AddedLatencyMs,
	})
}
