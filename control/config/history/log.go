// Package history remembers which proposals made the newest revisions of the configuration,
// in a few bytes each, and reports whether a proposal that is sent again was accepted.
package history

import (
	"strconv"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	// MaxEntries is how many of the newest changes a log remembers.
	MaxEntries = 256
	// incrementBase is the base in which version increments are written.
	incrementBase = 36
	// incrementEnd ends an increment; the fingerprint of the change follows.
	incrementEnd = '.'
)

// Change is one accepted proposal with the revision and the version that it made.
type Change struct {
	Revision    ident.ConfigRevision
	Version     uint64
	Fingerprint Fingerprint
}

// Log holds the newest accepted proposals in order, one for each revision. Invariants:
// BaseRevision and BaseVersion are those before the oldest remembered change; versions never
// fall; a proposal that names a base version is accepted only while that version is the
// newest, and raises it.
type Log struct {
	BaseRevision ident.ConfigRevision `json:"e"`
	BaseVersion  uint64               `json:"r"`
	// Encoded holds for each change the increment of the version, incrementEnd, and the
	// fingerprint.
	Encoded string `json:"c"`
}

// New returns a log that remembers nothing up to a revision and its version.
func New(revision ident.ConfigRevision, version uint64) Log {
	return Log{BaseRevision: revision, BaseVersion: version}
}

// ContinueAt returns the log if it reaches the given revision and version, else a new one
// that starts there. Processes of a release without logs drop the log when they accept a
// change, so a log may be missing or too short.
func (l *Log) ContinueAt(revision ident.ConfigRevision, version uint64) Log {
	if l != nil {
		if last := l.last(); last.Revision == revision && last.Version == version {
			return *l
		}
	}
	return New(revision, version)
}

// Append adds a change to a version that is not below the newest one, and drops the oldest
// changes beyond MaxEntries.
func (l Log) Append(version uint64, fingerprint Fingerprint) Log {
	increment := version - l.last().Version
	l.Encoded += strconv.FormatUint(increment, incrementBase) + string(incrementEnd) + string(fingerprint)
	for l.count() > MaxEntries {
		oldest, rest, _ := decodeFirst(l.Encoded, l.base())
		l.BaseRevision, l.BaseVersion, l.Encoded = oldest.Revision, oldest.Version, rest
	}
	return l
}

// StatusOnVersion returns the status of a proposal that builds on a version. It can only
// have made the change that led away from that version.
func (l Log) StatusOnVersion(base uint64, fingerprint Fingerprint) (Status, Change) {
	if base < l.BaseVersion {
		return Forgotten, Change{}
	}
	previous := l.BaseVersion
	for _, change := range l.changes() {
		if previous == base && change.Version > base {
			return compareFingerprint(change, fingerprint)
		}
		previous = change.Version
	}
	if base == previous {
		return Undecided, Change{}
	}
	return NotAccepted, Change{}
}

// StatusOnRevision returns the status of a proposal that builds on a revision. It can only
// have made the next revision.
func (l Log) StatusOnRevision(base ident.ConfigRevision, fingerprint Fingerprint) (Status, Change) {
	if base < l.BaseRevision {
		return Forgotten, Change{}
	}
	changes := l.changes()
	if index := uint64(base - l.BaseRevision); index < uint64(len(changes)) {
		return compareFingerprint(changes[index], fingerprint)
	}
	if base == l.BaseRevision+ident.ConfigRevision(len(changes)) {
		return Undecided, Change{}
	}
	return NotAccepted, Change{}
}

// StatusOf returns the status of a proposal that names no base. It is Forgotten if it is not
// found and the log does not reach back to the first revision.
func (l Log) StatusOf(fingerprint Fingerprint) (Status, Change) {
	for _, change := range l.changes() {
		if change.Fingerprint == fingerprint {
			return Accepted, change
		}
	}
	if l.BaseRevision > 0 {
		return Forgotten, Change{}
	}
	return Undecided, Change{}
}

// compareFingerprint returns the status of a proposal that can only have made one change.
func compareFingerprint(change Change, fingerprint Fingerprint) (Status, Change) {
	if change.Fingerprint == fingerprint {
		return Accepted, change
	}
	return NotAccepted, Change{}
}

func (l Log) count() int { return strings.Count(l.Encoded, string(incrementEnd)) }

// base returns the state before the oldest remembered change.
func (l Log) base() Change { return Change{Revision: l.BaseRevision, Version: l.BaseVersion} }

// last returns the newest change, the base if the log is empty.
func (l Log) last() Change {
	if changes := l.changes(); len(changes) > 0 {
		return changes[len(changes)-1]
	}
	return l.base()
}

// changes decodes the log; a malformed change ends it.
func (l Log) changes() []Change {
	changes := make([]Change, 0, MaxEntries)
	previous := l.base()
	for rest := l.Encoded; ; {
		change, tail, ok := decodeFirst(rest, previous)
		if !ok {
			return changes
		}
		changes, previous, rest = append(changes, change), change, tail
	}
}

// decodeFirst decodes the first change of an encoded list, which follows previous.
func decodeFirst(encoded string, previous Change) (change Change, rest string, ok bool) {
	digits, rest, ok := strings.Cut(encoded, string(incrementEnd))
	increment, err := strconv.ParseUint(digits, incrementBase, 64)
	if !ok || err != nil || len(rest) < fingerprintTextLength {
		return Change{}, "", false
	}
	change = Change{
		Revision:    previous.Revision + 1,
		Version:     previous.Version + increment,
		Fingerprint: Fingerprint(rest[:fingerprintTextLength]),
	}
	return change, rest[fingerprintTextLength:], true
}
