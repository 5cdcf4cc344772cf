package explore

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/explore/cluster"
	"cottonarch.example/cottonarch/explore/search"
)

// Trace is a run that can be made again. Invariant: Lines describe Choices.
type Trace struct {
	Settings cluster.Settings  `json:"settings"`
	Breach   *search.Violation `json:"breach"`
	Lines    []string          `json:"lines"`
	Choices  []search.Choice   `json:"choices"`
}

// settledLine describes the end of a run, without further faults.
const settledLine = "all members start, all messages arrive, and every key is read"

// Trace is the run that violated an invariant.
func (r SearchRun) Trace() Trace {
	t := Trace{Settings: r.settings, Breach: r.Violation, Choices: r.Report.Trace}
	t.Lines, _, _ = t.Replay()
	return t
}

// Encode encodes the trace for a file.
func (t Trace) Encode() []byte {
	out, _ := json.MarshalIndent(t, "", "  ")
	return append(out, '\n')
}

// Decode reads the content of a file.
func Decode(raw []byte) (Trace, *failure.Error) {
	var t Trace
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, failure.New(failure.BadSettings, "this is no trace: %v", err)
	}
	if invalid := t.Settings.Validate(); invalid != nil {
		return t, invalid
	}
	return t, nil
}

// Replay makes the choices again and describes them; the violation is nil if there is none.
func (t Trace) Replay() (lines []string, violation *search.Violation, invalid *failure.Error) {
	s := t.Settings.Factory()()
	for i, c := range t.Choices {
		if !slices.Contains(s.Choices(), c) {
			return lines, nil, failure.New(failure.BadSettings, "choice %d, %s, is not possible in this build", i+1, c.Kind)
		}
		lines = append(lines, fmt.Sprintf("%3d  %s", i+1, s.Describe(c)))
		s.Apply(c)
		if s.Violation() != nil {
			return lines, s.Violation(), nil
		}
	}
	lines = append(lines, fmt.Sprintf("%3d  %s", len(t.Choices)+1, settledLine))
	s.Settle()
	return lines, s.Violation(), nil
}

// Text reports what a run explored and found.
func Text(runs []SearchRun) string {
	var text strings.Builder
	for _, run := range runs {
		text.WriteString(run.summary() + "\n")
	}
	if last := runs[len(runs)-1]; last.Violation != nil {
		fmt.Fprintf(&text, "violation of %s\n", last.Violation)
		for _, line := range last.Trace().Lines {
			text.WriteString(line + "\n")
		}
	}
	return text.String()
}

// summary reports one search.
func (r SearchRun) summary() string {
	faults := formatFaults(r.Faults)
	if r.RandomWalks {
		return fmt.Sprintf("%s, %s: %d walks, %d states", r.Model, faults, r.Walks, r.WalkStates)
	}
	bound := fmt.Sprintf("every order up to %d choices", r.Depth)
	if r.Complete {
		bound = "every order there is"
	}
	return fmt.Sprintf("%s, %s: %d states by %d runs, %s", r.Model, faults, r.States, r.Runs, bound)
}

// formatFaults lists limits of faults in a fixed order.
func formatFaults(limits map[cluster.Fault]int) string {
	var out []string
	for _, f := range cluster.Faults() {
		if limits[f] > 0 {
			out = append(out, fmt.Sprintf("%s %d", f, limits[f]))
		}
	}
	if len(out) == 0 {
		return "no faults"
	}
	return strings.Join(out, ", ")
}
