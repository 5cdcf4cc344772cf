package cluster

import (
	"encoding/json"
	"fmt"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// sequenceObject is a sequence that issues increasing numbers.
type sequenceObject struct{ revisionedObject }

func newSequence(index int) object { return &sequenceObject{newRevisionedObject(index)} }

func (s *sequenceObject) key() ident.Key { return ident.Key(fmt.Sprintf("number/%d", s.Index)) }

func (s *sequenceObject) operations(*client) []string { return []string{"next"} }

func (s *sequenceObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.LowerBound = s.NewestKnown
	return sequence.NextKind, nil
}

func (s *sequenceObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	var state sequence.State
	_ = json.Unmarshal(out.Body, &state)
	if holder, twice := s.Values[state.Last]; twice {
		c.recordViolation(RuleRepeatedNumber, "number %d was issued to operations %s and %s", state.Last, holder, op.Content)
	}
	if state.Last <= op.LowerBound {
		c.recordViolation(RuleRepeatedNumber, "number %d was issued after number %d", state.Last, op.LowerBound)
	}
	s.Values[state.Last] = op.Content
	s.NewestKnown = max(s.NewestKnown, state.Last)
}

func (s *sequenceObject) checkMajorityRead(c *Cluster, found quorum.Record) {
	var state sequence.State
	_ = json.Unmarshal(operation.State(found.Value), &state)
	if state.Last < s.NewestKnown {
		c.recordViolation(RuleLostWrite, "a majority read of %s returns number %d, but number %d was issued", s.key(), state.Last, s.NewestKnown)
	}
}
