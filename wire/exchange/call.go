package exchange

import (
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

// HeaderField is the name and the value of one header field.
type HeaderField struct{ Name, Value string }

// Call is one request. Do only reads Header and Body, so several calls may share them. Hop-by-hop
// fields (RFC 9110, section 7.6.1) in Header are not sent.
type Call struct {
	Method, Target, Host string
	Header               http.Header
	// HeaderOverrides replaces fields of Header: each override replaces all fields with its
	// name, and an override with an empty value removes all fields with its name.
	HeaderOverrides []HeaderField
	Body            []byte
	// IDHeader and ID are the name and the value of a header that the request carries and that
	// the response to this call must echo. Up to maxStrayResponses complete responses with
	// other ids are skipped before the response to this call. Without IDHeader, responses are
	// matched only by their order on the connection, so an unsolicited response of the peer may
	// be taken for the response to this call.
	IDHeader, ID string
	// RequiredHeader is a header without which a 2xx response is invalid.
	RequiredHeader string
	// RejectEncoded makes a response with a content encoding other than identity invalid, for
	// a client that has not asked for an encoding.
	RejectEncoded bool
	// SingleUse requests a new connection that carries only this call and is then closed.
	SingleUse bool
	// MaxIdleAge is the longest time that a reused connection may have been idle. If all idle
	// connections are older, a new connection is dialed. The limit is for calls that must not
	// be retried; 0 accepts any pooled connection.
	MaxIdleAge time.Duration
	// MaxConns, if greater than 0, replaces Settings.MaxConns for this call.
	MaxConns int
	// WaitForConn makes the call wait for a connection, up to the call's deadline, while the
	// connection limit is reached. Without WaitForConn, such a call fails immediately as Busy
	// and is not sent.
	WaitForConn bool
	// ExpectContinue sends Expect: 100-continue with a body that does not fit into one write
	// with the head, and sends the body only after 100 Continue. The peer must not execute a
	// request whose body the peer has not read.
	ExpectContinue bool
	// Deadline ends the call, as does the deadline of the context, whichever is earlier. A
	// Background context with a Deadline is the cheapest combination.
	Deadline time.Time
	// BeforeSend is called after a connection is established and just before the first byte is
	// written. If BeforeSend fails, the call ends with that failure and is not sent.
	BeforeSend func() *failure.Error
}

// overrides reports whether IDHeader or HeaderOverrides sets the named header.
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

// withholdsLastByte reports whether the last byte of the body is sent only after a check that
// no response has arrived. A response that arrives before the request is complete belongs to no
// request, and without an id only that check can detect such a response.
func (c *Call) withholdsLastByte(body []byte) bool {
	return c.SingleUse && c.IDHeader == "" && len(body) > holdBackMinBytes
}

// Response is a complete response. Header holds no hop-by-hop fields except Content-Length, which
// has the value that the peer sent. The caller may modify Header and Body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}
