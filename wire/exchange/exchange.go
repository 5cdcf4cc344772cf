// Package exchange sends one HTTP/1.1 request exactly once and reads its complete response.
// It parses heads with net/textproto and chunks with net/http/httputil, but does not use
// net/http's client: that one silently sends a request again when a pooled connection broke,
// which here would be a retry outside the retry budget, or a second execution.
package exchange

import (
	"context"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
)

// result is the outcome of a call on one connection. Invariant: sent is false only if no
// byte left; connClosed implies not sent and says that the connection took nothing.
type result struct {
	response                   *Response
	sent, reusable, connClosed bool
	fail                       *failure.Error
}

// Do sends the call once. sent is false only when no byte of it left this process; any
// failure after a byte left has an unknown outcome. Failures by kind: Malformed,
// Unreachable, Busy and those of BeforeSend were not sent; DeadlineExceeded may be either;
// LostResponse and BadResponse were sent.
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
			continue // no byte left: another connection may carry the call
		}
		return res.response, res.sent, res.fail
	}
}

// roundTrip calls BeforeSend, writes the request and reads its response.
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
	return c.receive(call, fail)
}

// receive reads the response to a request of which a part at least was written; sendFail is
// what ended the writing early. A server may reject a request before it has read all of it
// and close: its response can still be read, and the id tells that it belongs to this call.
func (c *conn) receive(call *Call, sendFail *failure.Error) result {
	identified := call.IDHeader != "" || !call.SingleUse
	if sendFail != nil && !identified {
		return result{sent: true, fail: sendFail}
	}
	c.attachReader()
	defer c.detachReader()
	response, reusable, fail := c.reader.readResponse(call, c.host.settings.MaxBodyBytes, c.limitIdle)
	if fail == nil && call.SingleUse && call.IDHeader == "" {
		fail = c.checkNothingFollows()
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
