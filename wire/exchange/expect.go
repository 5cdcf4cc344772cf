package exchange

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
)

// sendHeadFirst sends the head of a request alone and waits for 100 Continue (RFC 9110, section
// 10.1.1). wanted tells that the body may follow; otherwise res is the result of the call. As no
// byte of the body left, the peer can't have acted on the request: without a complete response
// it counts as not sent.
func (c *conn) sendHeadFirst(call *Call, request *encodedRequest) (res result, wanted bool) {
	_, fail, closed := c.send(call, &encodedRequest{head: request.head})
	if closed {
		return c.closedResult(), false
	}
	if fail != nil {
		return result{fail: asNotSent(fail)}, false
	}
	c.attachReader()
	defer c.detachReader()
	wanted, err := c.reader.awaitContinue()
	if err != nil {
		return result{fail: asNotSent(readFailure(err, false))}, false
	}
	if wanted {
		return result{}, true
	}
	response, _, readFail := c.reader.readResponse(call, c.host.settings.MaxBodyBytes, c.limitIdle)
	if readFail != nil {
		return result{fail: asNotSent(readFail)}, false
	}
	return result{response: response, sent: true}, false // the peer may still wait for the body
}

// asNotSent is the failure of a call whose body was never sent.
func asNotSent(fail *failure.Error) *failure.Error {
	return failure.New(failure.Unreachable, "the request's body was not asked for: %s", fail.Message)
}

// awaitContinue returns true for 100 Continue and false for a final response, which is left to
// be read. Other informational responses are skipped.
func (r *responseReader) awaitContinue() (bool, error) {
	for range maxInformational {
		raw, err := r.peekHead(beginsResponse)
		if err != nil {
			return false, err
		}
		if raw[9] != '1' {
			return false, nil
		}
		h, err := r.readHead()
		if err != nil {
			return false, err
		}
		if h.status == http.StatusContinue {
			return r.Buffered() == 0, nil
		}
	}
	return false, errMalformedHead
}
