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

// Trace is a recorded run that can be replayed. Invariant: Lines describe Choices.
type Trace struct {
	Settings  cluster.Settings  `json:"settings"`
	Violation *search.Violation `json:"breach"`
	Lines     []string          `json:"lines"`
	Choices   []search.Choice   `json:"choices"`
}

// settledLine describes the last step of a run, in which the system settles without further faults.
const settledLine = "all members start, all messages arrive, and every key is read"

// Trace returns the run that violated an invariant.
func (r SearchRun) Trace() Trace {
	t := Trace{Settings: r.settings, Violation: r.Violation, Choices: r.Report.Trace}
	t.Lines, _, _ = t.Replay()
	return t
}

// Encode encodes the trace as indented JSON.
func (t Trace) Encode() []byte {
	out, _ := json.MarshalIndent(t, "", "  ")
	return append(out, '\n')
}

// Decode decodes a trace and validates its settings.
func Decode(raw []byte) (Trace, *failure.Error) {
	var t Trace
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, failure.New(failure.BadSettings, "can't decode the trace: %v", err)
	}
	if invalid := t.Settings.Validate(); invalid != nil {
		return t, invalid
	}
	return t, nil
}

// Replay replays the choices and returns their descriptions and the violation, nil if there is none.
// Replay fails if a choice is not possible.
func (t Trace) Replay() (lines []string, violation *search.Violation, invalid *failure.Error) {
	s := t.Settings.Factory()()
	for i, c := range t.Choices {
		if !slices.Contains(s.Choices(), c) {
			return lines, nil, failure.New(failure.BadSettings, "choice %d, %s, of the trace is not possible in this build", i+1, c.Kind)
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

// Text returns a report of what the searches explored and of the violation, if any.
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

// summary returns a one-line report of a search.
func (r SearchRun) summary() string {
	faults := formatFaults(r.Faults)
	if r.RandomWalks {
		return fmt.Sprintf("%s, %s: %d walks, %d states", r.Model, faults, r.Walks, r.WalkStates)
	}
	bound := fmt.Sprintf("every order up to %d choices", r.Depth)
	if r.Complete {
		bound = "every possible order"
	}
	return fmt.Sprintf("%s, %s: %d states by %d runs, %s", r.Model, faults, r.States, r.Runs, bound)
}

// formatFaults formats fault limits in a fixed order.
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
