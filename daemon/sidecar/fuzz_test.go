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

	"cottonarch.example/cottonarch/control/manifest/check"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/wire/exchange"
)

// arrived is a request as the endpoint read it.
type arrived struct {
	*http.Request
	body []byte
}

// attentive is an endpoint that hands on every request that it can read.
func attentive(f *testing.F) (ident.Addr, chan arrived) {
	out := make(chan arrived, 8)
	return listens(f, func(c *net.TCPConn) {
		eachRequest(c, func(_ *bufio.Reader, req *http.Request, body []byte) bool {
			out <- arrived{req, body}
			answer := answerTo(200, req.Header.Get(testId), testSeal+": s\r\n")
			if req.Method == http.MethodHead {
				answer = answer[:strings.Index(answer, "\r\n\r\n")+4]
			}
			_, _ = io.WriteString(c, answer)
			return true
		})
	}), out
}

// anyWay sends every request to the service s.
var anyWay = &check.Manifest{Epoch: 2, Services: testManifest.Services, Ways: []check.Way{{Name: "any", Host: "*", PathStart: "/", Service: "s", Limit: time.Minute, Tries: 1, Repeat: check.OneShot}}}

// Whatever a caller or another sidecar sends that net/http reads as a request: it is
// answered and leaves nothing in hand; the endpoint reads at most one request of it, and
// that one is the caller's own, with the mesh's own headers and no other's in their place.
func FuzzIntake(f *testing.F) {
	for _, seed := range []string{
		request("POST", "/once/x", "r1", "one"), request("HEAD", "//x//y/../z?q=%2F&a=;b", "r1", ""), "GET http://other.example/x HTTP/1.1\r\nHost: h\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\nX-Call-Id: r\r\n\r\n", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.0\r\n\r\n",
		"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n3\r\none\r\n0\r\nX-A: b\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nConnection: X-Target-Server, X-A, X-Call-Id\r\nX-A: 1\r\nX-Target-Server: other\r\nX-Calling-Service: forged\r\nX-Cottonarch-Gate: return\r\nX-Cottonarch-Repeat: NaN\r\nX-Cottonarch-Want: 1,2,3,4,5,6\r\n\r\n",
		"GET /x HTTP/1.1\r\nHost: h\r\nX-Call-Id: a\r\nX-Call-Id: b\r\nExpect: 100-continue\r\nUpgrade: x\r\n\r\n",
		request("POST", "/once/x", "r1", smuggled),
	} {
		f.Add([]byte(seed), false)
		f.Add([]byte(seed), true)
	}
	at, read := attentive(f)
	f.Fuzz(func(t *testing.T, raw []byte, fromPeer bool) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		sent, err := io.ReadAll(r.Body)
		if err != nil {
			r.Body = io.NopCloser(io.MultiReader(bytes.NewReader(sent), &failing{err}))
		} else {
			r.Body = io.NopCloser(bytes.NewReader(sent))
		}
		r.RemoteAddr = "10.0.0.1:1"
		r.Header.Del("X-Limit-Left-Ms") // an early end is no answer to what this asks
		given := r.Header.Clone()
		s := node("a", "127.0.0.1:1", at)
		s.Boot.Own = "own"
		s.path.Enforce(anyWay)
		s.knows("a", "127.0.0.1:1", "a0")
		defer s.ends.Drop(at)
		w := httptest.NewRecorder()
		if fromPeer {
			r.Header.Set(TargetHeader, "a0")
			r.Header.Set(ServiceHeader, "s")
			r.Header.Set(LimitHeader, "60000")
			must.True(t, s.Gated(w, r))
			must.NotEq(t, "", w.Header().Get(GateHeader))
		} else {
			s.Intake(w, r)
		}
		must.Eq(t, 0, s.hand)
		must.Eq(t, 0, s.bulk.Load())
		must.Eq(t, 0, s.queue.Len())
		must.NotEq(t, http.StatusBadGateway, w.Code, must.Sprintf("%s", w.Body))
		select {
		case got := <-read:
			must.NoError(t, err) // a body that broke off goes nowhere
			must.Eq(t, http.StatusOK, w.Code)
			same(t, r, given, sent, got, fromPeer)
		default:
			must.NotEq(t, http.StatusOK, w.Code)
		}
		must.Eq(t, 0, len(read))
	})
}

// failing is a body that breaks off.
type failing struct{ error }

func (b *failing) Read([]byte) (int, error) { return 0, b.error }

// same holds what the endpoint read against what was sent.
func same(t *testing.T, r *http.Request, given http.Header, sent []byte, got arrived, fromPeer bool) {
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
	for _, name := range own {
		must.True(t, name == TargetHeader || got.Header[name] == nil, must.Sprint(name))
	}
	named := strings.ToLower(strings.Join(given["Connection"], ","))
	for name, values := range given {
		switch {
		case exchange.Hop(name), strings.Contains(named, strings.ToLower(name)), name == testId, name == "X-Calling-Service" && !fromPeer, strings.HasPrefix(name, "X-Cottonarch-"), name == TargetHeader:
			continue
		}
		trimmed := make([]string, len(values))
		for n, v := range values {
			trimmed[n] = textproto.TrimString(v)
		}
		must.Eq(t, trimmed, got.Header[name])
	}
}
