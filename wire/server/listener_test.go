package server_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/wire/server"
	"github.com/shoenig/test/must"
)

// A server with polled close detection reads every request completely, however the reads split the
// request: heads of all lengths around the size of the net/http buffer and around twice that size,
// small bodies, the last byte of a buffer alone, and several requests at once.
func TestPolledCloseDetectionReadsWholeRequests(t *testing.T) {
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) bool {
		body, err := io.ReadAll(r.Body)
		_, _ = fmt.Fprint(w, len(r.Header.Get("X-Pad")), " ", len(body), " ", err)
		return true
	}, server.PolledCloseDetection())
	c, err := net.Dial("tcp", addr)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	in := bufio.NewReader(c)
	mustRespond := func(pad, size int) {
		res, err := http.ReadResponse(in, nil)
		must.NoError(t, err)
		text, err := io.ReadAll(res.Body)
		must.NoError(t, err)
		must.Eq(t, fmt.Sprint(pad, " ", size, " ", error(nil)), string(text))
	}
	request := func(pad, size int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("p", pad), size,
			strings.Repeat("b", size))
	}
	head := len(request(0, 0))
	for _, edge := range []int{4096, 8192} {
		for pad := edge - head - 3; pad <= edge-head+3; pad++ {
			for size := range 3 {
				requestBytes := request(pad, size)
				// A cut one byte before the edge leaves one byte of the buffer free.
				for _, cut := range []int{len(requestBytes), edge - 1, edge, len(requestBytes) - 1} {
					cut = min(cut, len(requestBytes))
					_, _ = io.WriteString(c, requestBytes[:cut])
					_, _ = io.WriteString(c, requestBytes[cut:])
					mustRespond(pad, size)
				}
			}
		}
	}
	_, _ = io.WriteString(c, request(1, 0)+request(2, 1)+request(3, 5000))
	mustRespond(1, 0)
	mustRespond(2, 1)
	mustRespond(3, 5000)
	requestBytes := request(40, 40)
	for n := range len(requestBytes) {
		_, _ = io.WriteString(c, requestBytes[n:n+1])
	}
	mustRespond(40, 40)
}

// Accepted connections inherit the socket options for unresponsive peers from the listening socket.
func TestDeadPeerTimeoutIsInherited(t *testing.T) {
	got := make(chan int, 3)
	s := server.New("127.0.0.1:0", func(http.ResponseWriter, *http.Request) bool { return true }, server.DeadPeerTimeout(6*time.Second))
	s.ConnState = func(c net.Conn, to http.ConnState) {
		if to != http.StateNew {
			return
		}
		raw, err := c.(*net.TCPConn).SyscallConn()
		must.NoError(t, err)
		must.NoError(t, raw.Control(func(fd uintptr) {
			for _, name := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL} {
				n, _ := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
				got <- n
			}
		}))
	}
	endpoint, err := s.Endpoint()
	must.NoError(t, err)
	go func() { _ = s.Start(context.Background()) }()
	defer func() { _ = s.Stop(context.Background()) }()
	c, err := net.Dial("tcp", endpoint.Host)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.Eq(t, 6000, <-got)
	must.Eq(t, 2, <-got)
	must.Eq(t, 2, <-got)
}

// Start returns an error if the address is already in use.
func TestAddressInUseIsReported(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	s := server.New(ident.Addr(l.Addr().String()), nil, server.PolledCloseDetection())
	must.ErrorContains(t, s.Start(context.Background()), "address already in use")
}
