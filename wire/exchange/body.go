package exchange

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"

	"cottonarch.example/cottonarch/base/failure"
)

// bodyFraming is how the end of a response body is marked: by a length, by chunks or by the close
// of the connection. Invariant: length is valid only if neither chunked nor untilClose is set.
type bodyFraming struct {
	length              int64
	chunked, untilClose bool
}

// framing returns the framing of the body of a response to a request with the given method. ok is
// false if two readers could determine the end of the response differently (RFC 9112, section 6.3).
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

// readBody reads a complete body of at most limit bytes.
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

// skipTrailer reads and discards the trailer section after the last chunk.
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

// validate rejects a response that may be incomplete or may not come from the endpoint: invalid
// JSON, a body that only the close of the connection ends (except a JSON object or array, which
// marks its own end), a 2xx response without call.RequiredHeader, and, if call.RejectEncoded is
// set, an encoded response.
func (h *responseHead) validate(call *Call, framing bodyFraming, data []byte) *failure.Error {
	if call.RequiredHeader != "" && h.status < 300 && len(h.Header[textproto.CanonicalMIMEHeaderKey(call.RequiredHeader)]) == 0 {
		return failure.NewUnknown(failure.BadResponse, "the response with status %d has no %s header", h.status, call.RequiredHeader)
	}
	encoding := h.Get("Content-Encoding")
	if call.RejectEncoded && encoding != "" && !strings.EqualFold(encoding, "identity") {
		return failure.NewUnknown(failure.BadResponse, "the response has a content encoding that the client has not asked for")
	}
	if call.Method == http.MethodHead || len(data) == 0 && !framing.untilClose {
		return nil
	}
	unencoded := encoding == ""
	isJSON := isJSON(h.Get("Content-Type"))
	if isJSON && unencoded && len(data) > 0 && !json.Valid(data) {
		return failure.NewUnknown(failure.BadResponse, "the response body is declared as JSON but is not valid JSON")
	}
	if framing.untilClose && !(len(data) > 0 && isJSON && unencoded && (data[0] == '{' || data[0] == '[')) {
		return failure.NewUnknown(failure.BadResponse, "the response body has neither a length nor chunks that mark its end")
	}
	return nil
}

func isJSON(contentType string) bool {
	contentType, _, _ = strings.Cut(contentType, ";")
	contentType = textproto.TrimString(contentType)
	const plain, suffix = "application/json", "+json"
	if strings.EqualFold(contentType, plain) {
		return true
	}
	return len(contentType) > len(suffix) && strings.EqualFold(contentType[len(contentType)-len(suffix):], suffix)
}
