package cluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"cottonarch.example/cottonarch/control/audit/chunk"
	"cottonarch.example/cottonarch/control/coordination/group"
	"cottonarch.example/cottonarch/control/coordination/key"
	"cottonarch.example/cottonarch/control/coordination/number"
	"cottonarch.example/cottonarch/control/coordination/operation"
	"cottonarch.example/cottonarch/control/manifest/offer"
	"cottonarch.example/cottonarch/control/register/proposer"
	"cottonarch.example/cottonarch/control/register/quorum"
	"cottonarch.example/cottonarch/kernel/ident"
)

// register is what is common to objects whose revisions have one value each. Invariants:
// Values holds what was acknowledged or read, by revision; Floor is the newest of these;
// Turned holds the contents that were surely refused.
type register struct {
	Index  int
	Values map[uint64]string
	Floor  uint64
	Turned map[string]bool
}

func newRegister(index int) register {
	return register{Index: index, Values: map[uint64]string{}, Turned: map[string]bool{}}
}

// shown notes that a revision has a value.
func (r *register) shown(c *Cluster, at ident.Key, rev uint64, value string) {
	if old, known := r.Values[rev]; known && old != value {
		c.breach(RuleOrder, "revision %d of %s is %s, and before it was %s", rev, at, value, old)
	}
	for other, old := range r.Values {
		if old == value && other != rev {
			c.breach(RuleOrder, "%s of %s has revisions %d and %d", value, at, min(rev, other), max(rev, other))
		}
	}
	if r.Turned[value] {
		c.breach(RuleTurned, "%s of %s was refused and is shown at revision %d", value, at, rev)
	}
	r.Values[rev] = value
	r.Floor = max(r.Floor, rev)
}

// fresh checks that a read is no older than what had been acknowledged.
func (r *register) fresh(c *Cluster, at ident.Key, o *order, rev uint64) {
	if rev < o.Floor {
		c.breach(RuleStale, "client %d read %s at revision %d, %d had been acknowledged", o.Client, at, rev, o.Floor)
	}
}

func (r *register) turned(o *order) { r.Turned[o.Content] = true }

// value is a key with its history.
type value struct{ register }

func newValue(index int) object { return &value{newRegister(index)} }

func (v *value) key() ident.Key { return ident.Key(fmt.Sprintf("key/%d", v.Index)) }

func (v *value) menu(*client) []string { return []string{"write", "read"} }

func (v *value) deed(o *order) (string, json.RawMessage) {
	o.Floor = v.Floor
	if o.Name == "read" {
		return "key/read", operation.Encode(key.Args{Since: new(ident.Revision)})
	}
	return "key/write", operation.Encode(key.Args{Value: operation.Encode(o.Content)})
}

func (v *value) told(c *Cluster, o *order, out proposer.Outcome) {
	var r key.Reading
	_ = json.Unmarshal(out.Body, &r)
	if o.Name == "write" {
		v.shown(c, v.key(), uint64(r.Revision), text(r.Value))
		return
	}
	v.fresh(c, v.key(), o, uint64(r.Revision))
	for _, change := range r.Changes {
		v.shown(c, v.key(), uint64(change.Revision), text(change.Value))
	}
	v.complete(c, r.Changes, uint64(r.Revision))
}

// complete checks that a history up to a revision holds all that was acknowledged.
func (v *value) complete(c *Cluster, past []key.Change, top uint64) {
	for _, rev := range slices.Sorted(maps.Keys(v.Values)) {
		holds := func(change key.Change) bool { return uint64(change.Revision) == rev }
		if rev <= top && !slices.ContainsFunc(past, holds) {
			c.breach(RuleHistory, "%s at revision %d has forgotten revision %d", v.key(), top, rev)
		}
	}
}

func (v *value) inspect(c *Cluster, found quorum.Record) {
	var k key.Key
	_ = json.Unmarshal(operation.State(found.Value), &k)
	if uint64(found.Revision) < v.Floor {
		c.breach(RuleLost, "a majority knows %s up to revision %d, %d was acknowledged", v.key(), found.Revision, v.Floor)
		return
	}
	for _, change := range k.Past {
		if old, known := v.Values[uint64(change.Revision)]; known && old != text(change.Value) {
			c.breach(RuleLost, "a majority has %s for revision %d of %s, %s was acknowledged", text(change.Value), change.Revision, v.key(), old)
		}
		if v.Turned[text(change.Value)] && uint64(change.Revision) <= v.Floor {
			c.breach(RuleTurned, "%s of %s was refused and took effect", text(change.Value), v.key())
		}
	}
	v.complete(c, k.Past, uint64(found.Revision))
}

func text(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}

// counter is a key of rising numbers.
type counter struct{ register }

func newNumber(index int) object { return &counter{newRegister(index)} }

func (n *counter) key() ident.Key { return ident.Key(fmt.Sprintf("number/%d", n.Index)) }

