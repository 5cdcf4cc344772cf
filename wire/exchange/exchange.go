// Package exchange sends an HTTP/1.1 request at most once and reads the complete response. The
// package parses heads with net/textproto and chunks with net/http/httputil, but does not use the
// client of net/http: that client silently resends a request when a pooled connection fails, which
// would be a retry outside the retry budget or a second execution of the request.
package exchange

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// result is the result of a call on one connection. Invariant: sent is false only if no byte of
// the request was sent. connClosed means that the connection was closed, or had unread bytes,
// before the request was sent, and implies that sent is false.
type result struct {
	response                   *Response
	sent, reusable, connClosed bool
	fail                       *failure.Error
}

// Do sends the call once and returns the complete response. sent is false only if no byte of the
// request was sent; any failure after the first byte has an unknown outcome. A call that fails as
// Malformed, Unreachable or Busy, or with the failure of BeforeSend, was not sent. A call that fails
// as LostResponse or BadResponse was sent. A call that fails as DeadlineExceeded may or may not have
// been sent.
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
			continue // no byte was sent, so the call may use another connection
		}
		return res.response, res.sent, res.fail
	}
}

// roundTrip calls BeforeSend, writes the request and reads the response.
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
		if res, proceed := c.sendHeadFirst(call, request); !proceed {
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
	return c.receive(call, fail)
}

// receive reads the response to a request that was written at least in part. sendFail is the failure
// that interrupted the write, or nil. A server may reject a request and close the connection before
// the server has read the whole request; the response can still be read, and its id shows that the
// response belongs to this call.
func (c *conn) receive(call *Call, sendFail *failure.Error) result {
	identified := call.IDHeader != "" || !call.SingleUse
	if sendFail != nil && !identified {
		return result{sent: true, fail: sendFail}
	}
	c.attachReader()
	defer c.detachReader()
	response, reusable, fail := c.reader.readResponse(call, c.host.settings.MaxBodyBytes, c.applyKeepAlive)
	if fail == nil && call.SingleUse && call.IDHeader == "" {
		fail = c.checkNoTrailingData()
	}
	if fail != nil {
		if sendFail != nil {
			fail = sendFail
		}
		return result{sent: true, fail: fail}
	}
	reusable = reusable && sendFail == nil && c.reader.Buffered() == 0 && !call.SingleUse
	return result{response: response, sent: true, reusable: reusable}
}
