package sidecar

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/textproto"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/wire/exchange"
)

// parsedRequest is a request as read by the endpoint.
type parsedRequest struct {
	*http.Request
	body []byte
}

// recordingEndpoint starts an endpoint that sends every request it reads to the returned channel.
func recordingEndpoint(f *testing.F) (ident.Addr, chan parsedRequest) {
	requests := make(chan parsedRequest, 8)
	return listen(f, func(c *net.TCPConn) {
		serveRequests(c, func(_ *bufio.Reader, req *http.Request, body []byte) bool {
			requests <- parsedRequest{req, body}
			raw := rawResponse(200, req.Header.Get(testIDHeader), testSuccessMarkHeader+": s\r\n")
			if req.Method == http.MethodHead {
				raw = raw[:strings.Index(raw, "\r\n\r\n")+4]
			}
			_, _ = io.WriteString(c, raw)
			return true
		})
	}), requests
}

// catchAllConfig routes every request to the service s.
var catchAllConfig = &validation.Config{
	Revision: 2,
	Services: testConfig.Services,
	Routes: []validation.Route{{
		Name:        "any",
		Host:        "*",
		PathPrefix:  "/",
		Service:     "s",
		Timeout:     time.Minute,
		MaxAttempts: 1,
		Repeat:      validation.OneShot,
	}},
}

// A caller or another sidecar sends anything that net/http parses as a request: the request gets a
// response and leaves nothing in flight. The endpoint reads at most one request, which is the
// caller's own, with the headers that the mesh sets and without mesh headers from the caller.
func FuzzIntake(f *testing.F) {
	for _, seed := range []string{
		rawRequest("POST", "/once/x", "r1", "one"), rawRequest("HEAD", "//x//y/../z?q=%2F&a=;b", "r1", ""), "GET http://other.example/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\nX-Call-Id: r\r\n\r\n", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n3\r\none\r\n0\r\nX-A: b\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nConnection: X-Target-Server, X-A, X-Call-Id\r\nX-A: 1\r\nX-Target-Server: other\r\nX-Calling-Service: forged\r\nX-Cottonarch-Gate: return\r\nX-Cottonarch-Repeat: NaN\r\nX-Cottonarch-Want: 1,2,3,4,5,6\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nX-Call-Id: a\r\nX-Call-Id: b\r\nExpect: 100-continue\r\nUpgrade: x\r\n\r\n",
		rawRequest("POST", "/once/x", "r1", smuggled),
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	endpointAddr, requests := recordingEndpoint(f)
	f.Fuzz(func(t *testing.T, raw []byte, fromPeer bool) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		sent, err := io.ReadAll(r.Body)
		if err != nil {
			r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(sent), &failingBody{err}))
		} else {
			r.Body = io.NopCloser(bytes.NewReader(sent))
		}
		r.RemoteAddr = "10.0.0.1:1"
		r.Header.Del("X-Limit-Left-Ms") // an early timeout would not exercise the code under test
		sentHeader := r.Header.Clone()
		s := newTestSidecar("a", "127.0.0.1:1", endpointAddr)
		s.Settings.EndpointService = "own"
		s.planner.Enforce(catchAllConfig)
		s.addWorkloads("a", "127.0.0.1:1", "a0")
		defer s.endpointExchange.Drop(endpointAddr)
		w := httptest.NewRecorder()
		if fromPeer {
			r.Header.Set(TargetHeader, "a0")
			r.Header.Set(ServiceHeader, "s")
			r.Header.Set(TimeoutHeader, "60000")
			must.True(t, s.ServePeer(w, r))
			must.NotEq(t, "", w.Header().Get(PeerResultHeader))
		} else {
			s.ServeCaller(w, r)
		}
		must.Eq(t, 0, s.inFlight)
		must.Eq(t, 0, s.bodies.inFlight.Load())
		must.Eq(t, 0, s.sendQueue.Len())
		must.NotEq(t, http.StatusBadGateway, w.Code, must.Sprintf("%s", w.Body))
		select {
		case got := <-requests:
			must.NoError(t, err) // a request with a truncated body is not forwarded
			must.Eq(t, http.StatusOK, w.Code)
			requireSameRequest(t, r, sentHeader, sent, got, fromPeer)
		default:
			must.NotEq(t, http.StatusOK, w.Code)
		}
		must.Eq(t, 0, len(requests))
	})
}

// failingBody is a request body whose read fails.
type failingBody struct{ error }

func (body *failingBody) Read([]byte) (int, error) { return 0, body.error }

// requireSameRequest compares the request that the endpoint read with the request that was sent.
func requireSameRequest(t *testing.T, r *http.Request, sentHeader http.Header, sent []byte, got parsedRequest, fromPeer bool) {
	must.Eq(t, r.Method, got.Method)
	must.Eq(t, r.Host, got.Host)
	must.True(t, bytes.Equal(sent, got.body))
	if strings.HasPrefix(r.RequestURI, "/") {
		must.Eq(t, r.RequestURI, got.RequestURI)
	}
	must.Eq(t, []string{"a0"}, got.Header[TargetHeader])
	if !fromPeer {
		must.Eq(t, []string{"own"}, got.Header["X-Calling-Service"])
	}
	for _, name := range meshHeaders {
		must.True(t, name == TargetHeader || got.Header[name] == nil, must.Sprint(name))
	}
	connectionTokens := strings.ToLower(strings.Join(sentHeader["Connection"], ","))
	for name, values := range sentHeader {
		switch {
		case exchange.IsHopByHop(name), strings.Contains(connectionTokens, strings.ToLower(name)):
			continue
		case strings.HasPrefix(name, "X-Cottonarch-"), name == TargetHeader, name == testIDHeader:
			continue
		case name == "X-Calling-Service" && !fromPeer:
			continue
		}
		trimmed := make([]string, len(values))
		for n, v := range values {
			trimmed[n] = textproto.TrimString(v)
		}
		must.Eq(t, trimmed, got.Header[name])
	}
}
