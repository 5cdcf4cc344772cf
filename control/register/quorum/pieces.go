package quorum

import (
	"bytes"
	"unicode/utf8"
)

const (
	// blockBytes is the length of the blocks of the base that are looked up in the next value.
	blockBytes = 32
	// pieceOverhead is the approximate number of bytes of an encoded piece besides its text. A
	// shared run that is no longer than that is not worth a piece.
	pieceOverhead = 40
	// piecesMarker is the Prefix of a patch in pieces. A process that does not know pieces
	// rejects such a patch like any patch that does not fit its base.
	piecesMarker = -1
	// hashFactor is the multiplier of the rolling hash (a Rabin-Karp polynomial modulo 2^32).
	hashFactor = 0x01000193
)

// Piece describes a part of a value: Text, followed by Length bytes copied from the base at Offset.
type Piece struct {
	Text   string `json:"t,omitempty"`
	Offset int    `json:"a,omitempty"`
	Length int    `json:"n,omitempty"`
}

// encodedSize estimates the number of bytes that the pieces take in a message.
func encodedSize(pieces []Piece) int {
	total := 0
	for _, p := range pieces {
		total += pieceOverhead + len(p.Text)
	}
	return total
}

// diffPieces divides the next value into literal texts and runs copied from the base. It finds
// shared runs by blocks whose hash is unique in the base, so that a run is not matched with a
// similar one elsewhere.
func diffPieces(base, next []byte) []Piece {
	blocks := indexBlocks(base)
	var pieces []Piece
	done := 0 // number of bytes of next that the pieces cover
	var hash uint32
	for end := 0; end < len(next); end++ {
		hash = rollHash(hash, next, end)
		blockStart := end + 1 - blockBytes
		offset, found := blocks[hash]
		if blockStart < done || !found || offset < 0 || !bytes.Equal(base[offset:offset+blockBytes], next[blockStart:end+1]) {
			continue
		}
		begin, length := extendMatch(base, next, offset, blockStart, done)
		offset += begin - blockStart
		if length <= pieceOverhead {
			continue
		}
		pieces = append(pieces, Piece{Text: string(next[done:begin]), Offset: offset, Length: length})
		done = begin + length
		for skip := end + 1; skip < done; skip++ {
			hash = rollHash(hash, next, skip)
		}
		end = max(end, done-1)
	}
	return append(pieces, Piece{Text: string(next[done:])})
}

// extendMatch extends a shared block in both directions, backward no further than done, without
// splitting a UTF-8 character of next.
func extendMatch(base, next []byte, offset, from, done int) (begin, length int) {
	shift := offset - from
	begin, end := from, from+blockBytes
	for begin > done && begin+shift > 0 && next[begin-1] == base[begin-1+shift] {
		begin--
	}
	for end < len(next) && end+shift < len(base) && next[end] == base[end+shift] {
		end++
	}
	for begin < end && !utf8.RuneStart(next[begin]) {
		begin++
	}
	for end > begin && end < len(next) && !utf8.RuneStart(next[end]) {
		end--
	}
	return begin, end - begin
}

// indexBlocks maps the hash of each block of the base to the block's offset, or to -1 if several
// blocks have that hash.
func indexBlocks(base []byte) map[uint32]int {
	blocks := make(map[uint32]int, len(base)/blockBytes)
	for offset := 0; offset+blockBytes <= len(base); offset += blockBytes {
		var hash uint32
		for _, b := range base[offset : offset+blockBytes] {
			hash = hash*hashFactor + uint32(b)
		}
		if _, duplicate := blocks[hash]; duplicate {
			blocks[hash] = -1
			continue
		}
		blocks[hash] = offset
	}
	return blocks
}

// removalFactor is the weight in the rolling hash of the byte that drops out of the window:
// hashFactor to the power of blockBytes.
var removalFactor = func() uint32 {
	factor := uint32(1)
	for range blockBytes {
		factor *= hashFactor
	}
	return factor
}()

// rollHash advances the rolling hash, which covers the last blockBytes bytes, to the byte at
// offset.
func rollHash(hash uint32, text []byte, offset int) uint32 {
	hash = hash*hashFactor + uint32(text[offset])
	if offset >= blockBytes {
		hash -= removalFactor * uint32(text[offset-blockBytes])
	}
	return hash
}

// applyPieces builds the value that the pieces describe. It returns false if a piece lies outside
// the base.
func applyPieces(base []byte, pieces []Piece) ([]byte, bool) {
	var out []byte
	for _, p := range pieces {
		if p.Offset < 0 || p.Length < 0 || p.Length > len(base) || p.Offset > len(base)-p.Length {
			return nil, false
		}
		out = append(append(out, p.Text...), base[p.Offset:p.Offset+p.Length]...)
	}
	return out, true
}

// piecesAreValidUTF8 reports whether every text is valid UTF-8, which JSON carries unchanged.
func piecesAreValidUTF8(pieces []Piece) bool {
	for _, p := range pieces {
		if !utf8.ValidString(p.Text) {
			return false
		}
	}
	return true
}
