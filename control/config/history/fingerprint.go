package history

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
)

// fingerprintBytes is the length of a fingerprint. Only fingerprints of proposals on the same base
// are compared, so 64 bits suffice.
const fingerprintBytes = 8

// fingerprintTextLength is the length of a fingerprint in Base64.
var fingerprintTextLength = base64.RawStdEncoding.EncodedLen(fingerprintBytes)

// Fingerprint identifies a proposal by its content: the first bytes of a SHA-256 sum, in Base64.
// Proposals with different fingerprints are different proposals.
type Fingerprint string

// FingerprintOf returns the fingerprint of a proposal's parts. Each part is prefixed with its
// length, so that different lists of parts never have the same hash input.
func FingerprintOf(parts ...string) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(base64.RawStdEncoding.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}
