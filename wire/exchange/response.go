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
	// maxInformational is how many 1xx responses may precede the final response.
	maxInformational = 8
	// maxStrayResponses is how many complete responses with other ids may precede the response to
	// a call.
	maxStrayResponses = 4
	// maxHeadBytes is the largest size of a response head.
	maxHeadBytes = 16 << 10
)

var (
	errMalformedHead = errors.New("the response head is malformed")
	errBodyTooLarge  = errors.New("the response body exceeds the limit")
)

// responseReader reads responses from a connection. textReader reads from the same bufio.Reader.
type responseReader struct {
	*bufio.Reader
	textReader textproto.Reader
}

var responseReaders = sync.Pool{New: func() any {
	r := bufio.NewReaderSize(nil, maxHeadBytes)
	return &responseReader{Reader: r, textReader: textproto.Reader{R: r}}
}}

// readResponse reads the response to the call, with a body of at most limit bytes. reusable reports
// whether the connection may carry another call. If so, setKeepAlive is called with the keep-alive
// timeout that the peer sent, if any.
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
			return nil, false, failure.NewUnknown(failure.BadResponse, "the framing of the response with status %d is invalid or ambiguous", h.status)
		}
		isOwn := call.IDHeader == "" || h.hasSingleValue(call.IDHeader, call.ID)
		if !isOwn && (strayCount == maxStrayResponses || !h.isSkippable(call, framing)) {
			return nil, false, failure.NewUnknown(failure.BadResponse, "the response does not carry the %s of the request", call.IDHeader)
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
		reusable := strayCount == 0 && h.allowsReuse(call, framing)
		if keepAlive, ok := h.keepAlive(); ok && reusable {
			setKeepAlive(keepAlive)
		}
		h.removeHopByHop()
		return &Response{Status: h.status, Header: h.Header, Body: body}, reusable, nil
	}
}

// isSkippable reports whether a response with another id may be skipped, because both the end of the
// response and the fact that the response belongs to another request are certain.
func (h *responseHead) isSkippable(call *Call, framing bodyFraming) bool {
	return !framing.untilClose && h.hasSingleID(call.IDHeader) && call.Method != http.MethodHead
}

// allowsReuse reports whether the connection may carry another call after this response.
func (h *responseHead) allowsReuse(call *Call, framing bodyFraming) bool {
	return !h.http10 && !framing.untilClose && call.Method != http.MethodHead && !listContains(h.Header["Connection"], "close")
}

// readFinalHead reads the head of the next final response and skips informational responses.
// informational counts the skipped responses of the whole call.
func (r *responseReader) readFinalHead(informational *int, sawStray bool) (responseHead, *failure.Error) {
	for {
		h, err := r.readHead()
		switch {
		case err != nil:
			return h, readFailure(err, sawStray)
		case h.status == http.StatusSwitchingProtocols:
			return h, failure.NewUnknown(failure.BadResponse, "the response with status %d switches the protocol", h.status)
		case h.status >= http.StatusOK:
			return h, nil
		}
		if *informational++; *informational > maxInformational {
			return h, failure.NewUnknown(failure.BadResponse, "more than %d informational responses preceded the final response", maxInformational)
		}
	}
}

// readFailure converts an error that occurred before a complete response head was read. sawStray
// reports whether a response to another request was skipped before.
func readFailure(err error, sawStray bool) *failure.Error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NewUnknown(failure.DeadlineExceeded, "the call timed out or was canceled before the response head arrived")
	case sawStray:
		return failure.NewUnknown(failure.BadResponse, "no response to this request follows the responses to other requests")
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET):
		return failure.NewUnknown(failure.LostResponse, "the connection ended before the response head was complete")
	}
	return failure.NewUnknown(failure.BadResponse, "the response head can't be read: %v", err)
}

// bodyFailure converts an error that occurred while a response body was read.
func bodyFailure(err error, limit int) *failure.Error {
	switch {
	case errors.Is(err, errBodyTooLarge):
		return failure.NewUnknown(failure.BadResponse, "the response body exceeds the limit of %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NewUnknown(failure.DeadlineExceeded, "the call timed out or was canceled before the response body was complete")
	}
	return failure.NewUnknown(failure.BadResponse, "the response body can't be read: %v", err)
}
