package exchange

import (
	"net/http"
	"net/textproto"
	"strconv"
	"sync"

	"cottonarch.example/cottonarch/base/failure"
)

// encodedRequest is the wire format of a request. Invariant: either body is empty and head holds the
// whole request, or body is the uncopied Body of the call.
type encodedRequest struct {
	head []byte
	body []byte
}

// headCapacity is the initial capacity of the head of a pooled encodedRequest, in bytes.
const headCapacity = 2 << 10

var encodedRequests = sync.Pool{New: func() any { return &encodedRequest{head: make([]byte, 0, headCapacity)} }}

// recycle returns r to the pool unless the buffer of the head has grown beyond four times
// singleWriteMaxBytes.
func (r *encodedRequest) recycle() {
	r.body = nil
	if cap(r.head) <= 4*singleWriteMaxBytes {
		encodedRequests.Put(r)
	}
}

// encode sets r to the wire format of the call: the head, followed by a body of up to
// singleWriteMaxBytes. The target is written unchanged. encode fails as Malformed if a server could
// not parse the result as one request with the parts of the call.
func (r *encodedRequest) encode(call *Call) *failure.Error {
	if !isToken(call.Method) || !isVisible(call.Target) || !isVisible(call.Host) {
		return failure.New(failure.Malformed, "the request method, target or host contains an invalid character or is empty")
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
	if len(call.Body) <= singleWriteMaxBytes {
		b = append(b, call.Body...)
	} else {
		r.body = call.Body
	}
	r.head = b
	if !valid {
		return failure.New(failure.Malformed, "a request header contains an invalid character or has an empty name")
	}
	return nil
}

// appendHeader appends the header fields of the call to b and reports whether all fields are valid.
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

// appendFraming appends the fields Content-Length, Expect and Connection that the request needs.
func appendFraming(b []byte, call *Call) []byte {
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut || call.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(call.Body)), 10)
		b = append(b, '\r', '\n')
	}
	if call.ExpectContinue && len(call.Body) > singleWriteMaxBytes {
		b = append(b, "Expect: 100-continue\r\n"...)
	}
	if call.SingleUse {
		b = append(b, "Connection: close\r\n"...)
	}
	return b
}
