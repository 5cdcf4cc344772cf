package history

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
)

// fingerprintBytes is the length of a fingerprint. Fingerprints are compared only between
// proposals on one base, so 64 bits are ample.
const fingerprintBytes = 8

// fingerprintTextLength is the length of a fingerprint as text.
var fingerprintTextLength = base64.RawStdEncoding.EncodedLen(fingerprintBytes)

// Fingerprint identifies a proposal by its content: the first bytes of a SHA-256 sum, in
// Base64. Proposals with different fingerprints differ.
type Fingerprint string

// FingerprintOf returns the fingerprint of a proposal's parts. Each part is preceded by its
// length, so that no two lists of parts are hashed alike.
func FingerprintOf(parts ...string) Fingerprint {
	hash := sha256.New()
	for _, part := range parts {
		_, _ = hash.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	return Fingerprint(base64.RawStdEncoding.EncodeToString(hash.Sum(nil)[:fingerprintBytes]))
}
