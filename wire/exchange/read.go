package exchange

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	// maxInformational is how many 1xx returns may come before the real one.
	maxInformational = 8
	// maxStrayResponses is how many whole returns of other ids may come before a call's own.
	maxStrayResponses = 4
	// maxHeadBytes is the largest head of a return.
	maxHeadBytes = 16 << 10
)

var (
	errMalformedHead = errors.New("the head is none")
	errBodyTooLarge  = errors.New("the body is too large")
)

// responseReader reads returns off one connection.
type responseReader struct {
	*bufio.Reader
	textReader textproto.Reader
}

var responseReaders = sync.Pool{New: func() any {
	r := bufio.NewReaderSize(nil, maxHeadBytes)
	return &responseReader{Reader: r, textReader: textproto.Reader{R: r}}
}}

// responseHead is a return without its body.
type responseHead struct {
	status int
	http10 bool // HTTP/1.0
	http.Header
}

// bodyFraming says how a return's end is marked. Invariant: length counts only when neither
// chunks nor open.
type bodyFraming struct {
	length              int64
	chunked, untilClose bool
}

// readResponse takes the call's own return in whole. keep says whether the connection may be used
// again; rest gets how long the other end said it keeps it.
func (r *responseReader) readResponse(call *Call, limit int, setKeepAlive func(time.Duration)) (*Response, bool, *failure.Error) {
	sawStray := false
	for informational, strayCount := 0, 0; ; {
		h, err := r.readHead()
		if err != nil {
			return nil, false, readFailure(err, sawStray)
		}
		if h.status < 200 {
			if h.status == http.StatusSwitchingProtocols {
				return nil, false, failure.NewUnknown(failure.BadResponse, "the return changes the protocol")
			}
			if informational++; informational > maxInformational {
				return nil, false, failure.NewUnknown(failure.BadResponse, "more than %d returns only inform", maxInformational)
			}
			continue
		}
		framing, ok := h.framing(call.Method)
		if !ok {
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return's length is not clear")
		}
		isOwn := call.IDHeader == "" || h.hasSingle(call.IDHeader, call.ID)
		if !isOwn && (framing.untilClose || !h.namesOneRequest(call.IDHeader) || call.Method == http.MethodHead || strayCount == maxStrayResponses) {
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return is not to this request")
		}
		data, err := r.readBody(framing, limit)
		switch {
		case err == errBodyTooLarge:
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return is over %d bytes", limit)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, false, failure.NewUnknown(failure.DeadlineExceeded, "the return was not whole in time")
		case err != nil:
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return broke off")
		}
		if !isOwn {
			sawStray = true
			strayCount++
			continue
		}
		if fail := h.validate(call, framing, data); fail != nil {
			return nil, false, fail
		}
		reusable := !sawStray && !h.http10 && !framing.untilClose && call.Method != http.MethodHead && !listContains(h.Header["Connection"], "close")
		if keepAlive, ok := h.keepAlive(); ok && reusable {
			setKeepAlive(keepAlive)
		}
		h.removeHopByHop()
		return &Response{Status: h.status, Header: h.Header, Body: data}, reusable, nil
	}
}

// readFailure names the failure of a return that did not come.
func readFailure(err error, sawStray bool) *failure.Error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NewUnknown(failure.DeadlineExceeded, "no return in time")
	case sawStray:
		return failure.NewUnknown(failure.BadResponse, "the last return is not to this request")
	case err == io.EOF || err == io.ErrUnexpectedEOF || errors.Is(err, syscall.ECONNRESET):
		return failure.NewUnknown(failure.LostResponse, "the connection ended before the return")
	}
	return failure.NewUnknown(failure.BadResponse, "the return can't be read")
}

var (
	versionPrefix = []byte("HTTP/1.")
	headEnd       = []byte("\r\n\r\n")
)

