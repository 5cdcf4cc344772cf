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
	// inform is how many 1xx returns may come before the real one.
	inform = 8
	// strays is how many whole returns of other ids may come before a call's own.
	strays = 4
	// headMax is the largest head of a return.
	headMax = 16 << 10
)

var (
	errHead = errors.New("the head is none")
	errBig  = errors.New("the body is too large")
)

// reading reads returns off one connection.
type reading struct {
	*bufio.Reader
	text textproto.Reader
}

var reads = sync.Pool{New: func() any {
	r := bufio.NewReaderSize(nil, headMax)
	return &reading{Reader: r, text: textproto.Reader{R: r}}
}}

// head is a return without its body.
type head struct {
	status int
	old    bool // HTTP/1.0
	http.Header
}

// body says how a return's end is marked. Invariant: length counts only when neither
// chunks nor open.
type body struct {
	length       int64
	chunks, open bool
}

// read takes the call's own return in whole. keep says whether the connection may be used
// again; rest gets how long the other end said it keeps it.
func (r *reading) read(call *Call, most int, rest func(time.Duration)) (*Return, bool, *failure.Error) {
	other := false
	for told, n := 0, 0; ; {
		h, err := r.head()
		if err != nil {
			return nil, false, ended(err, other)
		}
		if h.status < 200 {
			if h.status == http.StatusSwitchingProtocols {
				return nil, false, failure.NewUnknown(failure.BadResponse, "the return changes the protocol")
			}
			if told++; told > inform {
				return nil, false, failure.NewUnknown(failure.BadResponse, "more than %d returns only inform", inform)
			}
			continue
		}
		b, ok := h.body(call.Method)
		if !ok {
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return's length is not clear")
		}
		own := call.IdHeader == "" || h.says(call.IdHeader, call.Id)
		if !own && (b.open || !h.other(call.IdHeader) || call.Method == http.MethodHead || n == strays) {
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return is not to this request")
		}
		data, err := r.body(b, most)
		switch {
		case err == errBig:
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return is over %d bytes", most)
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, false, failure.NewUnknown(failure.DeadlineExceeded, "the return was not whole in time")
		case err != nil:
			return nil, false, failure.NewUnknown(failure.BadResponse, "the return broke off")
		}
		if !own {
			other = true
			n++
			continue
		}
		if d := h.check(call, b, data); d != nil {
			return nil, false, d
		}
		keep := !other && !h.old && !b.open && call.Method != http.MethodHead && !listed(h.Header["Connection"], "close")
		if span, ok := h.told(); ok && keep {
			rest(span)
		}
		h.strip()
		return &Return{Status: h.status, Header: h.Header, Body: data}, keep, nil
	}
}

// ended names the failure of a return that did not come.
func ended(err error, other bool) *failure.Error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return failure.NewUnknown(failure.DeadlineExceeded, "no return in time")
	case other:
		return failure.NewUnknown(failure.BadResponse, "the last return is not to this request")
	case err == io.EOF || err == io.ErrUnexpectedEOF || errors.Is(err, syscall.ECONNRESET):
		return failure.NewUnknown(failure.LostResponse, "the connection ended before the return")
	}
	return failure.NewUnknown(failure.BadResponse, "the return can't be read")
}

var (
	proto = []byte("HTTP/1.")
	blank = []byte("\r\n\r\n")
)

// head waits for a return's head, whole, and reads it. Bytes that are no head are told as
// soon as they are seen.
func (r *reading) head() (h head, err error) {
	raw, err := r.until(beginsAnswer)
	if err != nil {
		return h, err
	}
	line := raw[:bytes.IndexByte(raw, '\r')]
	if len(line) < 12 || line[7] != '0' && line[7] != '1' || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return h, errHead
	}
	for _, b := range line[9:12] {
		if b < '0' || b > '9' {
			return h, errHead
		}
		h.status = h.status*10 + int(b-'0')
	}
	if h.status < 100 {
		return h, errHead
	}
	h.old = line[7] == '0'
	if _, err := r.Discard(len(line) + 2); err != nil {
		return h, err
	}
	fields, err := r.text.ReadMIMEHeader()
	if err != nil {
		return h, errHead
	}
	h.Header = http.Header(fields)
	return h, nil
}

// beginsAnswer tells whether bytes are the beginning of an answer, as far as they go.
func beginsAnswer(b []byte) bool {
	n := min(len(b), len(proto))
	return bytes.Equal(b[:n], proto[:n])
}

// until waits for an empty line and gives what stands up to it, checked: lines end with
// CR LF, none goes on in the next, and there are no control bytes. It takes nothing.
func (r *reading) until(begins func([]byte) bool) ([]byte, error) {
	for seen := 0; ; {
		_, err := r.Peek(seen + 1)
		raw, _ := r.Peek(r.Buffered())
		if !begins(raw) {
			return nil, errHead
		}
		if n := bytes.Index(raw[max(seen-3, 0):], blank); n >= 0 {
			raw = raw[:max(seen-3, 0)+n+len(blank)]
			if !tidy(raw) {
				return nil, errHead
			}
			return raw, nil
		}
		if err != nil {
			return nil, err
		}
		if seen = len(raw); seen >= headMax {
			return nil, errHead
		}
	}
}

