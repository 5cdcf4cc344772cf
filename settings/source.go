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

// deprecatedNames are the old names of keys; this release reads them still.
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

// DeprecatedKey is a key that a settings file gave under its old name.
type DeprecatedKey struct {
	Old, New string
}

// source is a settings file as read. Invariant: each key is read, and its faults are named,
// under the name that the file gives it.
type source struct {
	object     decode.Object
	givenAs    map[string]string // old names, by key
	deprecated []DeprecatedKey
}

// newSource reads the names of the keys; those that are not known are faults.
func newSource(values map[string]any, faults *decode.Faults, known ...string) source {
	s := source{object: decode.Root(values, faults), givenAs: map[string]string{}}
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
		s.givenAs[key] = old
		s.deprecated = append(s.deprecated, DeprecatedKey{Old: old, New: key})
	}
	s.object.RejectUnknown(allowed...)
	return s
}

// name is the name that the file gives a key.
func (s source) name(key string) string {
	if old, ok := s.givenAs[key]; ok {
		return old
	}
	return key
}

func (s source) fault(key, format string, args ...any) {
	s.object.Fault(s.name(key), format, args...)
}

func (s source) text(key string) string { return s.object.String(s.name(key), "") }

// requiredText reads a text that has to be given. A fault of a key that is not there names its
// old name too, which scripts and operators of the last release look for.
func (s source) requiredText(key string) string {
	if old, renamed := deprecatedNames[key]; renamed && !s.object.Has(s.name(key)) {
		s.fault(key, "must be given (%q until the last release)", old)
		return ""
	}
	return s.object.RequiredString(s.name(key))
}

func (s source) texts(key string) []string { return s.object.Strings(s.name(key)) }

func (s source) integer(key string, fallback, low, high int64) int64 {
	return s.object.Int(s.name(key), fallback, low, high)
}

func (s source) number(key string, fallback, low, high float64) float64 {
	return s.object.Float(s.name(key), fallback, low, high)
}

func (s source) flag(key string) bool { return s.object.Bool(s.name(key), false) }
