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

// sequenceObject is a sequence of rising numbers.
type sequenceObject struct{ revisionedObject }

func newSequence(index int) object { return &sequenceObject{newRevisionedObject(index)} }

func (n *sequenceObject) key() ident.Key { return ident.Key(fmt.Sprintf("number/%d", n.Index)) }

func (n *sequenceObject) operations(*client) []string { return []string{"next"} }

func (n *sequenceObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = n.Floor
	return sequence.NextKind, nil
}

func (n *sequenceObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	var got sequence.State
	_ = json.Unmarshal(out.Body, &got)
	if holder, twice := n.Values[got.Last]; twice {
		c.violate(RuleRepeatedNumber, "number %d was given to %s and %s", got.Last, holder, op.Content)
	}
	if got.Last <= op.Floor {
		c.violate(RuleRepeatedNumber, "number %d was given after %d", got.Last, op.Floor)
	}
	n.Values[got.Last] = op.Content
	n.Floor = max(n.Floor, got.Last)
}

func (n *sequenceObject) inspect(c *Cluster, found quorum.Record) {
	var got sequence.State
	_ = json.Unmarshal(operation.State(found.Value), &got)
	if got.Last < n.Floor {
		c.violate(RuleLostWrite, "a majority knows %s up to %d, %d was given", n.key(), got.Last, n.Floor)
	}
}
