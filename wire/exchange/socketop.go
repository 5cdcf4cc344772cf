package exchange

import (
	"syscall"
	"unsafe"
)

// socketOp is the state of one operation on a socket through syscall.RawConn. The operation uses raw
// system calls, which do not block and so need no bookkeeping by the scheduler.
type socketOp struct {
	request        []byte // the bytes to write
	writeAttempted bool   // whether the write was attempted
	sent           int    // number of bytes written
	peeked         int    // number of bytes that the last peek returned
	errno          syscall.Errno
}

// peek checks for an unread byte in the socket without consuming the byte, and sets peeked and errno.
func (v *socketOp) peek(fd uintptr) {
	var buffer [1]byte
	for {
		n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd,
			uintptr(unsafe.Pointer(&buffer[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if v.peeked, v.errno = int(n), errno; errno != syscall.EINTR {
			return
		}
	}
}

// write writes as many bytes of the request as the socket accepts without blocking, and reports
// whether the whole request was written.
func (v *socketOp) write(fd uintptr) bool {
	for {
		n, _, errno := syscall.RawSyscall6(syscall.SYS_SENDTO, fd,
			uintptr(unsafe.Pointer(&v.request[0])), uintptr(len(v.request)), syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL, 0, 0)
		if errno == 0 {
			v.sent = int(n)
		}
		if errno != syscall.EINTR {
			return v.sent == len(v.request)
		}
	}
}

// wouldBlock reports whether the last peek found the connection open and without unread bytes.
func (v *socketOp) wouldBlock() bool {
	return v.errno == syscall.EAGAIN || v.errno == syscall.EWOULDBLOCK
}

// peekAndWrite writes the request if the connection is open and has no unread bytes. The result
// tells the poller of the runtime whether the operation is complete; after false, the poller waits
// until the socket is readable and calls peekAndWrite again.
//
// Invariant: the runtime discards earlier readiness events before the first call, so bytes that
// arrive after the peek end the wait that begins when peekAndWrite returns false.
func (v *socketOp) peekAndWrite(fd uintptr) bool {
	if v.writeAttempted {
		return true
	}
	if v.peek(fd); !v.wouldBlock() {
		return true
	}
	v.writeAttempted = true
	return !v.write(fd)
}
