package invariant

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Text returns the verdict of every rule, one rule per line.
func (c *Checker) Text() string {
	var b strings.Builder
	violations := map[string]int{}
	for _, violation := range c.Violations {
		violations[violation.Rule]++
	}
	inconclusive := c.Inconclusive()
	for _, rule := range Rules {
		verdict := "held"
		switch {
		case violations[rule] > 0:
			verdict = "BROKEN"
		case slices.Contains(inconclusive, rule):
			verdict = "not judged"
		case onDemandRules[rule] && c.Observed[rule] == 0:
			verdict = "not asked"
		}
		fmt.Fprintf(&b, "%-18s %-10s observed %d, violated %d", rule, verdict, c.Observed[rule], violations[rule])
		writeCauses(&b, "excused", c.Excused[rule])
		writeCauses(&b, "deadline extended", c.Delayed[rule])
		b.WriteString("\n")
	}
	return b.String()
}

func writeCauses(b *strings.Builder, label string, causes map[string]int) {
	if len(causes) == 0 {
		return
	}
	total := 0
	var parts []string
	for _, cause := range slices.Sorted(maps.Keys(causes)) {
		total += causes[cause]
		parts = append(parts, fmt.Sprintf("%s %d", cause, causes[cause]))
	}
	fmt.Fprintf(b, ", %s %d (%s)", label, total, strings.Join(parts, ", "))
}

// Summary returns the verdict on all rules in one line.
func (c *Checker) Summary() string {
	if inconclusive := c.Inconclusive(); len(c.Violations) == 0 && len(inconclusive) > 0 {
		return "every rule that was looked at held; looked at too seldom to judge: " + strings.Join(inconclusive, ", ")
	}
	if len(c.Violations) == 0 {
		return "every rule held"
	}
	return "rules were violated"
}
