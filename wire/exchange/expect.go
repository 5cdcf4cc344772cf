package exchange

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
)

// sendHeadFirst sends the head of a request alone and waits for the other end's word on its body
// (Expect: 100-continue). may tells that the body is wanted; else end is what became of the
// call. As no byte of the body left, the other end can't have acted on the request: without a
// whole answer it counts as not sent.
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
	return result{response: response, sent: true}, false // the other end may still wait for the body
}

// asNotSent tells of a failure that came before the body of the request left.
func asNotSent(fail *failure.Error) *failure.Error {
	return failure.New(failure.Unreachable, "the request's body was not asked for: %s", fail.Note)
}

// awaitContinue waits for the word on a body: true for 100 Continue, false for a final answer, which
// is left to be read. Other answers that only inform are read past.
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
