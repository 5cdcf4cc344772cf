package invariant

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// entryValue is a value that a client has put to an entry of a keyspace.
type entryValue struct{ keyspace, name, value string }

// keyspaceRevision is a revision of a keyspace, which all its entries share.
type keyspaceRevision struct {
	keyspace string
	revision ident.Revision
}

// watchedRange is what a watch learned of the puts after one revision and up to another.
type watchedRange struct {
	seenAt        monotime.Time
	keyspace      string
	after, newest ident.Revision
	delivered     map[ident.Revision]bool
}

// conditionalPut is an acknowledged put that required its entry to be at the base revision.
type conditionalPut struct {
	acknowledgedAt monotime.Time
	entryValue
	base, revision ident.Revision
}

// KeyspaceChecker judges what clients saw of keyspace entries. Invariants: valueAt holds what
// was shown at a revision by any response, acknowledged only what the response to a put gave.
type KeyspaceChecker struct {
	checker         *Checker
	valueAt         map[keyspaceRevision]entryValue
	revisionOf      map[entryValue]ident.Revision
	acknowledged    map[keyspaceRevision]entryValue
	rejected        map[entryValue]bool // whether all its requests that have ended were rejected
	shownAt         map[entryValue]monotime.Time
	watches         []watchedRange
	conditionalPuts []conditionalPut
	// EntryFloor is the newest acknowledged revision of each entry, by keyspace and name.
	EntryFloor map[string]ident.Revision
	// KeyspaceFloor is the newest acknowledged revision of each keyspace.
	KeyspaceFloor map[string]ident.Revision
}

// NewKeyspaceChecker makes a checker of keyspace entries that reports to c.
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

// observeValue takes a value that was shown at a revision.
func (k *KeyspaceChecker) observeValue(at monotime.Time, v entryValue, revision ident.Revision) {
	k.checker.Observe(EntryOrder)
	if old, ok := k.valueAt[keyspaceRevision{v.keyspace, revision}]; ok && old != v {
		k.checker.Violate(at, EntryOrder, "revision %d of %s is %s=%s and %s=%s", revision, v.keyspace, old.name, old.value, v.name, v.value)
	}
	if old, ok := k.revisionOf[v]; ok && old != revision {
		k.checker.Violate(at, EntryOrder, "%s%s=%s has revisions %d and %d", v.keyspace, v.name, v.value, old, revision)
	}
	k.valueAt[keyspaceRevision{v.keyspace, revision}], k.revisionOf[v] = v, revision
	if _, ok := k.shownAt[v]; !ok {
		k.shownAt[v] = at
	}
}

// PutAcknowledged takes an acknowledged put. newestBefore is the newest acknowledged revision
// of the keyspace when its first request was sent, base what it was conditional on, if on any.
func (k *KeyspaceChecker) PutAcknowledged(at monotime.Time, keyspace, name, value string, base *ident.Revision, newestBefore, revision ident.Revision) {
	v := entryValue{keyspace, name, value}
	k.observeValue(at, v, revision)
	if revision <= newestBefore {
		k.checker.Violate(at, EntryOrder, "%s%s=%s got revision %d, %d was given before", keyspace, name, value, revision, newestBefore)
	}
	k.rejected[v] = false
	k.acknowledged[keyspaceRevision{keyspace, revision}] = v
	k.EntryFloor[keyspace+name], k.KeyspaceFloor[keyspace] = max(k.EntryFloor[keyspace+name], revision), max(k.KeyspaceFloor[keyspace], revision)
	if base != nil {
		k.conditionalPuts = append(k.conditionalPuts, conditionalPut{at, v, *base, revision})
	}
}

// PutEnded takes the end of a put's request that was not acknowledged; rejected says that it
// certainly had no effect.
func (k *KeyspaceChecker) PutEnded(keyspace, name, value string, rejected bool) {
	v := entryValue{keyspace, name, value}
	if before, ok := k.rejected[v]; ok {
		rejected = rejected && before
	}
	k.rejected[v] = rejected
}

