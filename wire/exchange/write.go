package exchange

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
)

// encodedRequest is a request as it goes out. Invariant: body is either empty, then head holds
// all, or the call's own bytes, which are not copied.
type encodedRequest struct {
	head []byte
	body []byte
}

var encodedRequests = sync.Pool{New: func() any { return &encodedRequest{head: make([]byte, 0, 2<<10)} }}

func (r *encodedRequest) recycle() {
	r.body = nil
	if cap(r.head) <= 4*singleWriteMax {
		encodedRequests.Put(r)
	}
}

// IsHopByHop tells whether a header, by its canonical name, belongs to one connection only.
func IsHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect", "Content-Length":
		return true
	}
	return false
}

// encode puts the target on the wire as it came.
func (r *encodedRequest) encode(call *Call) *failure.Error {
	if !isToken(call.Method) || !isVisible(call.Target) || !isVisible(call.Host) {
		return failure.New(failure.Malformed, "the method, target or host can't be sent")
	}
	b := r.head[:0]
	b = append(b, call.Method...)
	b = append(b, ' ')
	b = append(b, call.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, call.Host...)
	b = append(b, '\r', '\n')
	valid := true
	appendField := func(name, value string) {
		valid = valid && isToken(name) && isFieldValue(value)
		b = append(b, name...)
		b = append(b, ':', ' ')
		b = append(b, value...)
		b = append(b, '\r', '\n')
	}
	if call.IDHeader != "" {
		appendField(call.IDHeader, call.ID)
	}
	for _, field := range call.HeaderOverrides {
		if field.Value != "" {
			appendField(field.Name, field.Value)
		}
	}
	connectionFields := call.Header["Connection"]
	for name, values := range call.Header {
		if IsHopByHop(textproto.CanonicalMIMEHeaderKey(name)) || equalNames(name, "Host") || call.overrides(name) || connectionFields != nil && listContains(connectionFields, name) {
			continue
		}
		for _, value := range values {
			appendField(name, value)
		}
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(call.Body)), 10)
		b = append(b, '\r', '\n')
	}
	if call.ExpectContinue && len(call.Body) > singleWriteMax {
		b = append(b, "Expect: 100-continue\r\n"...)
	}
	if call.SingleUse {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, '\r', '\n')
	r.body = nil
	if len(call.Body) <= singleWriteMax {
		b = append(b, call.Body...)
	} else {
		r.body = call.Body
	}
	r.head = b
	if !valid {
		return failure.New(failure.Malformed, "a header can't be sent")
	}
	return nil
}

// overrides tells whether the call itself sets a header.
func (c *Call) overrides(name string) bool {
	if c.IDHeader != "" && equalNames(c.IDHeader, name) {
		return true
	}
	for _, field := range c.HeaderOverrides {
		if equalNames(field.Name, name) {
			return true
		}
	}
	return false
}

func equalNames(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// listContains tells whether a name is among the comma-separated ones of some fields.
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

// tokenBytes holds the bytes that a header name or a method may have.
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

// isVisible tells whether a text holds neither space nor control bytes.
func isVisible(s string) bool {
	for n := range len(s) {
		if s[n] <= ' ' || s[n] == 0x7f {
			return false
		}
	}
	return s != ""
}

// isFieldValue tells whether a header's value holds no control bytes but tabs.
func isFieldValue(s string) bool {
	for n := range len(s) {
		if s[n] < ' ' && s[n] != '\t' || s[n] == 0x7f {
			return false
		}
	}
	return true
}