// readHead waits for a return's head, whole, and reads it. Bytes that are no head are told as
// soon as they are seen.
func (r *responseReader) readHead() (h responseHead, err error) {
	raw, err := r.peekHead(beginsResponse)
	if err != nil {
		return h, err
	}
	statusLine := raw[:bytes.IndexByte(raw, '\r')]
	if len(statusLine) < 12 || statusLine[7] != '0' && statusLine[7] != '1' || statusLine[8] != ' ' || len(statusLine) > 12 && statusLine[12] != ' ' {
		return h, errMalformedHead
	}
	for _, b := range statusLine[9:12] {
		if b < '0' || b > '9' {
			return h, errMalformedHead
		}
		h.status = h.status*10 + int(b-'0')
	}
	if h.status < 100 {
		return h, errMalformedHead
	}
	h.http10 = statusLine[7] == '0'
	if _, err := r.Discard(len(statusLine) + 2); err != nil {
		return h, err
	}
	fields, err := r.textReader.ReadMIMEHeader()
	if err != nil {
		return h, errMalformedHead
	}
	h.Header = http.Header(fields)
	return h, nil
}

// beginsResponse tells whether bytes are the beginning of an answer, as far as they go.
func beginsResponse(b []byte) bool {
	n := min(len(b), len(versionPrefix))
	return bytes.Equal(b[:n], versionPrefix[:n])
}

// peekHead waits for an empty line and gives what stands up to it, checked: lines end with
// CR LF, none goes on in the next, and there are no control bytes. It takes nothing.
func (r *responseReader) peekHead(begins func([]byte) bool) ([]byte, error) {
	for seen := 0; ; {
		_, err := r.Peek(seen + 1)
		raw, _ := r.Peek(r.Buffered())
		if !begins(raw) {
			return nil, errMalformedHead
		}
		if n := bytes.Index(raw[max(seen-3, 0):], headEnd); n >= 0 {
			raw = raw[:max(seen-3, 0)+n+len(headEnd)]
			if !isWellFormed(raw) {
				return nil, errMalformedHead
			}
			return raw, nil
		}
		if err != nil {
			return nil, err
		}
		if seen = len(raw); seen >= maxHeadBytes {
			return nil, errMalformedHead
		}
	}
}

// isWellFormed tells whether a head has no control bytes, no bare line ends and no line that
// goes on in the next. It ends with CR LF CR LF.
func isWellFormed(raw []byte) bool {
	for n := 0; n < len(raw); n++ {
		b := raw[n]
		if b >= ' ' && b != 0x7f || b == '\t' {
			continue
		}
		if b != '\r' || n+1 >= len(raw) || raw[n+1] != '\n' {
			return false
		}
		n++
		if n+1 < len(raw) && (raw[n+1] == ' ' || raw[n+1] == '\t') {
			return false
		}
	}
	return true
}

// hasSingle tells whether the return carries a header once, with that value.
func (h *responseHead) hasSingle(name, value string) bool {
	values := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(values) == 1 && values[0] == value
}

// namesOneRequest tells whether the return names one request, which a stray return does.
func (h *responseHead) namesOneRequest(name string) bool {
	values := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(values) == 1 && values[0] != ""
}

// framing finds out where the return ends, and refuses what could be read in two ways.
func (h *responseHead) framing(method string) (framing bodyFraming, ok bool) {
	lengths, codings := h.Header["Content-Length"], h.Header["Transfer-Encoding"]
	for _, length := range lengths {
		if length != lengths[0] || length == "" || strings.Trim(length, "0123456789") != "" {
			return framing, false
		}
	}
	if len(codings) > 0 {
		if len(lengths) > 0 || h.http10 || len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") {
			return framing, false
		}
		framing.chunked = true
	}
	if len(lengths) > 0 {
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		if err != nil {
			return framing, false
		}
		framing.length = n
	}
	if method == http.MethodHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified {
		return bodyFraming{}, true
	}
	framing.untilClose = len(codings) == 0 && len(lengths) == 0
	return framing, true
}

