package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// valueObject is a key with a value and the history of its values.
type valueObject struct{ revisionedObject }

func newValue(index int) object { return &valueObject{newRevisionedObject(index)} }

func (v *valueObject) key() ident.Key { return ident.Key(fmt.Sprintf("key/%d", v.Index)) }

func (v *valueObject) operations(*client) []string { return []string{"write", "read"} }

func (v *valueObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.LowerBound = v.NewestKnown
	if op.Name == "read" {
		return keyvalue.ReadKind, operation.Encode(keyvalue.Args{Since: new(ident.Revision)})
	}
	return keyvalue.WriteKind, operation.Encode(keyvalue.Args{Value: operation.Encode(op.Content)})
}

func (v *valueObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	var response keyvalue.Response
	_ = json.Unmarshal(out.Body, &response)
	if op.Name == "write" {
		v.observeValue(c, v.key(), uint64(response.Revision), decodeString(response.Value))
		return
	}
	v.checkFresh(c, v.key(), op, uint64(response.Revision))
	for _, change := range response.Changes {
		v.observeValue(c, v.key(), uint64(change.Revision), decodeString(change.Value))
	}
	v.checkHistory(c, response.Changes, uint64(response.Revision))
}

// checkHistory checks that a history holds all known revisions up to the newest revision.
func (v *valueObject) checkHistory(c *Cluster, history []keyvalue.Change, newest uint64) {
	for _, revision := range slices.Sorted(maps.Keys(v.Values)) {
		holds := func(change keyvalue.Change) bool { return uint64(change.Revision) == revision }
		if revision <= newest && !slices.ContainsFunc(history, holds) {
			c.recordViolation(RuleIncompleteHistory, "the history of %s at revision %d lacks revision %d", v.key(), newest, revision)
		}
	}
}

func (v *valueObject) checkMajorityRead(c *Cluster, found quorum.Record) {
	var state keyvalue.State
	_ = json.Unmarshal(operation.State(found.Value), &state)
	if uint64(found.Revision) < v.NewestKnown {
		c.recordViolation(RuleLostWrite, "a majority read of %s returns revision %d, but revision %d was acknowledged", v.key(), found.Revision, v.NewestKnown)
		return
	}
	for _, change := range state.History {
		if old, known := v.Values[uint64(change.Revision)]; known && old != decodeString(change.Value) {
			c.recordViolation(RuleLostWrite, "a majority read returns %s for revision %d of %s, but %s was acknowledged", decodeString(change.Value), change.Revision, v.key(), old)
		}
		if v.Rejected[decodeString(change.Value)] && uint64(change.Revision) <= v.NewestKnown {
			c.recordViolation(RuleRejectedApplied, "value %s of %s was rejected but took effect", decodeString(change.Value), v.key())
		}
	}
	v.checkHistory(c, state.History, uint64(found.Revision))
}
