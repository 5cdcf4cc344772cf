package cluster

import (
	"encoding/json"

	"cottonarch.example/cottonarch/base/ident"
)

// revisionedObject is the common part of objects whose revisions have one value each. Invariants:
// Values holds the acknowledged and read values by revision; NewestKnown is the newest of these
// revisions; Rejected holds the contents of operations that were certainly rejected.
type revisionedObject struct {
	Index       int
	Values      map[uint64]string
	NewestKnown uint64
	Rejected    map[string]bool
}

func newRevisionedObject(index int) revisionedObject {
	return revisionedObject{Index: index, Values: map[uint64]string{}, Rejected: map[string]bool{}}
}

// observeValue records that a response contained a revision with a value.
func (r *revisionedObject) observeValue(c *Cluster, key ident.Key, revision uint64, value string) {
	if previous, known := r.Values[revision]; known && previous != value {
		c.recordViolation(RuleRevisionConflict, "revision %d of %s has value %s, earlier it had value %s", revision, key, value, previous)
	}
	for otherRevision, previous := range r.Values {
		if previous == value && otherRevision != revision {
			c.recordViolation(RuleRevisionConflict, "value %s of %s has revisions %d and %d", value, key, min(revision, otherRevision), max(revision, otherRevision))
		}
	}
	if r.Rejected[value] {
		c.recordViolation(RuleRejectedApplied, "value %s of %s was rejected but was returned at revision %d", value, key, revision)
	}
	r.Values[revision] = value
	r.NewestKnown = max(r.NewestKnown, revision)
}

// checkFresh checks that a read returned a revision no older than the newest revision that had been
// acknowledged when the read was sent.
func (r *revisionedObject) checkFresh(c *Cluster, key ident.Key, op *clientOperation, revision uint64) {
	if revision < op.LowerBound {
		c.recordViolation(RuleStaleRead, "client %d read %s at revision %d, but revision %d had been acknowledged before the read", op.Client, key, revision, op.LowerBound)
	}
}

func (r *revisionedObject) rejected(op *clientOperation) { r.Rejected[op.Content] = true }

// decodeString decodes a JSON string. The result is empty for any other JSON value.
func decodeString(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}
