// Package history remembers, in few bytes each, which proposals made the newest epochs of the
// manifest, and says of a proposal that is sent again what became of it.
package history

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	// MaxEntries is how many of the newest changes are remembered.
	MaxEntries = 256
	// fingerprintBytes is the length of a mark. Marks are compared only between proposals on one
	// base, so 64 bits are ample.
	fingerprintBytes = 8
	// incrementBase is the base that release steps are written in, stepEnd ends one.
	incrementBase = 36
	incrementEnd  = '.'
)

// fingerprintTextLength is the length of a mark as text.
var fingerprintTextLength = base64.RawStdEncoding.EncodedLen(fingerprintBytes)

// Fingerprint names a proposal by its content. Invariant: proposals with different marks differ.
type Fingerprint string

// FingerprintOf gives the mark of a proposal's parts.
func FingerprintOf(parts ...string) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(base64.RawStdEncoding.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}

// Change is one taken proposal: the epoch and the release that it made.
type Change struct {
	Revision    ident.Epoch
	Version     uint64
	Fingerprint Fingerprint
}

// Log is the newest taken proposals in order, one for each epoch. Invariants: Epoch and
// Release are those before the oldest change that is remembered; releases never fall, and a
// proposal on a base release is taken only while that release is the newest, and raises it.
type Log struct {
	BaseRevision ident.Epoch `json:"e"`
	BaseVersion  uint64      `json:"r"`
	// Encoded holds for each change by how much it raised the release, then its mark.
	Encoded string `json:"c"`
}

// Status is what the chain knows of a proposal.
type Status int

// The fates of a proposal.
const (
	// Undecided: its base is the newest one, so it was not taken yet.
	Undecided Status = iota
	// Accepted: it made the change that is told.
	Accepted
	// NotAccepted: it was not taken, and while the newest base is not its own it will not be.
	NotAccepted
	// Forgotten: its base is older than what is remembered, so it may have been taken.
	Forgotten
)

// New is a chain that remembers nothing up to an epoch and its release.
func New(revision ident.Epoch, version uint64) Log {
	return Log{BaseRevision: revision, BaseVersion: version}
}

// ContinueAt is the chain if it is whole up to the epoch, and else one that begins there. A
// process of a release that knows no chains drops it with its changes.
func (l *Log) ContinueAt(revision ident.Epoch, version uint64) Log {
	if l != nil {
		if last := l.last(); last.Revision == revision && last.Version == version {
			return *l
		}
	}
	return New(revision, version)
}

// Append appends a change to a release at least as high as the newest one.
func (l Log) Append(version uint64, fingerprint Fingerprint) Log {
	increment := version - l.last().Version
	l.Encoded += strconv.FormatUint(increment, incrementBase) + string(incrementEnd) + string(fingerprint)
	for l.count() > MaxEntries {
		oldest, rest, _ := l.decodeFirst(l.Encoded, Change{Revision: l.BaseRevision, Version: l.BaseVersion})
		l.BaseRevision, l.BaseVersion, l.Encoded = oldest.Revision, oldest.Version, rest
	}
	return l
}

// StatusOnVersion tells the fate of a proposal that builds on a release. The change that led away
// from that release is the only one that the proposal can have made.
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

// StatusOnRevision tells the fate of a proposal that builds on an epoch, which can only have made
// the next one.
func (l Log) StatusOnRevision(base ident.Epoch, fingerprint Fingerprint) (Status, Change) {
	if base < l.BaseRevision {
		return Forgotten, Change{}
	}
	changes := l.changes()
	if index := uint64(base - l.BaseRevision); index < uint64(len(changes)) {
		return compareFingerprint(changes[index], fingerprint)
	}
	if base == l.BaseRevision+ident.Epoch(len(changes)) {
		return Undecided, Change{}
	}
	return NotAccepted, Change{}
}

// StatusOf looks for a proposal that has a name in place of a base: it is Forgotten if it is
// not found and there was a change before what is remembered.
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

func compareFingerprint(change Change, fingerprint Fingerprint) (Status, Change) {
	if change.Fingerprint == fingerprint {
		return Accepted, change
	}
	return NotAccepted, Change{}
}

func (l Log) count() int { return strings.Count(l.Encoded, string(incrementEnd)) }

func (l Log) last() Change {
	if changes := l.changes(); len(changes) > 0 {
		return changes[len(changes)-1]
	}
	return Change{Revision: l.BaseRevision, Version: l.BaseVersion}
}

// changes decodes the changes; what is not well formed ends them.
func (l Log) changes() []Change {
	changes := make([]Change, 0, MaxEntries)
	previous := Change{Revision: l.BaseRevision, Version: l.BaseVersion}
	for rest := l.Encoded; ; {
		change, tail, ok := l.decodeFirst(rest, previous)
		if !ok {
			return changes
		}
		changes, previous, rest = append(changes, change), change, tail
	}
}

// decodeFirst decodes the first change of a text, which follows another.
func (l Log) decodeFirst(encoded string, previous Change) (change Change, rest string, ok bool) {
	digits, rest, ok := strings.Cut(encoded, string(incrementEnd))
	increment, err := strconv.ParseUint(digits, incrementBase, 64)
	if !ok || err != nil || len(rest) < fingerprintTextLength {
		return Change{}, "", false
	}
	return Change{previous.Revision + 1, previous.Version + increment, Fingerprint(rest[:fingerprintTextLength])}, rest[fingerprintTextLength:], true
}