// Read takes the response to a read. floor is the newest acknowledged revision of the entry
// when the request was sent; revision 0 says that there is no entry.
func (k *KeyspaceChecker) Read(at monotime.Time, keyspace, name, value string, floor, revision ident.Revision) {
	k.checker.Observe(EntryStale)
	if revision < floor {
		k.checker.Violate(at, EntryStale, "%s%s is read at %d, %d was acknowledged", keyspace, name, revision, floor)
	}
	if revision > 0 {
		k.observeValue(at, entryValue{keyspace, name, value}, revision)
	}
}

// Event is one put that a watch learned of.
type Event struct {
	Name, Value string
	Revision    ident.Revision
}

// Watch takes what a watch learned of the puts after one revision, up to the newest. floor is
// the newest acknowledged revision of the keyspace when the request was sent.
func (k *KeyspaceChecker) Watch(at monotime.Time, keyspace string, after, newest, floor ident.Revision, events []Event) {
	k.checker.Observe(EntryWatch)
	if newest < floor {
		k.checker.Violate(at, EntryStale, "a watch of %s shows revision %d, %d was acknowledged", keyspace, newest, floor)
	}
	watched := watchedRange{at, keyspace, after, newest, map[ident.Revision]bool{}}
	last := after
	for _, e := range events {
		if e.Revision <= last || e.Revision > newest {
			k.checker.Violate(at, EntryWatch, "a watch of %s after %d up to %d got %d after %d", keyspace, after, newest, e.Revision, last)
		}
		last, watched.delivered[e.Revision] = e.Revision, true
		k.observeValue(at, entryValue{keyspace, e.Name, e.Value}, e.Revision)
	}
	k.watches = append(k.watches, watched)
}

// WatchCompacted takes the response that the revision of a watch is compacted, an age after
// the watch was given that revision.
func (k *KeyspaceChecker) WatchCompacted(at monotime.Time, keyspace string, after ident.Revision, age, retention time.Duration) {
	k.checker.Observe(EntryWatch)
	if age < retention {
		k.checker.Violate(at, EntryWatch, "a watch of %s after %d is compacted %v after it got that revision", keyspace, after, age)
	}
}

// Finish checks what can be judged only when the run is over.
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

// checkDelivered checks that a watch learned of every acknowledged revision in its range.
func (k *KeyspaceChecker) checkDelivered(watched watchedRange, acknowledged []ident.Revision) {
	for _, r := range acknowledged {
		if r > watched.after && r <= watched.newest && !watched.delivered[r] {
			k.checker.Violate(watched.seenAt, EntryWatch, "a watch of %s after %d up to %d did not get %d", watched.keyspace, watched.after, watched.newest, r)
			return
		}
	}
}

// checkCondition checks that no other put of the entry lies between a conditional put and the
// revision that it required.
func (k *KeyspaceChecker) checkCondition(put conditionalPut, acknowledged []ident.Revision) {
	for _, r := range acknowledged {
		if r > put.base && r < put.revision && k.acknowledged[keyspaceRevision{put.keyspace, r}].name == put.name {
			k.checker.Violate(put.acknowledgedAt, EntryOrder, "%s%s=%s got revision %d on top of %d, over %d", put.keyspace, put.name, put.value, put.revision, put.base, r)
			return
		}
	}
}

// checkRejected checks that no value whose every put was rejected was shown.
func (k *KeyspaceChecker) checkRejected() {
	byTime := func(a, b entryValue) int { return int(k.shownAt[a] - k.shownAt[b]) }
	for _, v := range slices.SortedFunc(maps.Keys(k.rejected), byTime) {
		if !k.rejected[v] {
			continue
		}
		k.checker.Observe(EntryRejected)
		if at, ok := k.shownAt[v]; ok {
			k.checker.Violate(at, EntryRejected, "%s%s=%s is shown, and its put was rejected", v.keyspace, v.name, v.value)
		}
	}
}
