package quorum

import (
	"hash/crc32"
	"unicode/utf8"

	"cottonarch.example/cottonarch/base/ident"
)

// PatchAccept is an Accept that carries a Patch instead of the value. It has its own kind so that an
// acceptor that does not know patches ignores the request rather than accepting an empty value.
const PatchAccept Kind = "patch"

// Patch derives one accepted value from another, the base: the first Prefix bytes of the base, then
// Middle, then the last Suffix bytes of the base. If the two values differ in several places,
// Pieces may replace Middle, and Prefix is then piecesMarker. Invariants: BaseBallot (if nil, the
// ballot of the request) and BaseRevision identify the accepted state of the base, and so its
// value; Checksum covers the whole result, so a base that differs in any byte is detected.
type Patch struct {
	BaseBallot   *ident.Ballot  `json:"from,omitempty"`
	BaseRevision ident.Revision `json:"base"`
	Prefix       int            `json:"head"`
	Suffix       int            `json:"tail"`
	Middle       string         `json:"mid,omitempty"`
	Checksum     uint32         `json:"sum"`

	Pieces []Piece `json:"pieces,omitempty"`
}

// patchOverhead is the approximate encoded size in bytes of a patch without its texts, including
// the escapes in the texts.
const patchOverhead = 256

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the CRC-32C checksum that a Patch carries for its resulting value.
func Checksum(value []byte) uint32 { return crc32.Checksum(value, castagnoli) }

// Diff returns the patch from the value of base to next, which is to be accepted under a ballot. It
// returns nil if the patch would take more than half the bytes of next, or if its text is not valid
// UTF-8 and so can't be sent as JSON.
func Diff(base Record, ballot ident.Ballot, next []byte) *Patch {
	if len(next) < 2*patchOverhead {
		return nil
	}
	head, tail := commonEnds(base.Value, next)
	middle := next[head : len(next)-tail]
	p := &Patch{BaseRevision: base.Revision, Prefix: head, Suffix: tail, Checksum: Checksum(next)}
	cost := len(middle)
	if cost > patchOverhead {
		if pieces := diffPieces(base.Value, next); encodedSize(pieces) < cost && piecesAreValidUTF8(pieces) {
			cost, p.Prefix, p.Suffix, p.Pieces = encodedSize(pieces), piecesMarker, 0, pieces
		}
	}
	if 2*(cost+patchOverhead) > len(next) || p.Pieces == nil && !utf8.Valid(middle) {
		return nil
	}
	if p.Pieces == nil {
		p.Middle = string(middle)
	}
	if base.Accepted != ballot {
		p.BaseBallot = &base.Accepted
	}
	return p
}

// commonEnds returns the lengths of the common prefix and suffix of two values. Neither length splits
// a UTF-8 character of next, because the bytes between prefix and suffix are sent as a JSON string.
func commonEnds(baseValue, next []byte) (head, tail int) {
	shorter := min(len(baseValue), len(next))
	for head < shorter && baseValue[head] == next[head] {
		head++
	}
	for tail < shorter-head && baseValue[len(baseValue)-1-tail] == next[len(next)-1-tail] {
		tail++
	}
	for head > 0 && head < len(next) && !utf8.RuneStart(next[head]) {
		head--
	}
	for tail > 0 && !utf8.RuneStart(next[len(next)-tail]) {
		tail--
	}
	return head, tail
}

// Apply derives the next value from a base record. It returns false if the record is not the base
// of the patch or the checksum of the result does not match.
func (p *Patch) Apply(base Record, ballot ident.Ballot) ([]byte, bool) {
	if p != nil && p.BaseBallot != nil {
		ballot = *p.BaseBallot
	}
	if p == nil || base.Accepted != ballot || base.Revision != p.BaseRevision {
		return nil, false
	}
	if len(p.Pieces) > 0 {
		out, ok := applyPieces(base.Value, p.Pieces)
		return out, ok && p.Prefix == piecesMarker && Checksum(out) == p.Checksum
	}
	if p.Prefix < 0 || p.Suffix < 0 || p.Prefix > len(base.Value)-p.Suffix {
		return nil, false
	}
	out := make([]byte, 0, p.Prefix+len(p.Middle)+p.Suffix)
	out = append(append(out, base.Value[:p.Prefix]...), p.Middle...)
	out = append(out, base.Value[len(base.Value)-p.Suffix:]...)
	return out, Checksum(out) == p.Checksum
}
