package exchange

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"os"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	// maxInformational is how many 1xx responses may precede the final one.
	maxInformational = 8
	// maxStrayResponses is how many complete responses with other ids may precede a call's own.
	maxStrayResponses = 4
	// maxHeadBytes is the largest head of a response.
	maxHeadBytes = 16 << 10
)

var (
	errMalformedHead = errors.New("the head is malformed")
	errBodyTooLarge  = errors.New("the body is too large")
)

// responseReader reads responses from one connection.
type responseReader struct {
	*bufio.Reader
	textReader textproto.Reader
}

var responseReaders = sync.Pool{New: func() any {
	r := bufio.NewReaderSize(nil, maxHeadBytes)
	return &responseReader{Reader: r, textReader: textproto.Reader{R: r}}
}}

// readResponse reads the call's own response. reusable says whether the connection may carry
// another call; setKeepAlive gets the keep-alive timeout if the peer sent one.
func (r *responseReader) readResponse(
	call *Call, limit int, setKeepAlive func(time.Duration),
) (response *Response, reusable bool, fail *failure.Error) {
	for informational, strayCount := 0, 0; ; strayCount++ {
		h, fail := r.readFinalHead(&informational, strayCount > 0)
		if fail != nil {
			return nil, false, fail
		}
		framing, ok := h.framing(call.Method)
		if !ok {
			return nil, false, failure.NewUnknown(failure.BadResponse, "the response's length is ambiguous")
		}
		isOwn := call.IDHeader == "" || h.hasSingle(call.IDHeader, call.ID)
		if !isOwn && (strayCount == maxStrayResponses || !h.isSkippable(call, framing)) {
			return nil, false, failure.NewUnknown(failure.BadResponse, "the response is not to this request")
		}
		body, err := r.readBody(framing, limit)
		if err != nil {
			return nil, false, bodyFailure(err, limit)
		}
		if !isOwn {
			continue
		}
		if fail := h.validate(call, framing, body); fail != nil {
			return nil, false, fail
		}
		reusable := strayCount == 0 && h.leavesReusable(call, framing)
		if keepAlive, ok := h.keepAlive(); ok && reusable {
			setKeepAlive(keepAlive)
		}
		h.removeHopByHop()
		return &Response{Status: h.status, Header: h.Header, Body: body}, reusable, nil
	}
}

// isSkippable reports whether a response with another id may be skipped: it is certain where it ends
// and that it belongs to another request.
func (h *responseHead) isSkippable(call *Call, framing bodyFraming) bool {
	return !framing.untilClose && h.namesOneRequest(call.IDHeader) && call.Method != http.MethodHead
}

// leavesReusable reports whether the connection may carry another call after this response.
func (h *responseHead) leavesReusable(call *Call, framing bodyFraming) bool {
	return !h.http10 && !framing.untilClose && call.Method != http.MethodHead && !listContains(h.Header["Connection"], "close")
}

// readFinalHead reads the head of the next final response. It skips informational ones and
// counts them over the whole call.
func (r *responseReader) readFinalHead(informational *int, sawStray bool) (responseHead, *failure.Error) {
	for {
		h, err := r.readHead()
		switch {
		case err != nil:
			return h, readFailure(err, sawStray)
		case h.status == http.StatusSwitchingProtocols:
			return h, failure.NewUnknown(failure.BadResponse, "the response changes the protocol")
		case h.status >= http.StatusOK:
			return h, nil
		}
		if *informational++; *informational > maxInformational {
			return h, failure.NewUnknown(failure.BadResponse, "more than %d informational responses", maxInformational)
		}
	}
}

// readFailure is the failure of a response whose head did not arrive.
func readFailure(err error, sawStray bool) *failure.Error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NewUnknown(failure.DeadlineExceeded, "no response in time")
	case sawStray:
		return failure.NewUnknown(failure.BadResponse, "the last response is not to this request")
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET):
		return failure.NewUnknown(failure.LostResponse, "the connection ended before the response")
	}
	return failure.NewUnknown(failure.BadResponse, "the response can't be read")
}

// bodyFailure is the failure of a response whose body did not arrive complete.
func bodyFailure(err error, limit int) *failure.Error {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return failure.NewUnknown(failure.BadResponse, "the response is over %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NewUnknown(failure.DeadlineExceeded, "the response was not complete in time")
	}
	return failure.NewUnknown(failure.BadResponse, "the response was interrupted")
}
