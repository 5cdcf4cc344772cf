package exchange

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// fuzzBodyMax is the limit of the response bodies in FuzzResponse, in bytes.
const fuzzBodyMax = 1 << 10

// readResponseFrom reads the response to call from raw. used is the number of bytes that were read.
func readResponseFrom(raw []byte, call *Call) (response *Response, reusable bool, used int) {
	source := bytes.NewReader(raw)
	r := responseReaders.Get().(*responseReader)
	defer responseReaders.Put(r)
	r.Reset(source)
	response, reusable, fail := r.readResponse(call, fuzzBodyMax, func(time.Duration) {})
	if (response == nil) == (fail == nil) {
		panic("neither or both of a response and a failure")
	}
	return response, reusable, len(raw) - source.Len() - r.Buffered()
}

// FuzzResponse reads arbitrary bytes as a response. Reading must end. An accepted response must
// carry the id of the call, respect the body limit, equal the response that net/http reads, and be
// rejected without its last byte.
func FuzzResponse(f *testing.F) {
	const id = "X-Id: i\r\n"
	for _, seed := range []string{
		okResponse, "", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-Tail: a\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nho" + okResponse, okResponse + okResponse,
		"HTTP/1.1 204 No Content\r\n" + id + "\r\n", "HTTP/1.1 304 Not Modified\r\n" + id + "Content-Length: 2\r\n\r\n",
		"HTTP/1.0 200 OK\r\n" + id + "Content-Type: application/json\r\n\r\n{\"a\":1}", "HTTP/1.1 200 OK\r\n" + id + "Keep-Alive: timeout=5\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
		"\x00\x01 garbage\r\n\r\n", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		for _, method := range []string{"GET", "HEAD"} {
			f.Add(method, true, []byte(seed))
			f.Add(method, false, []byte(seed))
		}
	}
	f.Fuzz(func(t *testing.T, method string, identified bool, raw []byte) {
		call := &Call{Method: method}
		if identified {
			call.IDHeader, call.ID = "X-Id", "i"
		}
		response, reusable, used := readResponseFrom(raw, call)
		if response == nil {
			return
		}
		must.LessEq(t, fuzzBodyMax, len(response.Body))
		must.True(t, response.Status >= 200 && response.Status <= 999)
		if identified {
			must.Eq(t, []string{"i"}, response.Header["X-Id"])
		}
		if reusable {
			cut, _, _ := readResponseFrom(raw[:used-1], call)
			must.Nil(t, cut, must.Sprint("accepted without its last byte"))
		}
		compareWithNetHTTP(t, raw, call, response)
	})
}

// compareWithNetHTTP reads raw with net/http, skips the responses that readResponse skips, and
// compares the first other response with the given response.
func compareWithNetHTTP(t *testing.T, raw []byte, call *Call, response *Response) {
	source := bufio.NewReader(bytes.NewReader(raw))
	for {
		got, err := http.ReadResponse(source, &http.Request{Method: call.Method})
		must.NoError(t, err)
		body, err := io.ReadAll(got.Body)
		must.NoError(t, err)
		if got.StatusCode < 200 || call.IDHeader != "" && got.Header.Get(call.IDHeader) != call.ID {
			continue
		}
		must.Eq(t, got.StatusCode, response.Status)
		must.True(t, bytes.Equal(body, response.Body), must.Sprintf("%q is not %q", response.Body, body))
		return
	}
}

// FuzzRequest encodes a call with arbitrary parts. The call must be rejected before any byte is
// written, or net/http must read exactly one request from the written bytes, with the method, target,
// host, id and body of the call.
func FuzzRequest(f *testing.F) {
	f.Add("GET", "/x//y?z=1", "h.x", "X-A", "b", "r", []byte(nil), false)
	f.Add("POST", "/", "h", "Transfer-Encoding", "chunked", "r", []byte("GET /smuggled HTTP/1.1\r\n\r\n"), true)
	f.Add("PUT", "/a b", "h\r\nX: y", "A: b\r\nC", "d\r\nE: f", "r\n", []byte("x"), false)
	f.Add("GET /", "", "", "", "\x00", "", []byte{}, true)
	f.Add("DELETE", "/", "h", "Connection", "X-Id, Content-Length", "r", []byte("body"), false)
	f.Fuzz(func(t *testing.T, method, target, host, name, value, id string, body []byte, singleUse bool) {
		call := &Call{Method: method, Target: target, Host: host, Header: http.Header{name: {value}}, Body: body, IDHeader: "X-Id", ID: id, SingleUse: singleUse}
		out := &encodedRequest{}
		if out.encode(call) != nil {
			return
		}
		written := append(bytes.Clone(out.head), out.body...)
		must.StrHasPrefix(t, method+" "+target+" HTTP/1.1\r\nHost: "+host+"\r\n", string(written))
		// encode accepts targets in forms that net/http does not parse unchanged.
		if !strings.HasPrefix(target, "/") || strings.Contains(target, "%") || strings.HasPrefix(target, "//") {
			return
		}
		source := bufio.NewReader(bytes.NewReader(written))
		got, err := http.ReadRequest(source)
		if err != nil {
			return // a host that net/http rejects
		}
		data, err := io.ReadAll(got.Body)
		must.NoError(t, err)
		must.Eq(t, method, got.Method)
		must.Eq(t, target, got.RequestURI)
		must.Eq(t, singleUse, got.Close)
		must.Eq(t, []string{strings.Trim(id, " \t")}, got.Header["X-Id"])
		must.True(t, bytes.Equal(body, data))
		_, err = source.ReadByte()
		must.Eq(t, io.EOF, err, must.Sprint("more than one request was written"))
	})
}