// tidy tells whether a head has no control bytes, no bare line ends and no line that
// goes on in the next. It ends with CR LF CR LF.
func tidy(raw []byte) bool {
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

// says tells whether the return carries a header once, with that value.
func (h *head) says(name, value string) bool {
	list := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(list) == 1 && list[0] == value
}

// other tells whether the return names one request, which a stray return does.
func (h *head) other(name string) bool {
	list := h.Header[textproto.CanonicalMIMEHeaderKey(name)]
	return len(list) == 1 && list[0] != ""
}

// body finds out where the return ends, and refuses what could be read in two ways.
func (h *head) body(method string) (b body, ok bool) {
	size, coded := h.Header["Content-Length"], h.Header["Transfer-Encoding"]
	for _, one := range size {
		if one != size[0] || one == "" || strings.Trim(one, "0123456789") != "" {
			return b, false
		}
	}
	if len(coded) > 0 {
		if len(size) > 0 || h.old || len(coded) != 1 || !strings.EqualFold(coded[0], "chunked") {
			return b, false
		}
		b.chunks = true
	}
	if len(size) > 0 {
		n, err := strconv.ParseInt(size[0], 10, 64)
		if err != nil {
			return b, false
		}
		b.length = n
	}
	if method == http.MethodHead || h.status == http.StatusNoContent || h.status == http.StatusNotModified {
		return body{}, true
	}
	b.open = len(coded) == 0 && len(size) == 0
	return b, true
}

// body reads a body whole.
func (r *reading) body(b body, most int) ([]byte, error) {
	switch {
	case b.chunks:
		data, err := within(httputil.NewChunkedReader(r.Reader), most)
		if err != nil {
			return nil, err
		}
		return data, r.trailer()
	case b.open:
		return within(r.Reader, most)
	case b.length > int64(most):
		return nil, errBig
	case b.length == 0:
		return nil, nil
	}
	data := make([]byte, b.length)
	_, err := io.ReadFull(r.Reader, data)
	return data, err
}

// trailer reads past what may follow the last chunk.
func (r *reading) trailer() error {
	two, err := r.Peek(2)
	if err != nil {
		return err
	}
	if two[0] == '\r' && two[1] == '\n' {
		_, err = r.Discard(2)
		return err
	}
	if _, err := r.until(func([]byte) bool { return true }); err != nil {
		return err
	}
	if _, err := r.text.ReadMIMEHeader(); err != nil {
		return errHead
	}
	return nil
}

func within(from io.Reader, most int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(from, int64(most)+1))
	if err == nil && len(data) > most {
		err = errBig
	}
	return data, err
}

// check refuses what cannot be whole or the endpoint's own: JSON that is none, a body
// whose end nothing marks, unless it is JSON and so marks its own, and a 2xx without its
// seal.
func (h *head) check(call *Call, b body, data []byte) *failure.Error {
	if call.Seal != "" && h.status < 300 && len(h.Header[textproto.CanonicalMIMEHeaderKey(call.Seal)]) == 0 {
		return failure.NewUnknown(failure.BadResponse, "the return has no %s", call.Seal)
	}
	code := h.Get("Content-Encoding")
	if call.Plain && code != "" && !strings.EqualFold(code, "identity") {
		return failure.NewUnknown(failure.BadResponse, "the return is encoded, which nobody asked for")
	}
	if call.Method == http.MethodHead || len(data) == 0 && !b.open {
		return nil
	}
	plain := code == ""
	isJSON := isJSON(h.Get("Content-Type"))
	if isJSON && plain && len(data) > 0 && !json.Valid(data) {
		return failure.NewUnknown(failure.BadResponse, "the return says it is JSON and is not")
	}
	if b.open && !(len(data) > 0 && isJSON && plain && (data[0] == '{' || data[0] == '[')) {
		return failure.NewUnknown(failure.BadResponse, "nothing marks where the return ends")
	}
	return nil
}

func isJSON(kind string) bool {
	kind, _, _ = strings.Cut(kind, ";")
	kind = textproto.TrimString(kind)
	const plain, tail = "application/json", "+json"
	return strings.EqualFold(kind, plain) || len(kind) > len(tail) && strings.EqualFold(kind[len(kind)-len(tail):], tail)
}

// told reads how long the other end keeps an unused connection, in whole seconds.
func (h *head) told() (time.Duration, bool) {
	for _, field := range h.Header["Keep-Alive"] {
		for one := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(textproto.TrimString(one), "=")
			if s, err := strconv.Atoi(textproto.TrimString(value)); err == nil && s >= 0 && strings.EqualFold(textproto.TrimString(name), "timeout") {
				return time.Duration(s) * time.Second, true
			}
		}
	}
	return 0, false
}

// strip takes out what belongs to the connection, but the length.
func (h *head) strip() {
	if named := h.Header["Connection"]; named != nil {
		for name := range h.Header {
			if name != "Content-Length" && listed(named, name) {
				delete(h.Header, name)
			}
		}
	}
	for name := range h.Header {
		if name != "Content-Length" && Hop(name) {
			delete(h.Header, name)
		}
	}
}
