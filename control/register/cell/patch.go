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
// whole result, so a base that differs in a byte is found out.
type Patch struct {
	From *ident.Ballot  `json:"from,omitempty"`
	Base ident.Revision `json:"base"`
	Head int            `json:"head"`
	Tail int            `json:"tail"`
	Mid  string         `json:"mid,omitempty"`
	Sum  uint32         `json:"sum"`
}

// patchCost is about what a patch takes besides its bytes, escapes included.
const patchCost = 256

var table = crc32.MakeTable(crc32.Castagnoli)

// Sum is the sum of a value that a Patch carries.
func Sum(value []byte) uint32 { return crc32.Checksum(value, table) }

// Diff makes the patch from the base's value to the next one, which is to be accepted under
// a ballot; it is nil unless it takes less than half of what the next value does.
func Diff(base Cell, ballot ident.Ballot, next []byte) *Patch {
	was := base.Value
	if len(next) < 2*patchCost {
		return nil
	}
	most := min(len(was), len(next))
	head := 0
	for head < most && was[head] == next[head] {
		head++
	}
	tail := 0
	for tail < most-head && was[len(was)-1-tail] == next[len(next)-1-tail] {
		tail++
	}
	// No character is cut, for what is between travels as a text.
	for head > 0 && head < len(next) && !utf8.RuneStart(next[head]) {
		head--
	}
	for tail > 0 && !utf8.RuneStart(next[len(next)-tail]) {
		tail--
	}
	mid := next[head : len(next)-tail]
	if 2*(len(mid)+patchCost) > len(next) || !utf8.Valid(mid) {
		return nil
	}
	p := &Patch{Base: base.Revision, Head: head, Tail: tail, Mid: string(mid), Sum: Sum(next)}
	if base.Accepted != ballot {
		p.From = &base.Accepted
	}
	return p
}

// Over gives the value that the patch makes of the cell's, and false unless the cell is
// the patch's base and the value the one that the patch was made for.
func (p *Patch) Over(c Cell, ballot ident.Ballot) ([]byte, bool) {
	if p != nil && p.From != nil {
		ballot = *p.From
	}
	if p == nil || c.Accepted != ballot || c.Revision != p.Base || p.Head < 0 || p.Tail < 0 || p.Head > len(c.Value)-p.Tail {
		return nil, false
	}
	out := make([]byte, 0, p.Head+len(p.Mid)+p.Tail)
	out = append(append(out, c.Value[:p.Head]...), p.Mid...)
	out = append(out, c.Value[len(c.Value)-p.Tail:]...)
	return out, Sum(out) == p.Sum
}
