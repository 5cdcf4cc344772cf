package exchange

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
	"unsafe"

	"cottonarch.example/cottonarch/base/failure"
)

const (
	// closeTimeout is how long the end of a connection is waited for after its one return,
	// where no id tells whose the return is.
	closeTimeout = 10 * time.Millisecond
	// singleWriteMax is up to where a body leaves in one piece with its head.
	singleWriteMax = 8 << 10
	// holdBackMin is from where the last byte of a request without an id is held back until
	// it is seen that no return came before it.
	holdBackMin = 32 << 10
)

// conn is one connection. Invariant: it has a reader only while a call has it, so a kept
// one has no byte waiting in this process.
type conn struct {
	*net.TCPConn
	rawConn   syscall.RawConn
	peekVisit func(fd uintptr) bool
	sendVisit func(fd uintptr) bool
	visit     socketVisit
	host      *hostPool
	reader    *responseReader
	maxIdle   time.Duration // how long it may be unused
	lastUsed  time.Time
}

// socketVisit is the state of one visit to the socket.
type socketVisit struct {
	request   []byte        // what is to be written
	attempted bool          // whether it was
	sent      int           // bytes taken
	waiting   int           // bytes seen to wait
	errno     syscall.Errno // of the peek
}

func newConn(tcp *net.TCPConn, host *hostPool) (*conn, error) {
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, rawConn: rawConn, host: host, maxIdle: host.settings.IdleTimeout}
	c.peekVisit = func(fd uintptr) bool { c.visit.peek(fd); return true }
	// Invariant: the runtime forgets earlier wake-ups before it calls this first, so what
	// arrives after the peek ends the wait that begins when it answers false.
	c.sendVisit = func(fd uintptr) bool {
		visit := &c.visit
		if visit.attempted {
			return true
		}
		if visit.peek(fd); !visit.nothingWaits() {
			return true
		}
		visit.attempted = true
		return !visit.write(fd)
	}
	return c, nil
}

// peek looks at what waits in the socket without taking it.
func (v *socketVisit) peek(fd uintptr) {
	var buffer [1]byte
	for {
		n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&buffer[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if v.waiting, v.errno = int(n), errno; errno != syscall.EINTR {
			return
		}
	}
}

// write writes what the socket takes at once, and tells whether that was all.
func (v *socketVisit) write(fd uintptr) bool {
	for {
		n, _, errno := syscall.RawSyscall6(syscall.SYS_SENDTO, fd, uintptr(unsafe.Pointer(&v.request[0])), uintptr(len(v.request)), syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, 0, 0)
		if errno == 0 {
			v.sent = int(n)
		}
		if errno != syscall.EINTR {
			return v.sent == len(v.request)
		}
	}
}

func (v *socketVisit) nothingWaits() bool {
	return v.errno == syscall.EAGAIN || v.errno == syscall.EWOULDBLOCK
}

// isOpenAndQuiet tells whether the connection is open with nothing to read.
func (c *conn) isOpenAndQuiet() bool {
	return c.rawConn.Read(c.peekVisit) == nil && c.visit.nothingWaits()
}

// hasUnreadBytes tells, after a look, whether bytes wait to be read.
func (c *conn) hasUnreadBytes() bool { return c.visit.errno == 0 && c.visit.waiting > 0 }

// abort ends a connection at once, so that no port is kept for stray packets.
func (c *conn) abort() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// send looks whether the connection is silent, writes the request, and, where one write
// does, waits for the return to begin: look, write and wait are one visit to the socket,
// which spares a read that would find nothing. shut says that the connection is closed or
// speaks before it is asked; then nothing was sent.
func (c *conn) send(call *Call, request *encodedRequest) (sent int, fail *failure.Error, closed bool) {
	c.visit = socketVisit{request: request.head}
	visit := c.sendVisit
	if len(request.body) > 0 {
		visit = c.peekVisit
	}
	err := c.rawConn.Read(visit)
	result := &c.visit
	result.request = nil
	switch {
	case result.sent == len(request.head):
		return result.sent, nil, false // what became of the wait is told by the read that follows
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, failure.New(failure.DeadlineExceeded, "no time was left to send"), false
	case err != nil || !result.nothingWaits():
		return 0, nil, true
	}
	head, body := request.head[result.sent:], request.body
	// What the other end says before the last byte left is no return to a request that
	// has no id.
	if call.SingleUse && call.IDHeader == "" && len(body) > holdBackMin {
		limit := len(body) - 1
		if sent, fail = c.write(head, body[:limit]); fail != nil {
			return sent, fail, sent == 0 && fail.Kind == failure.LostResponse
		}
		if !c.isOpenAndQuiet() {
			if c.hasUnreadBytes() {
				return sent, failure.NewUnknown(failure.BadResponse, "a return came before the request was whole"), false
			}
			return sent, failure.NewUnknown(failure.LostResponse, "the request was broken off"), false
		}
		head, body = body[limit:], nil
	}
	written, fail := c.write(head, body)
	sent += written + result.sent
	return sent, fail, sent == 0 && fail != nil && fail.Kind == failure.LostResponse
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
	return sent, failure.NewUnknown(failure.LostResponse, "the request was broken off")
}

// attachReader gives the connection a reader for one call.
func (c *conn) attachReader() {
	c.reader = responseReaders.Get().(*responseReader)
	c.reader.Reset(c.TCPConn)
}

// detachReader gives it back.
func (c *conn) detachReader() {
	c.reader.Reset(nil)
	responseReaders.Put(c.reader)
	c.reader = nil
}

// limitIdle takes how long the other end keeps the connection unused.
func (c *conn) limitIdle(keepAlive time.Duration) {
	c.maxIdle = max(keepAlive-c.host.settings.KeepAliveMargin, 0)
}

// closedResult is that of a call on a connection that took nothing.
func (c *conn) closedResult() result {
	return result{connClosed: true, fail: failure.New(failure.Busy, "%s closes or speaks before it is asked", c.host.addr)}
}

// checkNothingFollows looks whether anything follows a return that is to be the last: then it is not
// sure where the return ended, nor to which request it was. The other end was asked to
// close after it; one that does not is waited for a moment only.
func (c *conn) checkNothingFollows() *failure.Error {
	_ = c.SetReadDeadline(time.Now().Add(closeTimeout))
	if _, err := c.reader.Peek(1); err == nil {
		return failure.NewUnknown(failure.BadResponse, "more came than the return")
	}
	return nil
}
