package quorum

import (
	"bytes"
	"unicode/utf8"
)

const (
	// blockBytes is the length of the runs of the base that are looked for in the next value.
	blockBytes = 32
	// pieceCost is about what a piece takes besides its text.
	pieceCost = 40
	// piecesHead is the Head of a patch in pieces: a process that knows no pieces turns such
	// a patch away, as it does any other that is not for its base.
	piecesHead = -1
	// hashFactor is that of the rolling hash.
	hashFactor = 0x01000193
)

// Piece is a text, then so many bytes of the base from an offset on.
type Piece struct {
	Text string `json:"t,omitempty"`
	At   int    `json:"a,omitempty"`
	Len  int    `json:"n,omitempty"`
}

// size is about what the pieces take in a message.
func size(pieces []Piece) int {
	n := 0
	for _, p := range pieces {
		n += pieceCost + len(p.Text)
	}
	return n
}

// divide makes the next value of pieces of the base. It finds what the two share by blocks
// that the base holds once, so that a run is not taken for another that looks like it.
func divide(base, next []byte) []Piece {
	blocks := index(base)
	var out []Piece
	done := 0 // of next is in out
	var hash uint32
	for end := 0; end < len(next); end++ {
		hash = roll(hash, next, end)
		from := end + 1 - blockBytes
		at, found := blocks[hash]
		if from < done || !found || at < 0 || !bytes.Equal(base[at:at+blockBytes], next[from:end+1]) {
			continue
		}
		begin, length := extend(base, next, at, from, done)
		at += begin - from
		if length <= pieceCost {
			continue
		}
		out = append(out, Piece{Text: string(next[done:begin]), At: at, Len: length})
		done = begin + length
		for skip := end + 1; skip < done; skip++ {
			hash = roll(hash, next, skip)
		}
		end = max(end, done-1)
	}
	return append(out, Piece{Text: string(next[done:])})
}

// extend makes a shared block as long as it gets, back to done at most, without cutting a
// character of next.
func extend(base, next []byte, at, from, done int) (begin, length int) {
	shift := at - from
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

// index finds the whole blocks of the base by their hash; a hash that is met twice has the
// offset -1.
func index(base []byte) map[uint32]int {
	out := make(map[uint32]int, len(base)/blockBytes)
	for at := 0; at+blockBytes <= len(base); at += blockBytes {
		var hash uint32
		for _, b := range base[at : at+blockBytes] {
			hash = hash*hashFactor + uint32(b)
		}
		if _, twice := out[hash]; twice {
			out[hash] = -1
			continue
		}
		out[hash] = at
	}
	return out
}

// outgoing is the factor that a byte has when it leaves the rolling hash.
var outgoing = func() uint32 {
	factor := uint32(1)
	for range blockBytes {
		factor *= hashFactor
	}
	return factor
}()

// roll moves the hash of the last block on to the byte at an offset.
func roll(hash uint32, text []byte, at int) uint32 {
	hash = hash*hashFactor + uint32(text[at])
	if at >= blockBytes {
		hash -= outgoing * uint32(text[at-blockBytes])
	}
	return hash
}

// join makes the value of the pieces, and false if one lies outside of the base.
func join(base []byte, pieces []Piece) ([]byte, bool) {
	var out []byte
	for _, p := range pieces {
		if p.At < 0 || p.Len < 0 || p.Len > len(base) || p.At > len(base)-p.Len {
			return nil, false
		}
		out = append(append(out, p.Text...), base[p.At:p.At+p.Len]...)
	}
	return out, true
}

// validPieces tells whether every text travels as it is.
func validPieces(pieces []Piece) bool {
	for _, p := range pieces {
		if !utf8.ValidString(p.Text) {
			return false
		}
	}
	return true
}
