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
	// closeTimeout is how long a call waits for the peer to close a single-use connection after
	// a response without a request id.
	closeTimeout = 10 * time.Millisecond
	// singleWriteMaxBytes is the size of the largest body that is written together with its head.
	singleWriteMaxBytes = 8 << 10
	// holdBackMinBytes is the body size above which the last byte of a request without an id is
	// withheld until a check has shown that no response arrived before the last byte.
	holdBackMinBytes = 32 << 10
)

// conn is a connection to one address. Invariant: reader is set only during a call, so no byte
// received on an idle connection is buffered in this process.
type conn struct {
	*net.TCPConn
	rawConn syscall.RawConn
	// peekFunc and sendFunc call op.peek and op.peekAndWrite. Both closures are created once per
	// connection, because each creation costs an allocation.
	peekFunc func(fd uintptr) bool
	sendFunc func(fd uintptr) bool
	op       socketOp
	host     *hostPool
	reader   *responseReader
	maxIdle  time.Duration
	lastUsed time.Time
}

func newConn(tcp *net.TCPConn, host *hostPool) (*conn, error) {
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, rawConn: rawConn, host: host, maxIdle: host.settings.IdleTimeout}
	c.peekFunc = func(fd uintptr) bool { c.op.peek(fd); return true }
	c.sendFunc = func(fd uintptr) bool { return c.op.peekAndWrite(fd) }
	return c, nil
}

// isOpenAndEmpty reports whether the connection is open and has no unread bytes.
func (c *conn) isOpenAndEmpty() bool {
	return c.rawConn.Read(c.peekFunc) == nil && c.op.wouldBlock()
}

// hasUnreadBytes reports whether the last peek found unread bytes.
func (c *conn) hasUnreadBytes() bool { return c.op.errno == 0 && c.op.peeked > 0 }

// abort closes the connection with a reset, so that no local port stays in TIME_WAIT.
func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// send checks that the connection is open and has no unread bytes, writes the request and, if one
// write suffices, waits for the first byte of the response. All three steps run in one call of
// rawConn.Read, which saves a read that would find no data. closed is true if the connection was
// closed or had unread bytes before the request was written; in that case nothing was sent.
func (c *conn) send(call *Call, request *encodedRequest) (sent int, fail *failure.Error, closed bool) {
	c.op = socketOp{request: request.head}
	rawFunc := c.sendFunc
	if len(request.body) > 0 {
		rawFunc = c.peekFunc
	}
	err := c.rawConn.Read(rawFunc)
	c.op.request = nil
	switch {
	case c.op.sent == len(request.head):
		return c.op.sent, nil, false // the next read reports an error of the wait
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, failure.New(failure.DeadlineExceeded, "the call timed out or was canceled before the request was sent to %s", c.host.addr), false
	case err != nil || !c.op.wouldBlock():
		return 0, nil, true
	}
	head, body := request.head[c.op.sent:], request.body
	if call.withholdsLastByte(body) {
		last := len(body) - 1
		if sent, fail, closed = c.sendExceptLastByte(head, body[:last]); fail != nil {
			return sent, fail, closed
		}
		head, body = body[last:], nil
	}
	written, fail := c.write(head, body)
	sent += written + c.op.sent
	return sent, fail, nothingSent(sent, fail)
}

// sendExceptLastByte writes the request without its last byte, and fails if a response arrived
// before the last byte was sent.
func (c *conn) sendExceptLastByte(head, body []byte) (sent int, fail *failure.Error, closed bool) {
	if sent, fail = c.write(head, body); fail != nil {
		return sent, fail, nothingSent(sent, fail)
	}
	switch {
	case c.isOpenAndEmpty():
		return sent, nil, false
	case c.hasUnreadBytes():
		return sent, failure.NewUnknown(failure.BadResponse, "a response from %s arrived before the request was complete", c.host.addr), false
	}
	return sent, failure.NewUnknown(failure.LostResponse, "the connection to %s ended while the request was being sent", c.host.addr), false
}

// nothingSent reports whether the connection ended before any byte of the request was written.
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
		return 0, failure.New(failure.DeadlineExceeded, "the call timed out or was canceled before the request was sent to %s", c.host.addr)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return sent, failure.NewUnknown(failure.DeadlineExceeded, "the call timed out or was canceled while the request was being sent to %s", c.host.addr)
	}
	return sent, failure.NewUnknown(failure.LostResponse, "the connection to %s ended while the request was being sent", c.host.addr)
}

// attachReader sets c.reader to a pooled reader for the duration of one call.
func (c *conn) attachReader() {
	c.reader = responseReaders.Get().(*responseReader)
	c.reader.Reset(c.TCPConn)
}

func (c *conn) detachReader() {
	c.reader.Reset(nil)
	responseReaders.Put(c.reader)
	c.reader = nil
}

// applyKeepAlive sets the idle time of the connection from the peer's keep-alive timeout.
func (c *conn) applyKeepAlive(keepAlive time.Duration) {
	c.maxIdle = max(keepAlive-c.host.settings.KeepAliveMargin, 0)
}

// closedResult returns the result of a call on a connection that was closed, or had unread bytes,
// before any byte of the request was sent.
func (c *conn) closedResult() result {
	return result{connClosed: true, fail: failure.New(failure.Busy, "%s closed the connection or sent data before the request was sent", c.host.addr)}
}

// checkNoTrailingData fails if bytes follow the last response on a connection: such bytes leave
// both the end of the response and the request that the response belongs to uncertain. The request
// asked the peer to close the connection after the response; checkNoTrailingData waits at most
// closeTimeout for the close.
func (c *conn) checkNoTrailingData() *failure.Error {
	_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
	if _, err := c.reader.Peek(1); err == nil {
		return failure.NewUnknown(failure.BadResponse, "unexpected data from %s follows the response", c.host.addr)
	}
	return nil
}
