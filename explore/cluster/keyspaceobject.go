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

// keyspaceKinds holds the kinds of the operations on a keyspace by their names in traces.
var keyspaceKinds = map[string]string{"put": keyspace.PutKind, "read": keyspace.ReadKind, "since": keyspace.SinceKind}

// keyspaceObject is a keyspace with one entry, which is also watched.
type keyspaceObject struct{ revisionedObject }

func newKeyspace(index int) object { return &keyspaceObject{newRevisionedObject(index)} }

func (g *keyspaceObject) key() ident.Key { return keyspace.ControlKey(fmt.Sprintf("g%d", g.Index)) }

func (g *keyspaceObject) operations(*client) []string { return []string{"put", "read", "since"} }

func (g *keyspaceObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = g.Floor
	args := keyspace.Args{Name: "x"}
	switch op.Name {
	case "put":
		args.Value = operation.Encode(op.Content)
	case "since":
		args.After = new(ident.Revision)
	}
	return keyspaceKinds[op.Name], operation.Encode(args)
}

func (g *keyspaceObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	if out.Failure != nil { // compacted, though no run is as long as the retention
		c.violate(RuleIncompleteHistory, "a watch of %s is compacted too early", g.key())
		return
	}
	if op.Name == "since" {
		var batch keyspace.Changes
		_ = json.Unmarshal(out.Body, &batch)
		g.checkFresh(c, g.key(), op, uint64(batch.Revision))
		g.checkWatch(c, batch)
		return
	}
	var put keyspace.Put
	_ = json.Unmarshal(out.Body, &put)
	if op.Name == "read" {
		g.checkFresh(c, g.key(), op, uint64(put.Revision))
	} else if uint64(put.Revision) <= op.Floor {
		c.violate(RuleRevisionConflict, "%s of %s got revision %d after %d", op.Content, g.key(), put.Revision, op.Floor)
	}
	g.observeValue(c, g.key(), uint64(put.Revision), decodeString(put.Value))
}

// checkWatch checks that a watch learned of all that was acknowledged.
func (g *keyspaceObject) checkWatch(c *Cluster, batch keyspace.Changes) {
	delivered := map[uint64]string{}
	for _, put := range batch.Events {
		delivered[uint64(put.Revision)] = decodeString(put.Value)
		g.observeValue(c, g.key(), uint64(put.Revision), decodeString(put.Value))
	}
	for _, revision := range slices.Sorted(maps.Keys(g.Values)) {
		if revision <= uint64(batch.Revision) && delivered[revision] == "" {
			c.violate(RuleIncompleteHistory, "a watch of %s up to %d did not get %d", g.key(), batch.Revision, revision)
		}
	}
}

func (g *keyspaceObject) inspect(c *Cluster, found quorum.Record) {
	if uint64(found.Revision) < g.Floor {
		c.violate(RuleLostWrite, "a majority knows %s up to revision %d, %d was acknowledged", g.key(), found.Revision, g.Floor)
	}
}
