// Package hashing mixes the bits of 64-bit hashes. FNV-1a hashes of short strings have nearly equal
// high bits; after mixing, all bits may be used.
package hashing

// The multipliers of MurmurHash3's 64-bit finalizer.
const (
	firstMultiplier  = 0xff51afd7ed558ccd
	secondMultiplier = 0xc4ceb9fe1a85ec53
)

// Mix is the first round of MurmurHash3's 64-bit finalizer. Invariant: it is a bijection.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= firstMultiplier
	return x ^ x>>33
}

// Finalize is the whole 64-bit finalizer of MurmurHash3 (fmix64). Invariant: it is a bijection.
func Finalize(x uint64) uint64 {
	x = Mix(x)
	x *= secondMultiplier
	return x ^ x>>33
}
