package exchange

import (
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// HeaderField is one header field.
type HeaderField struct{ Name, Value string }

// Call is one request. Header and Body are only read, so several calls may share them.
// Hop-by-hop headers (RFC 9110, section 7.6.1) are never passed on, whoever set them.
type Call struct {
	Method, Target, Host string
	Header               http.Header
	// HeaderOverrides is laid over Header: each field replaces all fields of its name; an
	// empty value removes them.
	HeaderOverrides []HeaderField
	Body            []byte
	// IDHeader and ID: the request carries them, and only a response that echoes them is
	// this call's own. A complete response with another id that comes first is skipped, up to
	// maxStrayResponses times. Without IDHeader, responses are matched by their order on the
	// connection alone, so one that the peer sends unsolicited may be taken for the call's.
	IDHeader, ID string
	// RequiredHeader is a header without which a 2xx response is invalid.
	RequiredHeader string
	// RejectEncoded makes a response with a content encoding other than identity invalid, for
	// a client that has not asked for an encoding.
	RejectEncoded bool
	// SingleUse asks for a connection that carries this call only and is closed after it.
	SingleUse bool
	// MaxIdleAge asks for a connection that was in use within this time, or else a new one:
	// for calls that must not be retried. 0 accepts any pooled connection.
	MaxIdleAge time.Duration
	// MaxConns, when above 0, replaces the settings' limit for this address.
	MaxConns int
	// WaitForConn lets the call wait, up to its deadline, while the connection limit is
	// reached. Otherwise it fails at once as Busy, not sent.
	WaitForConn bool
	// ExpectContinue sends Expect: 100-continue with a body that does not fit into one write
	// with the head, and the body only after 100 Continue. The peer must not act on a request
	// whose body it has not read.
	ExpectContinue bool
	// Deadline is when the call ends, beside the context's own deadline; a Background context
	// with Deadline costs least.
	Deadline time.Time
	// BeforeSend is called just before the first byte is written, after any dial; a failure
	// cancels the call.
	BeforeSend func() *failure.Error
}

// overrides reports whether the call itself sets a header.
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

// holdsBackLastByte reports whether the last byte of the body waits until the connection is
// seen to be quiet: a response that comes before the request is complete belongs to no
// request, and without an id nothing else reveals that.
func (c *Call) holdsBackLastByte(body []byte) bool {
	return c.SingleUse && c.IDHeader == "" && len(body) > holdBackMin
}

// Response is a complete response. Header holds no hop-by-hop headers except Content-Length
// as it came. Header and Body belong to the caller.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}
