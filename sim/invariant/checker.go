// Package invariant defines the rules that the mesh must never violate, and a checker that verifies
// them against the events of a run.
package invariant

import (
	"fmt"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
)

// Violation is one violation of a rule.
type Violation struct {
	Rule string
	At   monotime.Time
	Note string
}

// Outage is a failure after which the mesh must serve requests again. Invariant: At is when the
// outage began, however long the outage lasts.
type Outage struct {
	At   monotime.Time
	Name string
}

// Checker collects the events of a run and checks the rules. Invariants: the system under test
// reads nothing from the checker; each observation is counted once, either in Observed or, with its
// cause, in Excused. An observation whose deadline counts from the end of a fault is also counted in
// Delayed.
type Checker struct {
	Violations []Violation
	Calls      []*Call
	Executions []Execution
	Outages    []Outage
	Observed   map[string]int            // checked observations by rule
	Excused    map[string]map[string]int // observations that can't be checked, by rule and cause
	Delayed    map[string]map[string]int // checked observations whose deadline counts from the end of a fault, by rule and cause

	retries           map[ident.Service][]monotime.Time
	rejectedProposals map[string]string // reason of the rejection by the marker of the proposal
}

// New returns a checker without observations.
func New() *Checker {
	return &Checker{
		Observed:          map[string]int{},
		Excused:           map[string]map[string]int{},
		Delayed:           map[string]map[string]int{},
		retries:           map[ident.Service][]monotime.Time{},
		rejectedProposals: map[string]string{},
	}
}

// Observe counts an observation that is checked against a rule.
func (c *Checker) Observe(rule string) { c.Observed[rule]++ }

// Excuse counts an observation that can't be checked against a rule, by its cause.
func (c *Checker) Excuse(rule, cause string) { addCount(c.Excused, rule, cause, 1) }

// ObserveDelayed counts an observation whose deadline counts from the end of a fault, by the fault.
// Observe must count the same observation.
func (c *Checker) ObserveDelayed(rule, cause string) { addCount(c.Delayed, rule, cause, 1) }

func addCount(counts map[string]map[string]int, rule, cause string, n int) {
	if counts[rule] == nil {
		counts[rule] = map[string]int{}
	}
	counts[rule][cause] += n
}

func addCounts(counts, added map[string]map[string]int) {
	for rule, causes := range added {
		for cause, n := range causes {
			addCount(counts, rule, cause, n)
		}
	}
}

// Merge adds the observations and violations of another run.
func (c *Checker) Merge(other *Checker) {
	for rule, n := range other.Observed {
		c.Observed[rule] += n
	}
	addCounts(c.Excused, other.Excused)
	addCounts(c.Delayed, other.Delayed)
	c.Violations = append(c.Violations, other.Violations...)
}

// Inconclusive lists the rules with fewer observations than a verdict requires.
func (c *Checker) Inconclusive() []string {
	var rules []string
	for _, rule := range Rules {
		if onDemandRules[rule] && c.Observed[rule] == 0 {
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

// Violate records a violation of a rule.
func (c *Checker) Violate(at monotime.Time, rule, format string, args ...any) {
	c.Violations = append(c.Violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// Retried records a retry that reached an endpoint.
func (c *Checker) Retried(at monotime.Time, service ident.Service) {
	c.retries[service] = append(c.retries[service], at)
}

// ConfigShown checks a configuration that a node applies or reports. last is the newest revision
// that the node has shown; ConfigShown updates last.
func (c *Checker) ConfigShown(at monotime.Time, node string, config *validation.Config, last *ident.ConfigRevision) {
	c.Observe(ConfigRegressed)
	if config.Revision < *last {
		c.Violate(at, ConfigRegressed, "%s showed configuration revision %d after %d", node, config.Revision, *last)
	}
	*last = max(*last, config.Revision)
	c.Observe(ConfigRejected)
	for _, service := range config.Services {
		if reason, rejected := c.rejectedProposals[service.Namespace]; rejected {
			c.Violate(at, ConfigRejected, "%s applies configuration revision %d with the marker %s of a proposal that was rejected: %s", node, config.Revision, service.Namespace, reason)
		}
	}
}

// ProposalRejected records the marker of a proposal that was certainly rejected. The marker is the
// namespace that the proposal gives to one service.
func (c *Checker) ProposalRejected(marker, reason string) { c.rejectedProposals[marker] = reason }
