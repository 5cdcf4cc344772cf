package cluster

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
)

// revisionedObject is common to objects whose revisions have one value each. Invariants: Values
// holds what was acknowledged or read, by revision; Floor is the newest of these; Rejected holds
// the contents that were certainly rejected.
type revisionedObject struct {
	Index    int
	Values   map[uint64]string
	Floor    uint64
	Rejected map[string]bool
}

func newRevisionedObject(index int) revisionedObject {
	return revisionedObject{Index: index, Values: map[uint64]string{}, Rejected: map[string]bool{}}
}

// observeValue notes that a revision was shown with a value.
func (r *revisionedObject) observeValue(c *Cluster, key ident.Key, revision uint64, value string) {
	if old, known := r.Values[revision]; known && old != value {
		c.violate(RuleRevisionConflict, "revision %d of %s is %s, and before it was %s", revision, key, value, old)
	}
	for other, old := range r.Values {
		if old == value && other != revision {
			c.violate(RuleRevisionConflict, "%s of %s has revisions %d and %d", value, key, min(revision, other), max(revision, other))
		}
	}
	if r.Rejected[value] {
		c.violate(RuleRejectedApplied, "%s of %s was rejected and is shown at revision %d", value, key, revision)
	}
	r.Values[revision] = value
	r.Floor = max(r.Floor, revision)
}

// checkFresh checks that a read is no older than what had been acknowledged when it was sent.
func (r *revisionedObject) checkFresh(c *Cluster, key ident.Key, op *clientOperation, revision uint64) {
	if revision < op.Floor {
		c.violate(RuleStaleRead, "client %d read %s at revision %d, %d had been acknowledged", op.Client, key, revision, op.Floor)
	}
}

func (r *revisionedObject) rejected(op *clientOperation) { r.Rejected[op.Content] = true }

// decodeString decodes a JSON string; anything else is empty.
func decodeString(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}
