// Package invariant holds the rules that must never be broken and a checker that judges what
// happened in a run by them.
package invariant

import (
	"fmt"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// Violation is one breach of a rule.
type Violation struct {
	Rule string
	At   monotime.Time
	Note string
}

// Outage is a loss after which service must recover. Invariant: At is when it struck, whether
// or not it lasts.
type Outage struct {
	At   monotime.Time
	Name string
}

// Checker gathers what happened in a run. Invariants: the system under test reads nothing of
// it; each observation is counted once, as judged or as excused with its cause. One whose bound
// ran from the end of a fault is counted in Delayed as well.
type Checker struct {
	Violations []Violation
	Calls      []*Call
	Executions []Execution
	Outages    []Outage
	Observed   map[string]int            // judged observations by rule
	Excused    map[string]map[string]int // observations that can't be judged, by rule and cause
	Delayed    map[string]map[string]int // judged observations that waited, by rule and cause

	retries           map[ident.Service][]monotime.Time
	rejectedProposals map[string]string // the reason by the proposal's marker
}

// New makes a checker that has seen nothing.
func New() *Checker {
	return &Checker{
		Observed:          map[string]int{},
		Excused:           map[string]map[string]int{},
		Delayed:           map[string]map[string]int{},
		retries:           map[ident.Service][]monotime.Time{},
		rejectedProposals: map[string]string{},
	}
}

// Observe counts an observation that is judged.
func (c *Checker) Observe(rule string) { c.Observed[rule]++ }

// Excuse counts an observation that can't be judged, and why.
func (c *Checker) Excuse(rule, cause string) { addCount(c.Excused, rule, cause, 1) }

// ObserveDelayed counts an observation whose bound ran from the end of a fault.
func (c *Checker) ObserveDelayed(rule, cause string) { addCount(c.Delayed, rule, cause, 1) }

func addCount(counts map[string]map[string]int, rule, cause string, n int) {
	if counts[rule] == nil {
		counts[rule] = map[string]int{}
	}
	counts[rule][cause] += n
}

func addCounts(counts, more map[string]map[string]int) {
	for rule, causes := range more {
		for cause, n := range causes {
			addCount(counts, rule, cause, n)
		}
	}
}

// Merge adds another run's observations and violations to this one's.
func (c *Checker) Merge(other *Checker) {
	for rule, n := range other.Observed {
		c.Observed[rule] += n
	}
	addCounts(c.Excused, other.Excused)
	addCounts(c.Delayed, other.Delayed)
	c.Violations = append(c.Violations, other.Violations...)
}

// Inconclusive lists the rules that were observed too seldom for a verdict.
func (c *Checker) Inconclusive() []string {
	var rules []string
	for _, rule := range Rules {
		if onDemand[rule] && c.Observed[rule] == 0 {
			continue
		}
		required, ok := requiredObservations[rule]
		if !ok {
			required = defaultRequiredObservations
		}
		if c.Observed[rule] < required {
			rules = append(rules, rule)
		}
	}
	return rules
}

// Violate notes that a rule was broken.
func (c *Checker) Violate(at monotime.Time, rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// Retried takes an attempt of a request beyond its first that reached an endpoint.
func (c *Checker) Retried(at monotime.Time, service ident.Service) {
	c.retries[service] = append(c.retries[service], at)
}

// ConfigShown takes a configuration that a node has put in force or shows; last is the newest
// revision that the node has shown, which is updated.
func (c *Checker) ConfigShown(at monotime.Time, node string, config *validation.Config, last *ident.ConfigRevision) {
	c.Observe(ConfigRegressed)
	if config.Revision < *last {
		c.Violate(at, ConfigRegressed, "%s showed revision %d after %d", node, config.Revision, *last)
	}
	*last = max(*last, config.Revision)
	c.Observe(ConfigRejected)
	for _, service := range config.Services {
		if reason, rejected := c.rejectedProposals[service.Namespace]; rejected {
			c.Violate(at, ConfigRejected, "%s has revision %d in force with %s, which was rejected as %s", node, config.Revision, service.Namespace, reason)
		}
	}
}

// ProposalRejected notes the marker of a proposal that was certainly rejected: the namespace
// that it gives a service.
func (c *Checker) ProposalRejected(marker, reason string) { c.rejectedProposals[marker] = reason }
