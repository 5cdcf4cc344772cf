package quorum

import (
	"bytes"
	"unicode/utf8"
)

const (
	// blockBytes is the length of the blocks of the base that are searched for in the next value.
	blockBytes = 32
	// pieceCost is about how many bytes a piece takes besides its text.
	pieceCost = 40
	// piecesMarker is the Prefix of a patch in pieces: a process that knows no pieces rejects
	// such a patch, as it does any other that is not for its base.
	piecesMarker = -1
	// hashFactor is the multiplier of the rolling hash (a Rabin-Karp polynomial modulo 2^32).
	hashFactor = 0x01000193
)

// Piece is a text, and then Length bytes of the base from Offset on.
type Piece struct {
	Text   string `json:"t,omitempty"`
	Offset int    `json:"a,omitempty"`
	Length int    `json:"n,omitempty"`
}

// encodedSize estimates how many bytes the pieces take in a message.
func encodedSize(pieces []Piece) int {
	total := 0
	for _, p := range pieces {
		total += pieceCost + len(p.Text)
	}
	return total
}

// diffPieces divides the next value into texts and runs of the base. It finds shared runs by
// blocks whose hash is unique in the base, so that a run is not confused with a similar one.
func diffPieces(base, next []byte) []Piece {
	blocks := indexBlocks(base)
	var pieces []Piece
	done := 0 // bytes of next that the pieces cover
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
		if length <= pieceCost {
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

// extendMatch extends a shared block in both directions, back to done at most, without cutting a
// UTF-8 character of next.
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

// indexBlocks returns the offsets of the base's blocks by their hash; a hash that two blocks have
// is given the offset -1.
func indexBlocks(base []byte) map[uint32]int {
	blocks := make(map[uint32]int, len(base)/blockBytes)
	for offset := 0; offset+blockBytes <= len(base); offset += blockBytes {
		var hash uint32
		for _, b := range base[offset : offset+blockBytes] {
			hash = hash*hashFactor + uint32(b)
		}
		if _, twice := blocks[hash]; twice {
			blocks[hash] = -1
			continue
		}
		blocks[hash] = offset
	}
	return blocks
}

// leavingFactor is the factor of a byte when it leaves the rolling hash.
var leavingFactor = func() uint32 {
	factor := uint32(1)
	for range blockBytes {
		factor *= hashFactor
	}
	return factor
}()

// rollHash moves the hash of the last blockBytes bytes on to the byte at an offset.
func rollHash(hash uint32, text []byte, offset int) uint32 {
	hash = hash*hashFactor + uint32(text[offset])
	if offset >= blockBytes {
		hash -= leavingFactor * uint32(text[offset-blockBytes])
	}
	return hash
}

// joinPieces makes the value of the pieces; it returns false if one lies outside of the base.
func joinPieces(base []byte, pieces []Piece) ([]byte, bool) {
	var out []byte
	for _, p := range pieces {
		if p.Offset < 0 || p.Length < 0 || p.Length > len(base) || p.Offset > len(base)-p.Length {
			return nil, false
		}
		out = append(append(out, p.Text...), base[p.Offset:p.Offset+p.Length]...)
	}
	return out, true
}

// validPieces reports whether JSON carries every text unchanged.
func validPieces(pieces []Piece) bool {
	for _, p := range pieces {
		if !utf8.ValidString(p.Text) {
			return false
		}
	}
	return true
}
