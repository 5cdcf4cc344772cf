package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/wire/reply"
)

// A request whose time ends while it is queued is turned away then, not run, and not
// held until one of those before it is over; who stands behind it moves up.
func TestTimeEndsInLine(t *testing.T) {
	read, goOn := make(chan string, 8), make(chan struct{})
	at := listens(t, func(c *net.TCPConn) {
		eachRequest(c, func(_ *bufio.Reader, req *http.Request, _ []byte) bool {
			read <- req.Header.Get(testId)
			<-goOn
			_, _ = io.WriteString(c, sealedAnswer(req.Header.Get(testId), nil))
			return true
		})
	})
	s := node("a", "127.0.0.1:1", at)
	s.queue = priorityqueue.New[*job](1, 4)
	s.knows("a", "127.0.0.1:1", "a0")
	first, third := make(chan *httptest.ResponseRecorder, 1), make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- s.asks("/once/x", "r0", patientLimit) }()
	must.Eq(t, "r0", <-read)
	second := make(chan *httptest.ResponseRecorder, 1)
	go func() { second <- s.asks("/once/x", "r1", shortLimit) }()
	select {
	case w := <-second:
		must.Eq(t, http.StatusServiceUnavailable, w.Code)
		must.Eq(t, string(failure.NotExecuted), w.Header().Get(reply.FateHeader))
	case <-time.After(10 * time.Second):
		t.Fatal("it was held past its time")
	}
	must.Eq(t, 0, s.queue.Len())
	go func() { third <- s.asks("/once/x", "r2", patientLimit) }()
	close(goOn)
	must.Eq(t, http.StatusOK, (<-first).Code)
	must.Eq(t, http.StatusOK, (<-third).Code)
	must.Eq(t, "r2", <-read)
	must.Eq(t, 0, len(read))
}
