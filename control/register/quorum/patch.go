package quorum

import (
	"hash/crc32"
	"unicode/utf8"

	"cottonarch.example/cottonarch/base/ident"
)

// PatchAccept is an Accept that carries a Patch in place of its value. It is a kind of its own so
// that an acceptor that takes no patches does not respond, rather than accept no value.
const PatchAccept Kind = "patch"

// Patch makes one accepted value out of another, the base: its first Prefix bytes, then Middle,
// then its last Suffix bytes. Where the two values differ in several places, Pieces take the place
// of Middle and Prefix is piecesMarker. Invariants: BaseBallot (the request's own ballot when it
// is nil) and BaseRevision identify the base's accepted state, and so its value; Checksum covers
// the whole result, so a base that differs in a byte is detected.
type Patch struct {
	BaseBallot   *ident.Ballot  `json:"from,omitempty"`
	BaseRevision ident.Revision `json:"base"`
	Prefix       int            `json:"head"`
	Suffix       int            `json:"tail"`
	Middle       string         `json:"mid,omitempty"`
	Checksum     uint32         `json:"sum"`

	Pieces []Piece `json:"pieces,omitempty"`
}

// patchOverhead is about how many bytes a patch takes besides its texts, escapes included.
const patchOverhead = 256

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Checksum returns the checksum of a value that a Patch carries: CRC-32C.
func Checksum(value []byte) uint32 { return crc32.Checksum(value, castagnoli) }

// Diff makes the patch from the base's value to the next one, which is to be accepted under a
// ballot; it is nil unless the patch takes less than half the bytes of the next value.
func Diff(base Record, ballot ident.Ballot, next []byte) *Patch {
	if len(next) < 2*patchOverhead {
		return nil
	}
	head, tail := commonEnds(base.Value, next)
	middle := next[head : len(next)-tail]
	p := &Patch{BaseRevision: base.Revision, Prefix: head, Suffix: tail, Checksum: Checksum(next)}
	cost := len(middle)
	if cost > patchOverhead {
		if pieces := diffPieces(base.Value, next); encodedSize(pieces) < cost && validPieces(pieces) {
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

// commonEnds returns how many bytes two values share at the front and at the end. No UTF-8 character
// of next is cut, since what lies between is sent as a JSON string.
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

// Apply makes the next value of a base record. It returns false when the record is not the
// patch's base or the result is not the value that the patch was made for.
func (p *Patch) Apply(base Record, ballot ident.Ballot) ([]byte, bool) {
	if p != nil && p.BaseBallot != nil {
		ballot = *p.BaseBallot
	}
	if p == nil || base.Accepted != ballot || base.Revision != p.BaseRevision {
		return nil, false
	}
	if len(p.Pieces) > 0 {
		out, ok := joinPieces(base.Value, p.Pieces)
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
