package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/audit/segment"
	"cottonarch.example/cottonarch/control/config/proposal"
	"cottonarch.example/cottonarch/control/coordination/keyspace"
	"cottonarch.example/cottonarch/control/coordination/keyvalue"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/coordination/sequence"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
)

// revisionedObject is what is common to objects whose revisions have one value each. Invariants:
// Values holds what was acknowledged or read, by revision; Floor is the newest of these;
// Turned holds the contents that were surely refused.
type revisionedObject struct {
	Index    int
	Values   map[uint64]string
	Floor    uint64
	Rejected map[string]bool
}

func newRevisionedObject(index int) revisionedObject {
	return revisionedObject{Index: index, Values: map[uint64]string{}, Rejected: map[string]bool{}}
}

// observeValue notes that a revision has a value.
func (r *revisionedObject) observeValue(c *Cluster, key ident.Key, revision uint64, value string) {
	if old, known := r.Values[revision]; known && old != value {
		c.violate(RuleOrder, "revision %d of %s is %s, and before it was %s", revision, key, value, old)
	}
	for other, old := range r.Values {
		if old == value && other != revision {
			c.violate(RuleOrder, "%s of %s has revisions %d and %d", value, key, min(revision, other), max(revision, other))
		}
	}
	if r.Rejected[value] {
		c.violate(RuleRejected, "%s of %s was refused and is shown at revision %d", value, key, revision)
	}
	r.Values[revision] = value
	r.Floor = max(r.Floor, revision)
}

// checkFresh checks that a read is no older than what had been acknowledged.
func (r *revisionedObject) checkFresh(c *Cluster, key ident.Key, op *clientOperation, revision uint64) {
	if revision < op.Floor {
		c.violate(RuleStale, "client %d read %s at revision %d, %d had been acknowledged", op.Client, key, revision, op.Floor)
	}
}

func (r *revisionedObject) rejected(op *clientOperation) { r.Rejected[op.Content] = true }

// valueObject is a key with its history.
type valueObject struct{ revisionedObject }

func newValue(index int) object { return &valueObject{newRevisionedObject(index)} }

func (v *valueObject) key() ident.Key { return ident.Key(fmt.Sprintf("key/%d", v.Index)) }

func (v *valueObject) operations(*client) []string { return []string{"write", "read"} }

func (v *valueObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = v.Floor
	if op.Name == "read" {
		return "key/read", operation.Encode(keyvalue.Args{Since: new(ident.Revision)})
	}
	return "key/write", operation.Encode(keyvalue.Args{Value: operation.Encode(op.Content)})
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
			c.violate(RuleHistory, "%s at revision %d has forgotten revision %d", v.key(), newest, revision)
		}
	}
}

func (v *valueObject) inspect(c *Cluster, found quorum.Record) {
	var k keyvalue.State
	_ = json.Unmarshal(operation.State(found.Value), &k)
	if uint64(found.Revision) < v.Floor {
		c.violate(RuleLost, "a majority knows %s up to revision %d, %d was acknowledged", v.key(), found.Revision, v.Floor)
		return
	}
	for _, change := range k.History {
		if old, known := v.Values[uint64(change.Revision)]; known && old != decodeString(change.Value) {
			c.violate(RuleLost, "a majority has %s for revision %d of %s, %s was acknowledged", decodeString(change.Value), change.Revision, v.key(), old)
		}
		if v.Rejected[decodeString(change.Value)] && uint64(change.Revision) <= v.Floor {
			c.violate(RuleRejected, "%s of %s was refused and took effect", decodeString(change.Value), v.key())
		}
	}
	v.checkHistory(c, k.History, uint64(found.Revision))
}

func decodeString(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}

// sequenceObject is a key of rising numbers.
type sequenceObject struct{ revisionedObject }

func newSequence(index int) object { return &sequenceObject{newRevisionedObject(index)} }

func (n *sequenceObject) key() ident.Key { return ident.Key(fmt.Sprintf("number/%d", n.Index)) }

func (n *sequenceObject) operations(*client) []string { return []string{"next"} }

