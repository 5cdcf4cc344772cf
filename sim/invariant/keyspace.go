package invariant

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// entryValue is a value that a client put into an entry of a keyspace.
type entryValue struct{ keyspace, name, value string }

// keyspaceRevision is a revision of a keyspace. All entries of a keyspace share one sequence of
// revisions.
type keyspaceRevision struct {
	keyspace string
	revision ident.Revision
}

// watchedRange holds which revisions a watch delivered, of those after one revision and up to
// another.
type watchedRange struct {
	seenAt        monotime.Time
	keyspace      string
	after, newest ident.Revision
	delivered     map[ident.Revision]bool
}

// conditionalPut is an acknowledged put on the condition that its entry was at the base revision.
type conditionalPut struct {
	acknowledgedAt monotime.Time
	entryValue
	base, revision ident.Revision
}

// KeyspaceChecker checks the responses that clients received about keyspace entries. Invariants:
// valueAt holds the value at each revision that any response showed; acknowledged holds only the
// values of acknowledged puts.
type KeyspaceChecker struct {
	checker         *Checker
	valueAt         map[keyspaceRevision]entryValue
	revisionOf      map[entryValue]ident.Revision
	acknowledged    map[keyspaceRevision]entryValue
	rejected        map[entryValue]bool // whether every put request of the value that ended was rejected
	shownAt         map[entryValue]monotime.Time
	watches         []watchedRange
	conditionalPuts []conditionalPut
	// EntryFloor is the newest acknowledged revision of each entry, by keyspace and name.
	EntryFloor map[string]ident.Revision
	// KeyspaceFloor is the newest acknowledged revision of each keyspace.
	KeyspaceFloor map[string]ident.Revision
}

// NewKeyspaceChecker returns a checker of keyspace entries that reports to c.
func (c *Checker) NewKeyspaceChecker() *KeyspaceChecker {
	return &KeyspaceChecker{
		checker:       c,
		valueAt:       map[keyspaceRevision]entryValue{},
		revisionOf:    map[entryValue]ident.Revision{},
		acknowledged:  map[keyspaceRevision]entryValue{},
		rejected:      map[entryValue]bool{},
		shownAt:       map[entryValue]monotime.Time{},
		EntryFloor:    map[string]ident.Revision{},
		KeyspaceFloor: map[string]ident.Revision{},
	}
}

// observeValue records a value that a response showed at a revision, and checks that each revision
// has one value and each value one revision.
func (k *KeyspaceChecker) observeValue(at monotime.Time, v entryValue, revision ident.Revision) {
	k.checker.Observe(EntryOrder)
	if known, ok := k.valueAt[keyspaceRevision{v.keyspace, revision}]; ok && known != v {
		k.checker.Violate(at, EntryOrder, "revision %d of keyspace %s is both %s=%s and %s=%s", revision, v.keyspace, known.name, known.value, v.name, v.value)
	}
	if known, ok := k.revisionOf[v]; ok && known != revision {
		k.checker.Violate(at, EntryOrder, "%s%s=%s has revisions %d and %d", v.keyspace, v.name, v.value, known, revision)
	}
	k.valueAt[keyspaceRevision{v.keyspace, revision}], k.revisionOf[v] = v, revision
	if _, ok := k.shownAt[v]; !ok {
		k.shownAt[v] = at
	}
}

// PutAcknowledged records an acknowledged put. newestBefore is the newest acknowledged revision of
// the keyspace when the first request of the put was sent; base is the revision that the put required,
// nil if the put was unconditional.
func (k *KeyspaceChecker) PutAcknowledged(at monotime.Time, keyspace, name, value string, base *ident.Revision, newestBefore, revision ident.Revision) {
	v := entryValue{keyspace, name, value}
	k.observeValue(at, v, revision)
	if revision <= newestBefore {
		k.checker.Violate(at, EntryOrder, "the put %s%s=%s got revision %d after revision %d was acknowledged", keyspace, name, value, revision, newestBefore)
	}
	k.rejected[v] = false
	k.acknowledged[keyspaceRevision{keyspace, revision}] = v
	k.EntryFloor[keyspace+name], k.KeyspaceFloor[keyspace] = max(k.EntryFloor[keyspace+name], revision), max(k.KeyspaceFloor[keyspace], revision)
	if base != nil {
		k.conditionalPuts = append(k.conditionalPuts, conditionalPut{at, v, *base, revision})
	}
}

// PutEnded records that a put request ended without acknowledgment; rejected says that the request
// certainly had no effect.
func (k *KeyspaceChecker) PutEnded(keyspace, name, value string, rejected bool) {
	v := entryValue{keyspace, name, value}
	if before, ok := k.rejected[v]; ok {
		rejected = rejected && before
	}
	k.rejected[v] = rejected
}

