package exchange_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/exchange"
	"github.com/shoenig/test/must"
)

// BenchmarkDo sends requests over one pooled connection to a net/http server in the same process.
// The results include the cost of the server.
func BenchmarkDo(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10} {
		text := strings.Repeat("x", size)
		b.Run(fmt.Sprint("body ", size), func(b *testing.B) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header()[idHeader] = r.Header[idHeader]
				w.Header().Set("Content-Type", "application/octet-stream")
				w.Header().Set("X-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
				_, _ = io.WriteString(w, text)
			}))
			defer srv.Close()
			pool := exchange.New("")
			addr := ident.Addr(strings.TrimPrefix(srv.URL, "http://"))
			call := exchange.Call{Method: "POST", Target: "/lepu270/2f?a=b", Host: "jepu9.example", Body: []byte(text), Header: http.Header{
				idHeader: {"9c41d07be2a35f68"}, "X-Left": {"500"}, "X-Target-Server": {"i-7f3a91c2"}, "Accept": {"*/*"}, "X-Calling": {"huvo11a"}}}
			identify(&call)
			runBenchmark(b, pool, addr, call)
		})
	}
}

// BenchmarkDoAlone measures Do with a server that only looks for the end of a request, so that Do
// causes most of the measured cost.
func BenchmarkDoAlone(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(b, err)
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		response := []byte("HTTP/1.1 200 OK\r\nX-Bench-Id: 9c41d07be2a35f68\r\nX-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: application/octet-stream\r\nDate: Wed, 02 Dec 2026 02:39:36 GMT\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024))
		received := make([]byte, 64<<10)
		for size := 0; ; {
			n, err := c.Read(received[size:])
			if err != nil {
				return
			}
			if size += n; bytes.HasSuffix(received[:size], []byte("the end")) {
				size = 0
				_, _ = c.Write(response)
			}
		}
	}()
	call := exchange.Call{Method: "POST", Target: "/lepu270/2f?a=b", Host: "jepu9.example", Body: []byte(strings.Repeat("x", 1000) + "the end"), Header: http.Header{
		idHeader: {"9c41d07be2a35f68"}, "X-Left": {"500"}, "X-Target-Server": {"i-7f3a91c2"}, "Accept": {"*/*"}, "X-Calling": {"huvo11a"}}}
	identify(&call)
	runBenchmark(b, exchange.New(""), ident.Addr(l.Addr().String()), call)
}

func runBenchmark(b *testing.B, pool *exchange.Pool, addr ident.Addr, call exchange.Call) {
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	b.ReportAllocs()
	for b.Loop() {
		ctx, stop := withDeadline(&call, 2*time.Second)
		_, _, fail := pool.Do(ctx, addr, call)
		stop()
		must.Nil(b, fail)
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/float64(b.N), "cpu-ns/op")
}

const idHeader = "X-Bench-Id"

// identify sets the id and the required header, as a sidecar does for a call to an endpoint.
func identify(call *exchange.Call) {
	call.IDHeader, call.ID, call.RequiredHeader = idHeader, "9c41d07be2a35f68", "X-Seal"
}

func withDeadline(call *exchange.Call, timeout time.Duration) (context.Context, func()) {
	call.Deadline = time.Now().Add(timeout)
	return context.Background(), func() {}
}
