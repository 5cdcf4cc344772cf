package invariant

import (
	"maps"
	"slices"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
)

// The rules of cells: revisions of a group never come twice or go back, and a conditional
// put never succeeds over a later one; a read is never older than an acknowledged put; a
// watch skips no put and is not told too early that it is too old; a value whose every put
// was turned away is never shown.
const (
	EntryOrder    = "cell-order"
	EntryStale    = "cell-stale"
	EntryWatch    = "cell-watch"
	EntryRejected = "cell-turned"
)

type entryValue struct{ keyspace, name, value string }

type keyspaceRevision struct {
	keyspace string
	revision ident.Revision
}

type watchedRange struct {
	seenAt        monotime.Time
	keyspace      string
	after, newest ident.Revision
	delivered     map[ident.Revision]bool
}

type conditionalPut struct {
	acknowledgedAt monotime.Time
	entryValue
	base, revision ident.Revision
}

// KeyspaceChecker judges what applications saw of cells. Invariants: held is what was shown under a
// revision, by whatever call; acked only what an acknowledged put was given.
type KeyspaceChecker struct {
	checker         *Checker
	valueAt         map[keyspaceRevision]entryValue
	revisionOf      map[entryValue]ident.Revision
	acknowledged    map[keyspaceRevision]entryValue
	rejected        map[entryValue]bool // by all of its calls that have ended
	shownAt         map[entryValue]monotime.Time
	watches         []watchedRange
	conditionalPuts []conditionalPut
	// EntryFloor is each cell's newest acknowledged revision, Top each group's.
	EntryFloor    map[string]ident.Revision
	KeyspaceFloor map[string]ident.Revision
}

// NewKeyspaceChecker makes the judge of a run's cells.
func (c *Checker) NewKeyspaceChecker() *KeyspaceChecker {
	return &KeyspaceChecker{checker: c, valueAt: map[keyspaceRevision]entryValue{}, revisionOf: map[entryValue]ident.Revision{}, acknowledged: map[keyspaceRevision]entryValue{}, rejected: map[entryValue]bool{},
		shownAt: map[entryValue]monotime.Time{}, EntryFloor: map[string]ident.Revision{}, KeyspaceFloor: map[string]ident.Revision{}}
}

// observeValue takes a value seen under a revision.
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

// PutAcknowledged takes an acknowledged put; top is the group's newest acknowledged revision when its
// first call was sent, base what it was conditional on.
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

// PutEnded takes the end of a put's call; sure tells that it was turned away.
func (k *KeyspaceChecker) PutEnded(keyspace, name, value string, rejected bool) {
	v := entryValue{keyspace, name, value}
	if before, ok := k.rejected[v]; ok {
		rejected = rejected && before
	}
	k.rejected[v] = rejected
}

// Read takes a reading; floor is the cell's newest acknowledged revision when it was sent,
// and revision 0 says that there was none.
func (k *KeyspaceChecker) Read(at monotime.Time, keyspace, name, value string, floor, revision ident.Revision) {
	k.checker.Observe(EntryStale)
	if revision < floor {
		k.checker.Violate(at, EntryStale, "%s%s is read at %d, %d was acknowledged", keyspace, name, revision, floor)
	}
	if revision > 0 {
		k.observeValue(at, entryValue{keyspace, name, value}, revision)
	}
}

// Event is one put told to a watch.
type Event struct {
	Name, Value string
	Revision    ident.Revision
}

// Watch takes what a watch was told of the puts after a revision, up to top; floor is the
// group's newest acknowledged revision when it was sent.
func (k *KeyspaceChecker) Watch(at monotime.Time, keyspace string, after, newest, floor ident.Revision, events []Event) {
	k.checker.Observe(EntryWatch)
	if newest < floor {
		k.checker.Violate(at, EntryStale, "a watch of %s shows revision %d, %d was acknowledged", keyspace, newest, floor)
	}
	watched := watchedRange{at, keyspace, after, newest, map[ident.Revision]bool{}}
	last := after
	for _, e := range events {
		if e.Revision <= last || e.Revision > newest {
			k.checker.Violate(at, EntryWatch, "a watch of %s after %d up to %d is told %d after %d", keyspace, after, newest, e.Revision, last)
		}
		last, watched.delivered[e.Revision] = e.Revision, true
		k.observeValue(at, entryValue{keyspace, e.Name, e.Value}, e.Revision)
	}
	k.watches = append(k.watches, watched)
}

// WatchCompacted takes a watch that was told that its revision is too old, this long after it
// was given that revision.
func (k *KeyspaceChecker) WatchCompacted(at monotime.Time, keyspace string, after ident.Revision, age, retention time.Duration) {
	k.checker.Observe(EntryWatch)
	if age < retention {
		k.checker.Violate(at, EntryWatch, "a watch of %s after %d is told that it is too old, %v after it was given that", keyspace, after, age)
	}
}

// Finish looks at what can be judged only at the end.
func (k *KeyspaceChecker) Finish() {
	acknowledged := map[string][]ident.Revision{}
	for r := range k.acknowledged {
		acknowledged[r.keyspace] = append(acknowledged[r.keyspace], r.revision)
	}
	for g := range acknowledged {
		slices.Sort(acknowledged[g])
	}
	for _, s := range k.watches {
		for _, r := range acknowledged[s.keyspace] {
			if r > s.after && r <= s.newest && !s.delivered[r] {
				k.checker.Violate(s.seenAt, EntryWatch, "a watch of %s after %d up to %d was not told %d", s.keyspace, s.after, s.newest, r)
				break
			}
		}
	}
	for _, b := range k.conditionalPuts {
		for _, r := range acknowledged[b.keyspace] {
			if r > b.base && r < b.revision && k.acknowledged[keyspaceRevision{b.keyspace, r}].name == b.name {
				k.checker.Violate(b.acknowledgedAt, EntryOrder, "%s%s=%s got revision %d on top of %d, over %d", b.keyspace, b.name, b.value, b.revision, b.base, r)
				break
			}
		}
	}
	for _, v := range slices.SortedFunc(maps.Keys(k.rejected), func(a, b entryValue) int {
		return int(k.shownAt[a] - k.shownAt[b])
	}) {
		if !k.rejected[v] {
			continue
		}
		k.checker.Observe(EntryRejected)
		if at, ok := k.shownAt[v]; ok {
			k.checker.Violate(at, EntryRejected, "%s%s=%s is shown, and its put was turned away", v.keyspace, v.name, v.value)
		}
	}
}
