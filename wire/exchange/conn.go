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
	// wholeMax is how long the end of a connection is waited for after its one return,
	// where no id tells whose the return is.
	wholeMax = 10 * time.Millisecond
	// oneWrite is up to where a body leaves in one piece with its head.
	oneWrite = 8 << 10
	// heldBack is from where the last byte of a request without an id is held back until
	// it is seen that no return came before it.
	heldBack = 32 << 10
)

// conn is one connection. Invariant: it has a reader only while a call has it, so a kept
// one has no byte waiting in this process.
type conn struct {
	*net.TCPConn
	raw   syscall.RawConn
	look  func(fd uintptr) bool
	ask   func(fd uintptr) bool
	what  asking
	shelf *shelf
	in    *reading
	rest  time.Duration // how long it may be unused
	used  time.Time
}

// asking is the state of one visit to the socket.
type asking struct {
	out   []byte        // what is to be written
	tried bool          // whether it was
	sent  int           // bytes taken
	n     int           // bytes seen to wait
	errno syscall.Errno // of the peek
}

func opened(tcp *net.TCPConn, s *shelf) (*conn, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: tcp, raw: raw, shelf: s, rest: s.set.Idle}
	c.look = func(fd uintptr) bool { c.what.peek(fd); return true }
	// Invariant: the runtime forgets earlier wake-ups before it calls this first, so what
	// arrives after the peek ends the wait that begins when it answers false.
	c.ask = func(fd uintptr) bool {
		a := &c.what
		if a.tried {
			return true
		}
		if a.peek(fd); !a.silent() {
			return true
		}
		a.tried = true
		return !a.put(fd)
	}
	return c, nil
}

// peek looks at what waits in the socket without taking it.
func (a *asking) peek(fd uintptr) {
	var one [1]byte
	for {
		n, _, e := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&one[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if a.n, a.errno = int(n), e; e != syscall.EINTR {
			return
		}
	}
}

// put writes what the socket takes at once, and tells whether that was all.
func (a *asking) put(fd uintptr) bool {
	for {
		n, _, e := syscall.RawSyscall6(syscall.SYS_SENDTO, fd, uintptr(unsafe.Pointer(&a.out[0])), uintptr(len(a.out)), syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, 0, 0)
		if e == 0 {
			a.sent = int(n)
		}
		if e != syscall.EINTR {
			return a.sent == len(a.out)
		}
	}
}

func (a *asking) silent() bool {
	return a.errno == syscall.EAGAIN || a.errno == syscall.EWOULDBLOCK
}

// silent tells whether the connection is open with nothing to read.
func (c *conn) silent() bool {
	return c.raw.Read(c.look) == nil && c.what.silent()
}

// speaks tells, after a look, whether bytes wait to be read.
func (c *conn) speaks() bool { return c.what.errno == 0 && c.what.n > 0 }

// cut ends a connection at once, so that no port is kept for stray packets.
func (c *conn) cut() {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// send looks whether the connection is silent, writes the request, and, where one write
// does, waits for the return to begin: look, write and wait are one visit to the socket,
// which spares a read that would find nothing. shut says that the connection is closed or
// speaks before it is asked; then nothing was sent.
func (c *conn) send(call *Call, w *writing) (sent int, d *failure.Error, shut bool) {
	c.what = asking{out: w.head}
	visit := c.ask
	if len(w.body) > 0 {
		visit = c.look
	}
	err := c.raw.Read(visit)
	a := &c.what
	a.out = nil
	switch {
	case a.sent == len(w.head):
		return a.sent, nil, false // what became of the wait is told by the read that follows
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, failure.New(failure.DeadlineExceeded, "no time was left to send"), false
	case err != nil || !a.silent():
		return 0, nil, true
	}
	head, body := w.head[a.sent:], w.body
	// What the other end says before the last byte left is no return to a request that
	// has no id.
	if call.Fresh && call.IdHeader == "" && len(body) > heldBack {
		most := len(body) - 1
		if sent, d = c.put(head, body[:most]); d != nil {
			return sent, d, sent == 0 && d.Kind == failure.LostResponse
		}
		if !c.silent() {
			if c.speaks() {
				return sent, failure.NewUnknown(failure.BadResponse, "a return came before the request was whole"), false
			}
			return sent, failure.NewUnknown(failure.LostResponse, "the request was broken off"), false
		}
		head, body = body[most:], nil
	}
	n, d := c.put(head, body)
	sent += n + a.sent
	return sent, d, sent == 0 && d != nil && d.Kind == failure.LostResponse
}

func (c *conn) put(head, body []byte) (sent int, d *failure.Error) {
	var err error
	if len(body) == 0 {
		sent, err = c.TCPConn.Write(head)
	} else {
		var n int64
		both := net.Buffers{head, body}
		n, err = both.WriteTo(c.TCPConn)
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

// openReader gives the connection a reader for one call.
func (c *conn) openReader() {
	c.in = reads.Get().(*reading)
	c.in.Reset(c.TCPConn)
}

// closeReader gives it back.
func (c *conn) closeReader() {
	c.in.Reset(nil)
	reads.Put(c.in)
	c.in = nil
}

// restFor takes how long the other end keeps the connection unused.
func (c *conn) restFor(rest time.Duration) { c.rest = max(rest-c.shelf.set.Margin, 0) }

// shutEnding is that of a call on a connection that took nothing.
func (c *conn) shutEnding() ending {
	return ending{shut: true, d: failure.New(failure.Busy, "%s closes or speaks before it is asked", c.shelf.addr)}
}

// over looks whether anything follows a return that is to be the last: then it is not
// sure where the return ended, nor to which request it was. The other end was asked to
// close after it; one that does not is waited for a moment only.
func (c *conn) over() *failure.Error {
	_ = c.SetReadDeadline(time.Now().Add(wholeMax))
	if _, err := c.in.Peek(1); err == nil {
		return failure.NewUnknown(failure.BadResponse, "more came than the return")
	}
	return nil
}
