package exchange

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
)

// sendHeadFirst sends only the head of a request and waits for 100 Continue (RFC 9110, section
// 10.1.1). proceed reports whether the body may be sent; if not, res is the result of the call. The
// peer can't have executed the request, because no byte of the body was sent: a call without a
// complete response counts as not sent.
func (c *conn) sendHeadFirst(call *Call, request *encodedRequest) (res result, proceed bool) {
	_, fail, closed := c.send(call, &encodedRequest{head: request.head})
	if closed {
		return c.closedResult(), false
	}
	if fail != nil {
		return result{fail: asNotSent(fail)}, false
	}
	c.attachReader()
	defer c.detachReader()
	proceed, err := c.reader.awaitContinue()
	if err != nil {
		return result{fail: asNotSent(readFailure(err, false))}, false
	}
	if proceed {
		return result{}, true
	}
	response, _, readFail := c.reader.readResponse(call, c.host.settings.MaxBodyBytes, c.applyKeepAlive)
	if readFail != nil {
		return result{fail: asNotSent(readFail)}, false
	}
	return result{response: response, sent: true}, false // no reuse: the peer may still expect the body
}

// asNotSent converts the failure of a call whose body was not sent to a failure that is known not
// to have been executed.
func asNotSent(fail *failure.Error) *failure.Error {
	return failure.New(failure.Unreachable, "the peer did not send 100 Continue, so the request body was not sent: %s", fail.Message)
}

// awaitContinue returns true after 100 Continue, and false if a final response has begun, whose head
// remains unread. Other informational responses are skipped.
func (r *responseReader) awaitContinue() (bool, error) {
	for range maxInformational {
		raw, err := r.peekHead(isResponsePrefix)
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
