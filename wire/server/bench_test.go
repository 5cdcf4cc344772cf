package server_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"cottonarch.example/cottonarch/wire/server"
	"github.com/shoenig/test/must"
)

// BenchmarkIntercept measures a server whose intercept function serves the requests of a single
// connection. The client only looks for the end of each response, so the server causes most of the
// measured cost.
func BenchmarkIntercept(b *testing.B) {
	for name, request := range map[string]string{
		"get":  "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Id: 9c41d07be2a35f68\r\nX-Left: 500\r\nAccept: */*\r\n\r\n",
		"post": "POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Id: 9c41d07be2a35f68\r\nX-Left: 500\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024),
	} {
		for _, polledCloseDetection := range []bool{false, true} {
			b.Run(fmt.Sprint(name, "/polled close detection ", polledCloseDetection), func(b *testing.B) {
				var options []server.Option
				if polledCloseDetection {
					options = []server.Option{server.PolledCloseDetection(), server.DeadPeerTimeout(3 * time.Second)}
				}
				text := []byte(strings.Repeat("y", 1017) + "the end")
				addr := startServer(b, func(w http.ResponseWriter, r *http.Request) bool {
					if r.ContentLength > 0 {
						body := make([]byte, r.ContentLength)
						_, _ = io.ReadFull(r.Body, body)
					}
					for range 3 { // yield to other goroutines, as a longer request does
						runtime.Gosched()
					}
					h := w.Header()
					h["Content-Length"], h["Content-Type"], h["Date"] = contentLength, contentType, nil
					_, _ = w.Write(text)
					return true
				}, options...)
				c, err := net.Dial("tcp", addr)
				must.NoError(b, err)
				defer func() { _ = c.Close() }()
				received, requestBytes := make([]byte, 64<<10), []byte(request)
				var before, after syscall.Rusage
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
				b.ReportAllocs()
				for b.Loop() {
					_, _ = c.Write(requestBytes)
					for size := 0; !bytes.HasSuffix(received[:size], []byte("the end")); {
						n, err := c.Read(received[size:])
						must.NoError(b, err)
						size += n
					}
				}
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
				b.ReportMetric(float64(after.Utime.Nano()+after.Stime.Nano()-before.Utime.Nano()-before.Stime.Nano())/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

var contentLength, contentType = []string{"1024"}, []string{"application/octet-stream"}

func startServer(b testing.TB, intercept func(http.ResponseWriter, *http.Request) bool, options ...server.Option) string {
	s := server.New("127.0.0.1:0", intercept, options...)
	endpoint, err := s.Endpoint()
	must.NoError(b, err)
	go func() { _ = s.Start(context.Background()) }()
	b.Cleanup(func() { _ = s.Stop(context.Background()) })
	return endpoint.Host
}
