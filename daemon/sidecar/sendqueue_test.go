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

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/mesh/priorityqueue"
	"cottonarch.example/cottonarch/wire/response"
)

// A request whose deadline passes while it is queued is rejected at the deadline as not executed,
// and not only after the request before it has ended; the requests behind it move up.
func TestDeadlinePassesInQueue(t *testing.T) {
	arrived, release := make(chan string, 8), make(chan struct{})
	endpointAddr := listen(t, func(c *net.TCPConn) {
		serveRequests(c, func(_ *bufio.Reader, req *http.Request, _ []byte) bool {
			arrived <- req.Header.Get(testIDHeader)
			<-release
			_, _ = io.WriteString(c, successResponse(req.Header.Get(testIDHeader), nil))
			return true
		})
	})
	s := newTestSidecar("a", "127.0.0.1:1", endpointAddr)
	s.sendQueue = priorityqueue.New[*queuedRequest](1, 4)
	s.addWorkloads("a", "127.0.0.1:1", "a0")
	first, third := make(chan *httptest.ResponseRecorder, 1), make(chan *httptest.ResponseRecorder, 1)
	go func() { first <- s.sendAsCaller("/once/x", "r0", patientLimit) }()
	must.Eq(t, "r0", <-arrived)
	second := make(chan *httptest.ResponseRecorder, 1)
	go func() { second <- s.sendAsCaller("/once/x", "r1", shortLimit) }()
	select {
	case w := <-second:
		must.Eq(t, http.StatusServiceUnavailable, w.Code)
		must.Eq(t, string(failure.NotExecuted), w.Header().Get(response.OutcomeHeader))
	case <-time.After(10 * time.Second):
		t.Fatal("the request was held past its deadline")
	}
	must.Eq(t, 0, s.sendQueue.Len())
	go func() { third <- s.sendAsCaller("/once/x", "r2", patientLimit) }()
	close(release)
	must.Eq(t, http.StatusOK, (<-first).Code)
	must.Eq(t, http.StatusOK, (<-third).Code)
	must.Eq(t, "r2", <-arrived)
	must.Eq(t, 0, len(arrived))
}
