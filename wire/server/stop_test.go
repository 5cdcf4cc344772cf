package server_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/wire/server"
)

// A connection was accepted before a planned stop; its request comes as the server stops. It is
// answered, since its sender can't know whether it was executed when the connection just ends.
func TestRequestThatComesAsTheServerStopsIsAnswered(t *testing.T) {
	s := server.New("127.0.0.1:0", func(w http.ResponseWriter, _ *http.Request) bool {
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	endpoint, err := s.Endpoint()
	must.NoError(t, err)
	go func() { _ = s.Start(context.Background()) }()
	c, err := net.Dial("tcp", endpoint.Host)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	must.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	// The first bytes show that the connection is not an unused one, which a stop may close.
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
	must.NoError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Stop(context.Background()) }()
	for { // the stop has begun once nobody is taken any more
		more, err := net.Dial("tcp", endpoint.Host)
		if err != nil {
			break
		}
		_ = more.Close()
	}
	_, err = io.WriteString(c, "Host: h\r\n\r\n")
	must.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	must.NoError(t, err, must.Sprint("the connection ended without an answer"))
	must.Eq(t, http.StatusServiceUnavailable, response.StatusCode)
	_ = response.Body.Close()
	must.NoError(t, <-stopped)
}