// Read records the response to a read. floor is the newest acknowledged revision of the entry when
// the request was sent; revision 0 means that the entry does not exist.
func (k *KeyspaceChecker) Read(at monotime.Time, keyspace, name, value string, floor, revision ident.Revision) {
	k.checker.Observe(EntryStale)
	if revision < floor {
		k.checker.Violate(at, EntryStale, "a read of %s%s returned revision %d, but revision %d was acknowledged before the read", keyspace, name, revision, floor)
	}
	if revision > 0 {
		k.observeValue(at, entryValue{keyspace, name, value}, revision)
	}
}

// Event is one put that a watch delivered.
type Event struct {
	Name, Value string
	Revision    ident.Revision
}

// Watch records the events that a watch delivered for the puts after one revision and up to newest.
// floor is the newest acknowledged revision of the keyspace when the request was sent.
func (k *KeyspaceChecker) Watch(at monotime.Time, keyspace string, after, newest, floor ident.Revision, events []Event) {
	k.checker.Observe(EntryWatch)
	if newest < floor {
		k.checker.Violate(at, EntryStale, "a watch of %s shows revision %d, but revision %d was acknowledged before the request", keyspace, newest, floor)
	}
	watched := watchedRange{at, keyspace, after, newest, map[ident.Revision]bool{}}
	last := after
	for _, e := range events {
		if e.Revision <= last || e.Revision > newest {
			k.checker.Violate(at, EntryWatch, "a watch of %s after revision %d up to %d delivered revision %d after revision %d", keyspace, after, newest, e.Revision, last)
		}
		last, watched.delivered[e.Revision] = e.Revision, true
		k.observeValue(at, entryValue{keyspace, e.Name, e.Value}, e.Revision)
	}
	k.watches = append(k.watches, watched)
}

// WatchCompacted records the response that the revision of a watch is compacted. age is the time
// since the watch received that revision, which must be retained for retention.
func (k *KeyspaceChecker) WatchCompacted(at monotime.Time, keyspace string, after ident.Revision, age, retention time.Duration) {
	k.checker.Observe(EntryWatch)
	if age < retention {
		k.checker.Violate(at, EntryWatch, "a watch of %s after revision %d: the revision was compacted %v after the watch received that revision", keyspace, after, age)
	}
}

// Finish runs the checks that need the whole run.
func (k *KeyspaceChecker) Finish() {
	acknowledged := map[string][]ident.Revision{}
	for r := range k.acknowledged {
		acknowledged[r.keyspace] = append(acknowledged[r.keyspace], r.revision)
	}
	for _, revisions := range acknowledged {
		slices.Sort(revisions)
	}
	for _, watched := range k.watches {
		k.checkDelivered(watched, acknowledged[watched.keyspace])
	}
	for _, put := range k.conditionalPuts {
		k.checkCondition(put, acknowledged[put.keyspace])
	}
	k.checkRejected()
}

// checkDelivered checks that a watch delivered every acknowledged revision in its range.
func (k *KeyspaceChecker) checkDelivered(watched watchedRange, acknowledged []ident.Revision) {
	for _, r := range acknowledged {
		if r > watched.after && r <= watched.newest && !watched.delivered[r] {
			k.checker.Violate(watched.seenAt, EntryWatch, "a watch of %s after revision %d up to %d did not deliver revision %d", watched.keyspace, watched.after, watched.newest, r)
			return
		}
	}
}

// checkCondition checks that no other put of the entry was acknowledged between the revision that a
// conditional put required and the revision of that put.
func (k *KeyspaceChecker) checkCondition(put conditionalPut, acknowledged []ident.Revision) {
	for _, r := range acknowledged {
		if r > put.base && r < put.revision && k.acknowledged[keyspaceRevision{put.keyspace, r}].name == put.name {
			k.checker.Violate(put.acknowledgedAt, EntryOrder, "the put %s%s=%s at revision %d required revision %d, but revision %d lies between", put.keyspace, put.name, put.value, put.revision, put.base, r)
			return
		}
	}
}

// checkRejected checks that no response showed a value whose every put request was rejected.
func (k *KeyspaceChecker) checkRejected() {
	byTime := func(a, b entryValue) int { return int(k.shownAt[a] - k.shownAt[b]) }
	for _, v := range slices.SortedFunc(maps.Keys(k.rejected), byTime) {
		if !k.rejected[v] {
			continue
		}
		k.checker.Observe(EntryRejected)
		if at, ok := k.shownAt[v]; ok {
			k.checker.Violate(at, EntryRejected, "%s%s=%s was shown, but every put of that value was rejected", v.keyspace, v.name, v.value)
		}
	}
}
