package exchange

import (
	"net/textproto"
	"strings"
)

// IsHopByHop reports whether the header with the given canonical name applies to a single connection
// only. Content-Length is such a header, because each hop writes its own.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length":
		return true
	}
	return false
}

func equalNames(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// listContains reports whether name is an item of one of the comma-separated lists in fields.
func listContains(fields []string, name string) bool {
	for _, field := range fields {
		for item := range strings.SplitSeq(field, ",") {
			if equalNames(textproto.TrimString(item), name) {
				return true
			}
		}
	}
	return false
}

// tokenBytes marks the bytes that a token, such as a header name or a method, may contain (RFC 9110,
// section 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		table[b] = true
	}
	return table
}()

func isToken(s string) bool {
	for n := range len(s) {
		if !tokenBytes[s[n]] {
			return false
		}
	}
	return s != ""
}

// isVisible reports whether s is not empty and contains neither spaces nor control bytes.
func isVisible(s string) bool {
	for n := range len(s) {
		if s[n] <= ' ' || s[n] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s contains no control bytes except tabs.
func isFieldValue(s string) bool {
	for n := range len(s) {
		if s[n] < ' ' && s[n] != '\t' || s[n] == 0x7f {
			return false
		}
	}
	return true
}
