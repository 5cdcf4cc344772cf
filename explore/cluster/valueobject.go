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

// valueObject is a key with its history.
type valueObject struct{ revisionedObject }

func newValue(index int) object { return &valueObject{newRevisionedObject(index)} }

func (v *valueObject) key() ident.Key { return ident.Key(fmt.Sprintf("key/%d", v.Index)) }

func (v *valueObject) operations(*client) []string { return []string{"write", "read"} }

func (v *valueObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = v.Floor
	if op.Name == "read" {
		return keyvalue.ReadKind, operation.Encode(keyvalue.Args{Since: new(ident.Revision)})
	}
	return keyvalue.WriteKind, operation.Encode(keyvalue.Args{Value: operation.Encode(op.Content)})
}

func (v *valueObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	var reading keyvalue.Response
	_ = json.Unmarshal(out.Body, &reading)
	if op.Name == "write" {
		v.observeValue(c, v.key(), uint64(reading.Revision), decodeString(reading.Value))
		return
	}
	v.checkFresh(c, v.key(), op, uint64(reading.Revision))
	for _, change := range reading.Changes {
		v.observeValue(c, v.key(), uint64(change.Revision), decodeString(change.Value))
	}
	v.checkHistory(c, reading.Changes, uint64(reading.Revision))
}

// checkHistory checks that a history up to a revision holds all that was acknowledged.
func (v *valueObject) checkHistory(c *Cluster, past []keyvalue.Change, newest uint64) {
	for _, revision := range slices.Sorted(maps.Keys(v.Values)) {
		holds := func(change keyvalue.Change) bool { return uint64(change.Revision) == revision }
		if revision <= newest && !slices.ContainsFunc(past, holds) {
			c.violate(RuleIncompleteHistory, "%s at revision %d has forgotten revision %d", v.key(), newest, revision)
		}
	}
}

func (v *valueObject) inspect(c *Cluster, found quorum.Record) {
	var k keyvalue.State
	_ = json.Unmarshal(operation.State(found.Value), &k)
	if uint64(found.Revision) < v.Floor {
		c.violate(RuleLostWrite, "a majority knows %s up to revision %d, %d was acknowledged", v.key(), found.Revision, v.Floor)
		return
	}
	for _, change := range k.History {
		if old, known := v.Values[uint64(change.Revision)]; known && old != decodeString(change.Value) {
			c.violate(RuleLostWrite, "a majority has %s for revision %d of %s, %s was acknowledged", decodeString(change.Value), change.Revision, v.key(), old)
		}
		if v.Rejected[decodeString(change.Value)] && uint64(change.Revision) <= v.Floor {
			c.violate(RuleRejectedApplied, "%s of %s was rejected and took effect", decodeString(change.Value), v.key())
		}
	}
	v.checkHistory(c, k.History, uint64(found.Revision))
}
