package cell

import (
	"hash/crc32"
	"unicode/utf8"

	"cottonarch.example/cottonarch/kernel/ident"
)

// PatchAccept is an Accept that carries a Patch in place of its value. It is a kind of its
// own so that a replica that knows no patches says nothing to it, rather than take it for
// an accept without a value.
const PatchAccept Kind = "patch"

// Patch makes one accepted value out of another: the first Head bytes of the base, Mid,
// and the last Tail bytes of the base. Invariants: From, which is the ask's own ballot when
// it is nil, and Base name the base as accepted, so the base is one value; Sum is over the
// whole result, so a base that differs in a byte is found out. With Pieces, which stand for
// Mid where the two values differ in several places, Head is piecesHead.
type Patch struct {
	From *ident.Ballot  `json:"from,omitempty"`
	Base ident.Revision `json:"base"`
	Head int            `json:"head"`
	Tail int            `json:"tail"`
	Mid  string         `json:"mid,omitempty"`
	Sum  uint32         `json:"sum"`

	Pieces []Piece `json:"pieces,omitempty"`
}

// patchCost is about what a patch takes besides its bytes, escapes included.
const patchCost = 256

var table = crc32.MakeTable(crc32.Castagnoli)

// Sum is the sum of a value that a Patch carries.
func Sum(value []byte) uint32 { return crc32.Checksum(value, table) }

// Diff makes the patch from the base's value to the next one, which is to be accepted under
// a ballot; it is nil unless it takes less than half of what the next value does.
func Diff(base Cell, ballot ident.Ballot, next []byte) *Patch {
	if len(next) < 2*patchCost {
		return nil
	}
	head, tail := shared(base.Value, next)
	mid := next[head : len(next)-tail]
	p := &Patch{Base: base.Revision, Head: head, Tail: tail, Sum: Sum(next)}
	cost := len(mid)
	if cost > patchCost {
		if pieces := divide(base.Value, next); size(pieces) < cost && validPieces(pieces) {
			cost, p.Head, p.Tail, p.Pieces = size(pieces), piecesHead, 0, pieces
		}
	}
	if 2*(cost+patchCost) > len(next) || p.Pieces == nil && !utf8.Valid(mid) {
		return nil
	}
	if p.Pieces == nil {
		p.Mid = string(mid)
	}
	if base.Accepted != ballot {
		p.From = &base.Accepted
	}
	return p
}

// shared is how much two values have in common at the front and at the end. No character
// is cut, for what is between travels as a text.
func shared(was, next []byte) (head, tail int) {
	most := min(len(was), len(next))
	for head < most && was[head] == next[head] {
		head++
	}
	for tail < most-head && was[len(was)-1-tail] == next[len(next)-1-tail] {
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

// Over gives the value that the patch makes of the cell's, and false unless the cell is
// the patch's base and the value the one that the patch was made for.
func (p *Patch) Over(c Cell, ballot ident.Ballot) ([]byte, bool) {
	if p != nil && p.From != nil {
		ballot = *p.From
	}
	if p == nil || c.Accepted != ballot || c.Revision != p.Base {
		return nil, false
	}
	if len(p.Pieces) > 0 {
		out, ok := join(c.Value, p.Pieces)
		return out, ok && p.Head == piecesHead && Sum(out) == p.Sum
	}
	if p.Head < 0 || p.Tail < 0 || p.Head > len(c.Value)-p.Tail {
		return nil, false
	}
	out := make([]byte, 0, p.Head+len(p.Mid)+p.Tail)
	out = append(append(out, c.Value[:p.Head]...), p.Mid...)
	out = append(out, c.Value[len(c.Value)-p.Tail:]...)
	return out, Sum(out) == p.Sum
}