func (n *counter) menu(*client) []string { return []string{"next"} }

func (n *counter) deed(o *order) (string, json.RawMessage) {
	o.Floor = n.Floor
	return "number/next", nil
}

func (n *counter) told(c *Cluster, o *order, out proposer.Outcome) {
	var got number.Number
	_ = json.Unmarshal(out.Body, &got)
	if who, twice := n.Values[got.N]; twice {
		c.breach(RuleRepeated, "number %d was given to %s and %s", got.N, who, o.Content)
	}
	if got.N <= o.Floor {
		c.breach(RuleRepeated, "number %d was given after %d", got.N, o.Floor)
	}
	n.Values[got.N] = o.Content
	n.Floor = max(n.Floor, got.N)
}

func (n *counter) inspect(c *Cluster, found quorum.Record) {
	var got number.Number
	_ = json.Unmarshal(operation.State(found.Value), &got)
	if got.N < n.Floor {
		c.breach(RuleLost, "a majority knows %s up to %d, %d was given", n.key(), got.N, n.Floor)
	}
}

// cells is a group of cells with a watch.
type cells struct{ register }

func newCells(index int) object { return &cells{newRegister(index)} }

func (g *cells) key() ident.Key { return group.Key(fmt.Sprintf("g%d", g.Index)) }

func (g *cells) menu(*client) []string { return []string{"put", "read", "since"} }

func (g *cells) deed(o *order) (string, json.RawMessage) {
	o.Floor = g.Floor
	a := group.Args{Name: "x"}
	switch o.Name {
	case "put":
		a.Value = operation.Encode(o.Content)
	case "since":
		a.After = new(ident.Revision)
	}
	return "group/" + o.Name, operation.Encode(a)
}

func (g *cells) told(c *Cluster, o *order, out proposer.Outcome) {
	if out.Failure != nil { // forgotten: no run is as long as the history
		c.breach(RuleHistory, "a watch of %s is told that it is too old", g.key())
		return
	}
	if o.Name == "since" {
		var news group.News
		_ = json.Unmarshal(out.Body, &news)
		g.fresh(c, g.key(), o, uint64(news.Revision))
		g.complete(c, news)
		return
	}
	var p group.Put
	_ = json.Unmarshal(out.Body, &p)
	if o.Name == "read" {
		g.fresh(c, g.key(), o, uint64(p.Revision))
	} else if uint64(p.Revision) <= o.Floor {
		c.breach(RuleOrder, "%s of %s got revision %d after %d", o.Content, g.key(), p.Revision, o.Floor)
	}
	g.shown(c, g.key(), uint64(p.Revision), text(p.Value))
}

// complete checks that a watch was told all that was acknowledged.
func (g *cells) complete(c *Cluster, news group.News) {
	told := map[uint64]string{}
	for _, p := range news.Events {
		told[uint64(p.Revision)] = text(p.Value)
		g.shown(c, g.key(), uint64(p.Revision), text(p.Value))
	}
	for _, rev := range slices.Sorted(maps.Keys(g.Values)) {
		if rev <= uint64(news.Revision) && told[rev] == "" {
			c.breach(RuleHistory, "a watch of %s up to %d was not told of %d", g.key(), news.Revision, rev)
		}
	}
}

func (g *cells) inspect(c *Cluster, found quorum.Record) {
	if uint64(found.Revision) < g.Floor {
		c.breach(RuleLost, "a majority knows %s up to revision %d, %d was acknowledged", g.key(), found.Revision, g.Floor)
	}
}

// audit is a chunk of the audit log.
type audit struct{ register }

func newAudit(index int) object { return &audit{newRegister(index)} }

func (a *audit) key() ident.Key { return chunk.Key(a.Index * chunk.Size) }

func (a *audit) menu(*client) []string { return []string{"append"} }

// auditPace is the distance of the epochs that are appended.
const auditPace = 5

func (a *audit) deed(o *order) (string, json.RawMessage) {
	o.Floor = a.Floor
	o.Base = a.Floor
	leaf := offer.Line{Epoch: ident.Epoch(auditPace * (a.Floor + 1)), Sum: o.Content}
	return "audit/append", operation.Encode(chunk.Append{Index: a.Index*chunk.Size + int(a.Floor), Leaf: leaf})
}

func (a *audit) told(c *Cluster, o *order, _ proposer.Outcome) {
	a.shown(c, a.key(), o.Base+1, o.Content)
}

func (a *audit) inspect(c *Cluster, found quorum.Record) {
	var log chunk.Chunk
	_ = json.Unmarshal(operation.State(found.Value), &log)
	for _, at := range slices.Sorted(maps.Keys(a.Values)) {
		if at > uint64(len(log.Leaves)) || log.Leaves[at-1].Sum != a.Values[at] {
			c.breach(RuleLost, "a majority does not know leaf %d of %s, which was acknowledged", at, a.key())
		}
	}
}
