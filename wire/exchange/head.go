package exchange

import (
	"bytes"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// responseHead is the status line and the header of a response.
type responseHead struct {
	status int
	http10 bool // HTTP/1.0
	http.Header
}

var (
	versionPrefix = []byte("HTTP/1.")
	headEnd       = []byte("\r\n\r\n")
)

// readHead waits for a complete head and reads it. Bytes that begin no head fail as soon as
// they are seen.
func (r *responseReader) readHead() (h responseHead, err error) {
	raw, err := r.peekHead(beginsResponse)
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

// parseStatusLine reads "HTTP/1.x NNN" and an optional reason. The prefix is checked already.
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

// beginsResponse reports whether the bytes may be the beginning of a response.
func beginsResponse(b []byte) bool {
	n := min(len(b), len(versionPrefix))
	return bytes.Equal(b[:n], versionPrefix[:n])
}

// peekHead waits for an empty line and returns the bytes up to it, if they are well-formed. It
// consumes nothing. begins reports whether the bytes so far may begin a head.
func (r *responseReader) peekHead(begins func([]byte) bool) ([]byte, error) {
	for seen := 0; ; {
		_, err := r.Peek(seen + 1)
		raw, _ := r.Peek(r.Buffered())
		if !begins(raw) {
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

// isWellFormed reports whether a head, which ends with CR LF CR LF, has no control bytes, no bare
// line ends and no folded lines.
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

// hasSingle reports whether the response has a header once, with that value.
func (h *responseHead) hasSingle(name, value string) bool {
	values := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(values) == 1 && values[0] == value
}

// namesOneRequest reports whether the response has one request id, as a stray response does.
func (h *responseHead) namesOneRequest(name string) bool {
	values := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(values) == 1 && values[0] != ""
}

// keepAlive returns how long the peer keeps an unused connection, which it gives in whole
// seconds.
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

// removeHopByHop removes the headers that belong to the connection, except the length.
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
