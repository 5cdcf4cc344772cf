package exchange

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// responseHead holds the status, the version and the header of a response.
type responseHead struct {
	status int
	http10 bool // the version is HTTP/1.0, not HTTP/1.1
	http.Header
}

var (
	versionPrefix = []byte("HTTP/1.")
	headEnd       = []byte("\r\n\r\n")
)

// readHead waits for a complete head and parses the head. Bytes that can't begin a head cause an
// error as soon as they arrive.
func (r *responseReader) readHead() (h responseHead, err error) {
	raw, err := r.peekHead(isResponsePrefix)
	if err != nil {
		return h, err
	}
	statusLine := raw[:bytes.IndexByte(raw, '\r')]
	if !h.parseStatusLine(statusLine) {
		return h, errMalformedHead
	}
	if _, err := r.Discard(len(statusLine) + 2); err != nil {
		return h, err
	}
	fields, err := r.textReader.ReadMIMEHeader()
	if err != nil {
		return h, errMalformedHead
	}
	h.Header = http.Header(fields)
	return h, nil
}

// parseStatusLine parses "HTTP/1.x NNN" and an optional reason phrase. The caller has checked the
// prefix "HTTP/1.".
func (h *responseHead) parseStatusLine(line []byte) bool {
	const (
		minor  = len("HTTP/1.")
		code   = minor + 2
		reason = code + 3
	)
	if len(line) < reason || line[minor] != '0' && line[minor] != '1' || line[minor+1] != ' ' || len(line) > reason && line[reason] != ' ' {
		return false
	}
	for _, b := range line[code:reason] {
		if b < '0' || b > '9' {
			return false
		}
		h.status = h.status*10 + int(b-'0')
	}
	h.http10 = line[minor] == '0'
	return h.status >= http.StatusContinue
}

// isResponsePrefix reports whether b can be the beginning of a response.
func isResponsePrefix(b []byte) bool {
	n := min(len(b), len(versionPrefix))
	return bytes.Equal(b[:n], versionPrefix[:n])
}

// peekHead waits for an empty line and returns the bytes up to and including the empty line, if
// they are well-formed. The bytes remain unread. isPrefix reports whether the bytes received so far
// can be the beginning of a head.
func (r *responseReader) peekHead(isPrefix func([]byte) bool) ([]byte, error) {
	for seen := 0; ; {
		_, err := r.Peek(seen + 1)
		raw, _ := r.Peek(r.Buffered())
		if !isPrefix(raw) {
			return nil, errMalformedHead
		}
		if n := bytes.Index(raw[max(seen-3, 0):], headEnd); n >= 0 {
			raw = raw[:max(seen-3, 0)+n+len(headEnd)]
			if !isWellFormed(raw) {
				return nil, errMalformedHead
			}
			return raw, nil
		}
		if err != nil {
			return nil, err
		}
		if seen = len(raw); seen >= maxHeadBytes {
			return nil, errMalformedHead
		}
	}
}

// isWellFormed reports whether a head, which ends with CR LF CR LF, has no control bytes except
// tabs, no bare CR or LF and no folded lines.
func isWellFormed(raw []byte) bool {
	for n := 0; n < len(raw); n++ {
		b := raw[n]
		if b >= ' ' && b != 0x7f || b == '\t' {
			continue
		}
		if b != '\r' || n+1 >= len(raw) || raw[n+1] != '\n' {
			return false
		}
		n++
		if n+1 < len(raw) && (raw[n+1] == ' ' || raw[n+1] == '\t') {
			return false
		}
	}
	return true
}

// hasSingleValue reports whether the response has the named header exactly once, with that value.
func (h *responseHead) hasSingleValue(name, value string) bool {
	values := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(values) == 1 && values[0] == value
}

// hasSingleID reports whether the response has the named request id header exactly once and not
// empty, as the response to another request has.
func (h *responseHead) hasSingleID(name string) bool {
	values := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(values) == 1 && values[0] != ""
}

// keepAlive returns the timeout in whole seconds that the peer announces in Keep-Alive, and whether
// the response has such a timeout.
func (h *responseHead) keepAlive() (time.Duration, bool) {
	for _, field := range h.Header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(textproto.TrimString(parameter), "=")
			if !strings.EqualFold(textproto.TrimString(name), "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(textproto.TrimString(value)); err == nil && seconds >= 0 {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// removeHopByHop removes the hop-by-hop fields except Content-Length.
func (h *responseHead) removeHopByHop() {
	if connectionFields := h.Header["Connection"]; connectionFields != nil {
		for name := range h.Header {
			if name != "Content-Length" && listContains(connectionFields, name) {
				delete(h.Header, name)
			}
		}
	}
	for name := range h.Header {
		if name != "Content-Length" && IsHopByHop(name) {
			delete(h.Header, name)
		}
	}
}
