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

// BenchmarkFront serves requests on one kept connection by the front filter alone; the
// other end only counts bytes, so most of the figure is the server's own.
func BenchmarkFront(b *testing.B) {
	for name, req := range map[string]string{
		"get":  "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Id: 9c41d07be2a35f68\r\nX-Left: 500\r\nAccept: */*\r\n\r\n",
		"post": "POST /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Id: 9c41d07be2a35f68\r\nX-Left: 500\r\nContent-Length: 1024\r\n\r\n" + strings.Repeat("x", 1024),
	} {
		for _, deaf := range []bool{false, true} {
			b.Run(fmt.Sprint(name, "/deaf ", deaf), func(b *testing.B) {
				var with []server.Option
				if deaf {
					with = []server.Option{server.Deaf(), server.Silence(3 * time.Second)}
				}
				text := []byte(strings.Repeat("y", 1017) + "the end")
				s := served(b, func(w http.ResponseWriter, r *http.Request) bool {
					if r.ContentLength > 0 {
						body := make([]byte, r.ContentLength)
						_, _ = io.ReadFull(r.Body, body)
					}
					for range 3 { // who serves is another one: a request takes a while
						runtime.Gosched()
					}
					h := w.Header()
					h["Content-Length"], h["Content-Type"], h["Date"] = length, kind, nil
					_, _ = w.Write(text)
					return true
				}, with...)
				c, err := net.Dial("tcp", s)
				must.NoError(b, err)
				defer func() { _ = c.Close() }()
				all, say := make([]byte, 64<<10), []byte(req)
				var from, to syscall.Rusage
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &from)
				b.ReportAllocs()
				for b.Loop() {
					_, _ = c.Write(say)
					for at := 0; !bytes.HasSuffix(all[:at], []byte("the end")); {
						n, err := c.Read(all[at:])
						must.NoError(b, err)
						at += n
					}
				}
				_ = syscall.Getrusage(syscall.RUSAGE_SELF, &to)
				b.ReportMetric(float64(to.Utime.Nano()+to.Stime.Nano()-from.Utime.Nano()-from.Stime.Nano())/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

var length, kind = []string{"1024"}, []string{"application/octet-stream"}

func served(b testing.TB, front func(http.ResponseWriter, *http.Request) bool, with ...server.Option) string {
	s := server.New("127.0.0.1:0", front, with...)
	at, err := s.Endpoint()
	must.NoError(b, err)
	go func() { _ = s.Start(context.Background()) }()
	b.Cleanup(func() { _ = s.Stop(context.Background()) })
	return at.Host
}
