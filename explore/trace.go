package explore

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cottonarch.example/cottonarch/explore/cluster"
	"cottonarch.example/cottonarch/explore/search"
	"cottonarch.example/cottonarch/kernel/failure"
)

// Trace is a run that can be made again. Invariant: Lines only say in words what Choices
// are.
type Trace struct {
	Settings cluster.Settings `json:"settings"`
	Breach   *search.Breach   `json:"breach"`
	Lines    []string         `json:"lines"`
	Choices  []search.Choice  `json:"choices"`
}

// settled is the line for the end of a run, where no fault is left.
const settled = "all members start, all messages arrive, and every key is read"

// Trace is the run that broke an invariant.
func (p Part) Trace() Trace {
	t := Trace{Settings: p.settings, Breach: p.Breach, Choices: p.Report.Trace}
	t.Lines, _, _ = t.Replay()
	return t
}

// Encode writes the trace as a file holds it.
func (t Trace) Encode() []byte {
	out, _ := json.MarshalIndent(t, "", "  ")
	return append(out, '\n')
}

// Decode reads a file.
func Decode(raw []byte) (Trace, *failure.Error) {
	var t Trace
	if err := json.Unmarshal(raw, &t); err != nil {
		return t, failure.New(failure.BadSettings, "this is no trace: %v", err)
	}
	if bad := t.Settings.Check(); bad != nil {
		return t, bad
	}
	return t, nil
}

// Replay makes the choices again and says them; the breach is nil when all held.
func (t Trace) Replay() (lines []string, breach *search.Breach, bad *failure.Error) {
	s := t.Settings.Factory()()
	for i, c := range t.Choices {
		if !slices.Contains(s.Choices(), c) {
			return lines, nil, failure.New(failure.BadSettings, "choice %d, %s, is not possible in this build", i+1, c.Kind)
		}
		lines = append(lines, fmt.Sprintf("%3d  %s", i+1, s.Say(c)))
		s.Apply(c)
		if s.Breach() != nil {
			return lines, s.Breach(), nil
		}
	}
	lines = append(lines, fmt.Sprintf("%3d  %s", len(t.Choices)+1, settled))
	s.Settle()
	return lines, s.Breach(), nil
}

// Text tells what a run explored and found.
func Text(parts []Part) string {
	var out strings.Builder
	for _, p := range parts {
		out.WriteString(p.line() + "\n")
	}
	if last := parts[len(parts)-1]; last.Breach != nil {
		fmt.Fprintf(&out, "breach of %s\n", last.Breach)
		for _, line := range last.Trace().Lines {
			out.WriteString(line + "\n")
		}
	}
	return out.String()
}

// line tells one search.
func (p Part) line() string {
	under := faultText(p.Faults)
	if p.Walked {
		return fmt.Sprintf("%s, %s: %d walks, %d states", p.Model, under, p.Walks, p.Met)
	}
	bound := fmt.Sprintf("every order up to %d choices", p.Depth)
	if p.Whole {
		bound = "every order there is"
	}
	return fmt.Sprintf("%s, %s: %d states by %d runs, %s", p.Model, under, p.States, p.Runs, bound)
}

func faultText(all map[cluster.Fault]int) string {
	var out []string
	for _, f := range cluster.Faults() {
		if all[f] > 0 {
			out = append(out, fmt.Sprintf("%s %d", f, all[f]))
		}
	}
	if len(out) == 0 {
		return "no faults"
	}
	return strings.Join(out, ", ")
}
