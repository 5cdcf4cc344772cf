package exchange

import (
	"net/http"
	"net/textproto"
	"strconv"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
)

// encodedRequest is a request as it is written to the connection. Invariant: either body is
// empty and head holds everything, or body is the call's own bytes, which are not copied.
type encodedRequest struct {
	head []byte
	body []byte
}

// headCapacity is the initial capacity of a pooled head, in bytes.
const headCapacity = 2 << 10

var encodedRequests = sync.Pool{New: func() any { return &encodedRequest{head: make([]byte, 0, headCapacity)} }}

// recycle returns the request to the pool, unless its buffer has grown large.
func (r *encodedRequest) recycle() {
	r.body = nil
	if cap(r.head) <= 4*singleWriteMax {
		encodedRequests.Put(r)
	}
}

// encode writes the head, and a small body behind it. The target is copied as it is. A call
// that would not be read back as one request with these parts is Malformed.
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
	b, valid := appendHeader(b, call)
	b = appendFraming(b, call)
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

// appendHeader appends the call's header fields, and reports whether all of them are valid.
func appendHeader(b []byte, call *Call) (out []byte, valid bool) {
	valid = true
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
		if IsHopByHop(textproto.CanonicalMIMEHeaderKey(name)) || equalNames(name, "Host") ||
			call.overrides(name) || connectionFields != nil && listContains(connectionFields, name) {
			continue
		}
		for _, value := range values {
			appendField(name, value)
		}
	}
	return b, valid
}

// appendFraming appends the fields of this connection: length, expectation, close.
func appendFraming(b []byte, call *Call) []byte {
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
	return b
}
