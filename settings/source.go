package settings

import (
	"cottonarch.example/cottonarch/control/config/decode"
)

// The keys of a settings file.
const (
	keyAddress          = "address"
	keyBodyMiB          = "maxBodyMiB"
	keyClientAddress    = "clientAddress"
	keyCrossZoneMsPerKB = "crossZoneMsPerKB"
	keyData             = "data"
	keyFounders         = "founders"
	keyHistoryS         = "historyS"
	keyLinkMbps         = "linkMbps"
	keyListen           = "listen"
	keyMaxInFlight      = "maxInFlight"
	keyNode             = "node"
	keyQueue            = "queue"
	keyRetryExtra       = "retryExtra"
	keyRetryNested      = "retryNested"
	keyRetryRatio       = "retryRatio"
	keyRetryWindowS     = "retryWindowS"
	keyRingFileMiB      = "ringFileMiB"
	keyRingFiles        = "ringFiles"
	keySeeds            = "seeds"
	keySenders          = "senders"
	keyServerIDHeader   = "serverIdHeader"
	keyStopS            = "stopS"
	keyVoters           = "voters"
	keyZone             = "zone"
)

// deprecatedNames maps each renamed key to its deprecated name, which this release still accepts.
var deprecatedNames = map[string]string{
	keyBodyMiB:          "bulkMiB",
	keyClientAddress:    "caller",
	keyCrossZoneMsPerKB: "crossMsPerKB",
	keyMaxInFlight:      "hand",
	keyRetryExtra:       "allowanceExtra",
	keyRetryNested:      "allowanceInner",
	keyRetryRatio:       "allowanceRatio",
	keyRetryWindowS:     "allowanceWindowS",
	keyZone:             "district",
}

// DeprecatedKey is a key that a settings file gives under its deprecated name Old.
type DeprecatedKey struct {
	Old, New string
}

// source is the content of a settings file. Invariant: each key is read, and its faults are
// reported, under the name that the file uses for the key.
type source struct {
	object           decode.Object
	deprecatedNameOf map[string]string // for each key that the file gives under its deprecated name
	deprecated       []DeprecatedKey
}

// newSource determines the name that the file uses for each known key; unknown keys are faults.
func newSource(values map[string]any, faults *decode.Faults, known ...string) source {
	s := source{object: decode.Root(values, faults), deprecatedNameOf: map[string]string{}}
	allowed := known
	for _, key := range known {
		old, renamed := deprecatedNames[key]
		if !renamed {
			continue
		}
		allowed = append(allowed, old)
		if !s.object.Has(old) {
			continue
		}
		if s.object.Has(key) {
			s.object.Fault(old, "is the old name of %q, which is given too", key)
			continue
		}
		s.deprecatedNameOf[key] = old
		s.deprecated = append(s.deprecated, DeprecatedKey{Old: old, New: key})
	}
	s.object.RejectUnknown(allowed...)
	return s
}

// nameInFile returns the name that the file uses for a key.
func (s source) nameInFile(key string) string {
	if old, ok := s.deprecatedNameOf[key]; ok {
		return old
	}
	return key
}

func (s source) fault(key, format string, args ...any) {
	s.object.Fault(s.nameInFile(key), format, args...)
}

func (s source) text(key string) string { return s.object.String(s.nameInFile(key), "") }

// requiredText reads a string that must be given. The fault for a missing key also contains the
// deprecated name, because scripts and operators of the last release look for that name.
func (s source) requiredText(key string) string {
	if old, renamed := deprecatedNames[key]; renamed && !s.object.Has(s.nameInFile(key)) {
		s.fault(key, "must be given (%q until the last release)", old)
		return ""
	}
	return s.object.RequiredString(s.nameInFile(key))
}

func (s source) texts(key string) []string { return s.object.Strings(s.nameInFile(key)) }

func (s source) integer(key string, fallback, low, high int64) int64 {
	return s.object.Int(s.nameInFile(key), fallback, low, high)
}

func (s source) number(key string, fallback, low, high float64) float64 {
	return s.object.Float(s.nameInFile(key), fallback, low, high)
}

func (s source) flag(key string) bool { return s.object.Bool(s.nameInFile(key), false) }
