package exchange

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	// closeTimeout is how long the peer's close is waited for after the response on a
	// single-use connection without a request id.
	closeTimeout = 10 * time.Millisecond
	// singleWriteMax is the largest body, in bytes, that is written together with its head.
	singleWriteMax = 8 << 10
	// holdBackMin is the body size, in bytes, above which the last byte of a request without
	// an id is held back until it is seen that no response came before it.
	holdBackMin = 32 << 10
)

// conn is one connection. Invariant: it has a reader only during a call, so no byte of an
// idle one is buffered in this process.
type conn struct {
	*net.TCPConn
	rawConn syscall.RawConn
	// peekVisit and sendVisit run visit.peek and visit.peekAndWrite; they are made once, for
	// a closure costs an allocation.
	peekVisit func(fd uintptr) bool
	sendVisit func(fd uintptr) bool
	visit     socketVisit
	host      *hostPool
	reader    *responseReader
	maxIdle   time.Duration
	lastUsed  time.Time
}

func newConn(tcp *net.TCPConn, host *hostPool) (*conn, error) {
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, rawConn: rawConn, host: host, maxIdle: host.settings.IdleTimeout}
	c.peekVisit = func(fd uintptr) bool { c.visit.peek(fd); return true }
	c.sendVisit = func(fd uintptr) bool { return c.visit.peekAndWrite(fd) }
	return c, nil
}

// isOpenAndQuiet reports whether the connection is open with nothing to read.
func (c *conn) isOpenAndQuiet() bool {
	return c.rawConn.Read(c.peekVisit) == nil && c.visit.nothingWaits()
}

// hasUnreadBytes tells, after a peek, whether bytes wait to be read.
func (c *conn) hasUnreadBytes() bool { return c.visit.errno == 0 && c.visit.waiting > 0 }

// abort closes the connection with a reset, so that no port stays in TIME_WAIT.
func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// send checks that the connection is quiet, writes the request and, where one write suffices,
// waits for the response to begin: all three are one visit to the socket, which spares a read
// that would find nothing. closed says that the connection was closed, or had something to
// read, before it was used; then nothing was sent.
func (c *conn) send(call *Call, request *encodedRequest) (sent int, fail *failure.Error, closed bool) {
	c.visit = socketVisit{request: request.head}
	visit := c.sendVisit
	if len(request.body) > 0 {
		visit = c.peekVisit
	}
	err := c.rawConn.Read(visit)
	c.visit.request = nil
	switch {
	case c.visit.sent == len(request.head):
		return c.visit.sent, nil, false // the read that follows reports how the wait ended
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, failure.New(failure.DeadlineExceeded, "no time was left to send"), false
	case err != nil || !c.visit.nothingWaits():
		return 0, nil, true
	}
	head, body := request.head[c.visit.sent:], request.body
	if call.holdsBackLastByte(body) {
		last := len(body) - 1
		if sent, fail, closed = c.sendAllBut(head, body[:last]); fail != nil {
			return sent, fail, closed
		}
		head, body = body[last:], nil
	}
	written, fail := c.write(head, body)
	sent += written + c.visit.sent
	return sent, fail, nothingSent(sent, fail)
}

// sendAllBut writes the request without its last byte, and fails if a response came before
// that.
func (c *conn) sendAllBut(head, body []byte) (sent int, fail *failure.Error, closed bool) {
	if sent, fail = c.write(head, body); fail != nil {
		return sent, fail, nothingSent(sent, fail)
	}
	switch {
	case c.isOpenAndQuiet():
		return sent, nil, false
	case c.hasUnreadBytes():
		return sent, failure.NewUnknown(failure.BadResponse, "a response came before the request was complete"), false
	}
	return sent, failure.NewUnknown(failure.LostResponse, "the request was interrupted"), false
}

// nothingSent reports whether a connection broke before it took anything.
func nothingSent(sent int, fail *failure.Error) bool {
	return sent == 0 && fail != nil && fail.Kind == failure.LostResponse
}

func (c *conn) write(head, body []byte) (sent int, fail *failure.Error) {
	var err error
	if len(body) == 0 {
		sent, err = c.TCPConn.Write(head)
	} else {
		var n int64
		buffers := net.Buffers{head, body}
		n, err = buffers.WriteTo(c.TCPConn)
		sent = int(n)
	}
	switch {
	case err == nil:
		return sent, nil
	case errors.Is(err, os.ErrDeadlineExceeded) && sent == 0:
		return 0, failure.New(failure.DeadlineExceeded, "no time was left to send")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return sent, failure.NewUnknown(failure.DeadlineExceeded, "the request was not taken in time")
	}
	return sent, failure.NewUnknown(failure.LostResponse, "the request was interrupted")
}

// attachReader takes a reader from the shared pool for one call.
func (c *conn) attachReader() {
	c.reader = responseReaders.Get().(*responseReader)
	c.reader.Reset(c.TCPConn)
}

func (c *conn) detachReader() {
	c.reader.Reset(nil)
	responseReaders.Put(c.reader)
	c.reader = nil
}

// limitIdle adopts the peer's keep-alive timeout.
func (c *conn) limitIdle(keepAlive time.Duration) {
	c.maxIdle = max(keepAlive-c.host.settings.KeepAliveMargin, 0)
}

// closedResult is the result of a call on a connection that took nothing.
func (c *conn) closedResult() result {
	return result{connClosed: true, fail: failure.New(failure.Busy, "%s closed the connection or sent data before the request", c.host.addr)}
}

// checkNothingFollows fails if anything follows a response that is to be the last: then
// neither its end nor the request it belongs to is certain. The peer was asked to close after
// it; one that does not is waited for no longer than closeTimeout.
func (c *conn) checkNothingFollows() *failure.Error {
	_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
	if _, err := c.reader.Peek(1); err == nil {
		return failure.NewUnknown(failure.BadResponse, "unexpected data follows the response")
	}
	return nil
}