// readBody reads a body whole.
func (r *responseReader) readBody(framing bodyFraming, limit int) ([]byte, error) {
	switch {
	case framing.chunked:
		data, err := readAtMost(httputil.NewChunkedReader(r.Reader), limit)
		if err != nil {
			return nil, err
		}
		return data, r.skipTrailer()
	case framing.untilClose:
		return readAtMost(r.Reader, limit)
	case framing.length > int64(limit):
		return nil, errBodyTooLarge
	case framing.length == 0:
		return nil, nil
	}
	data := make([]byte, framing.length)
	_, err := io.ReadFull(r.Reader, data)
	return data, err
}

// skipTrailer reads past what may follow the last chunk.
func (r *responseReader) skipTrailer() error {
	next, err := r.Peek(2)
	if err != nil {
		return err
	}
	if next[0] == '\r' && next[1] == '\n' {
		_, err = r.Discard(2)
		return err
	}
	if _, err := r.peekHead(func([]byte) bool { return true }); err != nil {
		return err
	}
	if _, err := r.textReader.ReadMIMEHeader(); err != nil {
		return errMalformedHead
	}
	return nil
}

func readAtMost(from io.Reader, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(from, int64(limit)+1))
	if err == nil && len(data) > limit {
		err = errBodyTooLarge
	}
	return data, err
}

// validate refuses what cannot be whole or the endpoint's own: JSON that is none, a body
// whose end nothing marks, unless it is JSON and so marks its own, and a 2xx without its
// seal.
func (h *responseHead) validate(call *Call, framing bodyFraming, data []byte) *failure.Error {
	if call.RequiredHeader != "" && h.status < 300 && len(h.Header[textproto.CanonicalMIMEHeaderKey(call.RequiredHeader)]) == 0 {
		return failure.NewUnknown(failure.BadResponse, "the return has no %s", call.RequiredHeader)
	}
	encoding := h.Get("Content-Encoding")
	if call.Unencoded && encoding != "" && !strings.EqualFold(encoding, "identity") {
		return failure.NewUnknown(failure.BadResponse, "the return is encoded, which nobody asked for")
	}
	if call.Method == http.MethodHead || len(data) == 0 && !framing.untilClose {
		return nil
	}
	unencoded := encoding == ""
	isJSON := isJSON(h.Get("Content-Type"))
	if isJSON && unencoded && len(data) > 0 && !json.Valid(data) {
		return failure.NewUnknown(failure.BadResponse, "the return says it is JSON and is not")
	}
	if framing.untilClose && !(len(data) > 0 && isJSON && unencoded && (data[0] == '{' || data[0] == '[')) {
		return failure.NewUnknown(failure.BadResponse, "nothing marks where the return ends")
	}
	return nil
}

func isJSON(contentType string) bool {
	contentType, _, _ = strings.Cut(contentType, ";")
	contentType = textproto.TrimString(contentType)
	const plain, suffix = "application/json", "+json"
	return strings.EqualFold(contentType, plain) || len(contentType) > len(suffix) && strings.EqualFold(contentType[len(contentType)-len(suffix):], suffix)
}

// keepAlive reads how long the other end keeps an unused connection, in whole seconds.
func (h *responseHead) keepAlive() (time.Duration, bool) {
	for _, field := range h.Header["Keep-Alive"] {
		for parameter := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(textproto.TrimString(parameter), "=")
			if seconds, err := strconv.Atoi(textproto.TrimString(value)); err == nil && seconds >= 0 && strings.EqualFold(textproto.TrimString(name), "timeout") {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

// removeHopByHop takes out what belongs to the connection, but the length.
func (h *responseHead) removeHopByHop() {
	if connectionFields := h.Header["Connection"]; connectionFields != nil {
		for name := range h.Header {
			if name != "Content-Length" && listContains(connectionFields, name) {
				delete(h.Header, name)
			}
		}
	}
	for name := range h.Header {
		if name != "Content-Length" && IsHopByHop(name) {
			delete(h.Header, name)
		}
	}
}
