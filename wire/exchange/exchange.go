// Package exchange sends one request exactly once and reads its return whole. It
// reads heads with net/textproto and chunks with net/http's own reader, but does not
// use net/http's client: that one silently sends again what broke on a kept
// connection, which here would be a further try that nobody counted, or a second run.
package exchange

import (
	"context"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// Settings bound a Pool. What is zero takes the default named with it.
type Settings struct {
	// DialTimeout is the longest a new connection may take to come up: 300 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept when its other end has not told a
	// time of its own: 8 s.
	IdleTimeout time.Duration
	// KeepAliveMargin is taken off the time that the other end told by Keep-Alive, so that a
	// request does not meet the close on its way: 0.5 s.
	KeepAliveMargin time.Duration
	// DeadPeerTimeout is how long sent bytes may stay unacknowledged, or probes unanswered,
	// before the connection is given up: 3 s. Probes go by whole seconds.
	DeadPeerTimeout time.Duration
	// MaxConns is the most open connections to one address at once; 0 sets no bound.
	MaxConns int
	// MaxIdleConns is the most unused connections kept for one address: 64.
	MaxIdleConns int
	// MaxBodyBytes is the largest body of a return, in bytes: ReturnMax.
	MaxBodyBytes int
}

// DefaultMaxBodyBytes is the largest body of a return that is passed on, when nothing else is set.
const DefaultMaxBodyBytes = 16 << 20

func (s Settings) withDefaults() Settings {
	for _, setting := range []struct {
		at  *time.Duration
		std time.Duration
	}{{&s.DialTimeout, 300 * time.Millisecond}, {&s.IdleTimeout, 8 * time.Second}, {&s.KeepAliveMargin, 500 * time.Millisecond}, {&s.DeadPeerTimeout, 3 * time.Second}} {
		if *setting.at == 0 {
			*setting.at = setting.std
		}
	}
	if s.MaxIdleConns == 0 {
		s.MaxIdleConns = 64
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return s
}

// Response is a whole return. Header holds none of the headers that belong to one
// connection, but Content-Length as it came. Both are the caller's own.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// HeaderField is one header field.
type HeaderField struct{ Name, Value string }

// Call is one request. Header and Body are only read, so several calls may share them.
// Headers that belong to one connection are never passed on, whoever set them.
type Call struct {
	Method, Target, Host string
	Header               http.Header
	// HeaderOverrides is laid over Header: each field stands in place of all of that name; an empty
	// value takes the name out.
	HeaderOverrides []HeaderField
	Body            []byte
	// IDHeader and Id: the request carries them, and only a return that echoes them is
	// this call's own. A whole return of another id that comes first is read past, a few
	// times. Without IdHeader the order on the connection alone tells whose a return is:
	// then nothing is sure about an end that speaks unasked.
	IDHeader, ID string
	// RequiredHeader is a header without which a 2xx is no return.
	RequiredHeader string
	// Unencoded says that the body was asked for without encoding: an encoded one is no return.
	Unencoded bool
	// SingleUse asks for a connection that carries this call only and is closed after it.
	SingleUse bool
	// MaxIdleAge asks for a connection that was in use within this span, or else a new one:
	// for calls that may not be repeated. 0 takes any kept connection.
	MaxIdleAge time.Duration
	// MaxConns, when above 0, stands in place of the settings' bound for this address.
	MaxConns int
	// WaitForConn lets the call wait, up to its end, while the bound is reached. Else it is
	// turned away at once as Busy, not sent.
	WaitForConn bool
	// ExpectContinue has a body that does not leave in one piece with the head asked for first: it is
	// sent once the other end wants it. The other end must act on no request whose body it
	// has not read.
	ExpectContinue bool
	// Deadline is the moment the call ends, beside the context's own; a Background context
	// with Until costs least.
	Deadline time.Time
	// BeforeSend is asked just before the first byte, after any dial.
	BeforeSend func() *failure.Error
}

// Do sends the call once. sent is false only when no byte of it left this process;
// whatever is told after a byte left, other than a return, has an unknown outcome.
// Defects: Malformed, Unreached, Busy and those of Last are not sent; Late may be
// either; LostReturn and BadReturn were sent.
func (pool *Pool) Do(ctx context.Context, addr ident.Addr, call Call) (response *Response, sent bool, fail *failure.Error) {
	if deadline, ok := ctx.Deadline(); ok && (call.Deadline.IsZero() || deadline.Before(call.Deadline)) {
		call.Deadline = deadline
	}
	request := encodedRequests.Get().(*encodedRequest)
	defer request.recycle()
	if fail := request.encode(&call); fail != nil {
		return nil, false, fail
	}
	for {
		c, reused, fail := pool.acquire(ctx, addr, &call)
		if fail != nil {
			return nil, false, fail
		}
		res := c.roundTrip(ctx, &call, request)
		pool.release(c, res.reusable)
		if reused && res.connClosed {
			continue // not a byte left: another connection may carry it
		}
		return res.response, res.sent, res.fail
	}
}

// result is what became of a call on one connection. Invariant: sent is false only if
// no byte left; shut implies not sent and says that the connection took nothing.
type result struct {
	response                   *Response
	sent, reusable, connClosed bool
	fail                       *failure.Error
}

// roundTrip asks Last, writes the request and reads its return.
func (c *conn) roundTrip(ctx context.Context, call *Call, request *encodedRequest) (res result) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		defer func() { res.reusable = stop() && res.reusable }()
	}
	if call.BeforeSend != nil {
		if fail := call.BeforeSend(); fail != nil {
			return result{fail: fail, reusable: !call.SingleUse}
		}
	}
	sent, fail, closed := 0, (*failure.Error)(nil), false
	if call.ExpectContinue && len(request.body) > 0 {
		if res, wanted := c.sendHeadFirst(call, request); !wanted {
			return res
		}
		sent, fail = c.write(request.body, nil)
	} else {
		sent, fail, closed = c.send(call, request)
	}
	if closed {
		return c.closedResult()
	}
	if fail != nil && sent == 0 {
		return result{fail: fail}
	}
	identified := call.IDHeader != "" || !call.SingleUse
	if fail != nil && !identified {
		return result{sent: true, fail: fail}
	}
	// Who turns a request away may do so before it is whole, and close: what it said is
	// still there to read, and its id tells that it is meant for this call.
	c.attachReader()
	defer c.detachReader()
	response, reusable, readFail := c.reader.readResponse(call, c.host.settings.MaxBodyBytes, c.limitIdle)
	if readFail == nil && call.SingleUse && call.IDHeader == "" {
		readFail = c.checkNothingFollows()
	}
	reusable = reusable && fail == nil && c.reader.Buffered() == 0
	if readFail != nil {
		if fail != nil {
			readFail = fail
		}
		return result{sent: true, fail: readFail}
	}
	return result{response: response, sent: true, reusable: reusable && !call.SingleUse}
}
