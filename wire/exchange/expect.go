package exchange

import (
	"net/http"

	"cottonarch.example/cottonarch/base/failure"
)

// askFirst sends the head of a request alone and waits for the other end's word on its body
// (Expect: 100-continue). may tells that the body is wanted; else end is what became of the
// call. As no byte of the body left, the other end can't have acted on the request: without a
// whole answer it counts as not sent.
func (c *conn) askFirst(call *Call, w *writing) (end ending, may bool) {
	_, d, shut := c.send(call, &writing{head: w.head})
	if shut {
		return c.shutEnding(), false
	}
	if d != nil {
		return ending{d: notSent(d)}, false
	}
	c.openReader()
	defer c.closeReader()
	may, err := c.in.wanted()
	if err != nil {
		return ending{d: notSent(ended(err, false))}, false
	}
	if may {
		return ending{}, true
	}
	ret, _, bad := c.in.read(call, c.shelf.set.Most, c.restFor)
	if bad != nil {
		return ending{d: notSent(bad)}, false
	}
	return ending{ret: ret, sent: true}, false // the other end may still wait for the body
}

// notSent tells of a failure that came before the body of the request left.
func notSent(d *failure.Error) *failure.Error {
	return failure.New(failure.Unreachable, "the request's body was not asked for: %s", d.Note)
}

// wanted waits for the word on a body: true for 100 Continue, false for a final answer, which
// is left to be read. Other answers that only inform are read past.
func (r *reading) wanted() (bool, error) {
	for range inform {
		raw, err := r.until(beginsAnswer)
		if err != nil {
			return false, err
		}
		if raw[9] != '1' {
			return false, nil
		}
		h, err := r.head()
		if err != nil {
			return false, err
		}
		if h.status == http.StatusContinue {
			return r.Buffered() == 0, nil
		}
	}
	return false, errHead
}
