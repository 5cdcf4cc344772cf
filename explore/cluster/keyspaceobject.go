package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// keyspaceKinds maps the names of the operations in traces to the kinds of the operations.
var keyspaceKinds = map[string]string{"put": keyspace.PutKind, "read": keyspace.ReadKind, "since": keyspace.SinceKind}

// keyspaceObject is a keyspace with one entry, which clients put, read and watch.
type keyspaceObject struct{ revisionedObject }

func newKeyspace(index int) object { return &keyspaceObject{newRevisionedObject(index)} }

func (k *keyspaceObject) key() ident.Key { return keyspace.ControlKey(fmt.Sprintf("g%d", k.Index)) }

func (k *keyspaceObject) operations(*client) []string { return []string{"put", "read", "since"} }

func (k *keyspaceObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.LowerBound = k.NewestKnown
	args := keyspace.Args{Name: "x"}
	switch op.Name {
	case "put":
		args.Value = operation.Encode(op.Content)
	case "since":
		args.After = new(ident.Revision)
	}
	return keyspaceKinds[op.Name], operation.Encode(args)
}

func (k *keyspaceObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	if out.Failure != nil { // compacted, although no run is as long as the retention
		c.recordViolation(RuleIncompleteHistory, "the history of %s was compacted before the end of the retention", k.key())
		return
	}
	if op.Name == "since" {
		var batch keyspace.Changes
		_ = json.Unmarshal(out.Body, &batch)
		k.checkFresh(c, k.key(), op, uint64(batch.Revision))
		k.checkWatch(c, batch)
		return
	}
	var put keyspace.Put
	_ = json.Unmarshal(out.Body, &put)
	if op.Name == "read" {
		k.checkFresh(c, k.key(), op, uint64(put.Revision))
	} else if uint64(put.Revision) <= op.LowerBound {
		c.recordViolation(RuleRevisionConflict, "the put of %s to %s was assigned revision %d after revision %d", op.Content, k.key(), put.Revision, op.LowerBound)
	}
	k.observeValue(c, k.key(), uint64(put.Revision), decodeString(put.Value))
}

// checkWatch checks that a watch delivered all known revisions up to the revision of the batch.
func (k *keyspaceObject) checkWatch(c *Cluster, batch keyspace.Changes) {
	delivered := map[uint64]string{}
	for _, put := range batch.Events {
		delivered[uint64(put.Revision)] = decodeString(put.Value)
		k.observeValue(c, k.key(), uint64(put.Revision), decodeString(put.Value))
	}
	for _, revision := range slices.Sorted(maps.Keys(k.Values)) {
		if revision <= uint64(batch.Revision) && delivered[revision] == "" {
			c.recordViolation(RuleIncompleteHistory, "a watch of %s up to revision %d did not deliver revision %d", k.key(), batch.Revision, revision)
		}
	}
}

func (k *keyspaceObject) checkMajorityRead(c *Cluster, found quorum.Record) {
	if uint64(found.Revision) < k.NewestKnown {
		c.recordViolation(RuleLostWrite, "a majority read of %s returns revision %d, but revision %d was acknowledged", k.key(), found.Revision, k.NewestKnown)
	}
}