func (n *sequenceObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = n.Floor
	return "number/next", nil
}

func (n *sequenceObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	var got sequence.State
	_ = json.Unmarshal(out.Body, &got)
	if holder, twice := n.Values[got.Last]; twice {
		c.violate(RuleRepeated, "number %d was given to %s and %s", got.Last, holder, op.Content)
	}
	if got.Last <= op.Floor {
		c.violate(RuleRepeated, "number %d was given after %d", got.Last, op.Floor)
	}
	n.Values[got.Last] = op.Content
	n.Floor = max(n.Floor, got.Last)
}

func (n *sequenceObject) inspect(c *Cluster, found quorum.Record) {
	var got sequence.State
	_ = json.Unmarshal(operation.State(found.Value), &got)
	if got.Last < n.Floor {
		c.violate(RuleLost, "a majority knows %s up to %d, %d was given", n.key(), got.Last, n.Floor)
	}
}

// keyspaceObject is a group of cells with a watch.
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
	return "group/" + op.Name, operation.Encode(args)
}

func (g *keyspaceObject) succeeded(c *Cluster, op *clientOperation, out proposer.Outcome) {
	if out.Failure != nil { // forgotten: no run is as long as the history
		c.violate(RuleHistory, "a watch of %s is told that it is too old", g.key())
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
		c.violate(RuleOrder, "%s of %s got revision %d after %d", op.Content, g.key(), put.Revision, op.Floor)
	}
	g.observeValue(c, g.key(), uint64(put.Revision), decodeString(put.Value))
}

// checkWatch checks that a watch was told all that was acknowledged.
func (g *keyspaceObject) checkWatch(c *Cluster, batch keyspace.Changes) {
	delivered := map[uint64]string{}
	for _, put := range batch.Events {
		delivered[uint64(put.Revision)] = decodeString(put.Value)
		g.observeValue(c, g.key(), uint64(put.Revision), decodeString(put.Value))
	}
	for _, revision := range slices.Sorted(maps.Keys(g.Values)) {
		if revision <= uint64(batch.Revision) && delivered[revision] == "" {
			c.violate(RuleHistory, "a watch of %s up to %d was not told of %d", g.key(), batch.Revision, revision)
		}
	}
}

func (g *keyspaceObject) inspect(c *Cluster, found quorum.Record) {
	if uint64(found.Revision) < g.Floor {
		c.violate(RuleLost, "a majority knows %s up to revision %d, %d was acknowledged", g.key(), found.Revision, g.Floor)
	}
}

// auditObject is a chunk of the audit log.
type auditObject struct{ revisionedObject }

func newAudit(index int) object { return &auditObject{newRevisionedObject(index)} }

func (a *auditObject) key() ident.Key { return segment.Key(a.Index * segment.MaxEntries) }

func (a *auditObject) operations(*client) []string { return []string{"append"} }

// auditRevisionStep is the distance of the epochs that are appended.
const auditRevisionStep = 5

func (a *auditObject) prepare(op *clientOperation) (string, json.RawMessage) {
	op.Floor = a.Floor
	op.Base = a.Floor
	leaf := proposal.AuditEntry{Revision: ident.Epoch(auditRevisionStep * (a.Floor + 1)), SHA256: op.Content}
	return "audit/append", operation.Encode(segment.AppendArgs{Index: a.Index*segment.MaxEntries + int(a.Floor), Entry: leaf})
}

func (a *auditObject) succeeded(c *Cluster, op *clientOperation, _ proposer.Outcome) {
	a.observeValue(c, a.key(), op.Base+1, op.Content)
}

func (a *auditObject) inspect(c *Cluster, found quorum.Record) {
	var log segment.State
	_ = json.Unmarshal(operation.State(found.Value), &log)
	for _, at := range slices.Sorted(maps.Keys(a.Values)) {
		if at > uint64(len(log.Entries)) || log.Entries[at-1].SHA256 != a.Values[at] {
			c.violate(RuleLost, "a majority does not know leaf %d of %s, which was acknowledged", at, a.key())
		}
	}
}
