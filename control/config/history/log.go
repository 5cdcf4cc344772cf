// Package history records, in a few bytes per change, which proposals made the newest revisions of
// the configuration, and reports whether a resent proposal was accepted.
package history

import (
	"strconv"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	// MaxEntries is the maximum number of changes in a log.
	MaxEntries = 256
	// incrementBase is the base in which version increments are written.
	incrementBase = 36
	// incrementTerminator ends an increment and precedes the fingerprint of the change.
	incrementTerminator = '.'
)

// Change is an accepted proposal with the resulting revision and version of the configuration.
type Change struct {
	Revision    ident.ConfigRevision
	Version     uint64
	Fingerprint Fingerprint
}

// Log holds the newest accepted proposals in order, one for each revision. Invariants:
// BaseRevision and BaseVersion are the revision and version before the oldest change in the log;
// versions never decrease; a proposal that names a base version is accepted only while the base
// version is the newest version, and increases the version.
type Log struct {
	BaseRevision ident.ConfigRevision `json:"e"`
	BaseVersion  uint64               `json:"r"`
	// Encoded holds, for each change, the increment of the version, incrementTerminator and the
	// fingerprint.
	Encoded string `json:"c"`
}

// New returns an empty log that starts at a revision and its version.
func New(revision ident.ConfigRevision, version uint64) Log {
	return Log{BaseRevision: revision, BaseVersion: version}
}

// ContinueAt returns the log if its newest change has the given revision and version, otherwise a
// new log that starts at this revision and version. Processes of releases that do not support logs
// drop the log when they accept a change, so a log may be missing or too short.
func (l *Log) ContinueAt(revision ident.ConfigRevision, version uint64) Log {
	if l != nil {
		if last := l.last(); last.Revision == revision && last.Version == version {
			return *l
		}
	}
	return New(revision, version)
}

// Append adds a change that results in the given version, which must not be below the newest
// version, and drops the oldest changes beyond MaxEntries.
func (l Log) Append(version uint64, fingerprint Fingerprint) Log {
	increment := version - l.last().Version
	l.Encoded += strconv.FormatUint(increment, incrementBase) + string(incrementTerminator) + string(fingerprint)
	for l.count() > MaxEntries {
		oldest, rest, _ := decodeFirst(l.Encoded, l.base())
		l.BaseRevision, l.BaseVersion, l.Encoded = oldest.Revision, oldest.Version, rest
	}
	return l
}

// StatusOnVersion returns the status of a proposal with the given base version. Such a proposal can
// only have made the change that raised the version from the base version.
func (l Log) StatusOnVersion(base uint64, fingerprint Fingerprint) (Status, Change) {
	if base < l.BaseVersion {
		return Unknown, Change{}
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

// StatusOnRevision returns the status of a proposal with the given base revision. Such a proposal
// can only have made the next revision.
func (l Log) StatusOnRevision(base ident.ConfigRevision, fingerprint Fingerprint) (Status, Change) {
	if base < l.BaseRevision {
		return Unknown, Change{}
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

// StatusOf returns the status of a proposal that names no base. The status is Unknown if the log
// does not contain the proposal and does not reach back to the first revision.
func (l Log) StatusOf(fingerprint Fingerprint) (Status, Change) {
	for _, change := range l.changes() {
		if change.Fingerprint == fingerprint {
			return Accepted, change
		}
	}
	if l.BaseRevision > 0 {
		return Unknown, Change{}
	}
	return Undecided, Change{}
}

// compareFingerprint returns the status of a proposal that can only have made the given change.
func compareFingerprint(change Change, fingerprint Fingerprint) (Status, Change) {
	if change.Fingerprint == fingerprint {
		return Accepted, change
	}
	return NotAccepted, Change{}
}

func (l Log) count() int { return strings.Count(l.Encoded, string(incrementTerminator)) }

// base returns the revision and version before the oldest change in the log.
func (l Log) base() Change { return Change{Revision: l.BaseRevision, Version: l.BaseVersion} }

// last returns the newest change, or the base if the log is empty.
func (l Log) last() Change {
	if changes := l.changes(); len(changes) > 0 {
		return changes[len(changes)-1]
	}
	return l.base()
}

// changes decodes the changes in the log up to the first malformed change.
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

// decodeFirst decodes the first change of an encoded list. The change follows previous.
func decodeFirst(encoded string, previous Change) (change Change, rest string, ok bool) {
	digits, rest, ok := strings.Cut(encoded, string(incrementTerminator))
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
