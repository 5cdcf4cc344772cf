package validation

import (
	"net"
	"strings"
)

const (
	maxNameLength = 253
	// anyHost is the host of a route that matches every host.
	anyHost = "*"
)

// NormalizeHost returns the form in which hosts are compared: lower case, without port and trailing
// dot.
func NormalizeHost(name string) string {
	if strings.IndexByte(name, ':') >= 0 {
		if host, _, err := net.SplitHostPort(name); err == nil {
			name = host
		}
	}
	return strings.TrimSuffix(strings.ToLower(name), ".")
}

// isStrictName reports whether s consists of at most maxNameLength ASCII letters, digits, dots,
// dashes and underscores, and begins and ends with a letter or a digit.
func isStrictName(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alphanumeric && (i == 0 || i == len(s)-1 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// isLenientName reports whether s is not empty, has at most maxNameLength bytes, and contains
// neither spaces nor control characters of ASCII.
func isLenientName(s string) bool {
	for _, c := range s {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return s != "" && len(s) <= maxNameLength
}

// nameRules holds the functions that check the names in a document. Strict uses strictNames, and
// Lenient uses lenientNames.
type nameRules struct {
	routeName, hostName, serviceName func(string) bool
}

var (
	strictNames = nameRules{
		routeName:   isStrictName,
		hostName:    isStrictName,
		serviceName: func(s string) bool { return isStrictName(s) && NormalizeHost(s) == s },
	}
	lenientNames = nameRules{routeName: isLenientName, hostName: isLenientName, serviceName: isLenientName}
)
