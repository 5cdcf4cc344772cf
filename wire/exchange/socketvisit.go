package exchange

import (
	"syscall"
	"unsafe"
)

// socketVisit is the state of one visit to a socket through syscall.RawConn. Raw system calls
// spare the scheduler's bookkeeping: none of them blocks.
type socketVisit struct {
	request   []byte // what is to be written
	attempted bool   // whether the write was tried
	sent      int    // bytes that the socket took
	waiting   int    // bytes that the peek saw
	errno     syscall.Errno
}

// peek looks at what waits in the socket without consuming it.
func (v *socketVisit) peek(fd uintptr) {
	var buffer [1]byte
	for {
		n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd,
			uintptr(unsafe.Pointer(&buffer[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
		if v.waiting, v.errno = int(n), errno; errno != syscall.EINTR {
			return
		}
	}
}

// write writes what the socket takes at once, and reports whether that was all.
func (v *socketVisit) write(fd uintptr) bool {
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

// nothingWaits tells, after a peek, whether the connection is open with nothing to read.
func (v *socketVisit) nothingWaits() bool {
	return v.errno == syscall.EAGAIN || v.errno == syscall.EWOULDBLOCK
}

// peekAndWrite writes the request if nothing waits to be read. It tells the runtime's poller
// whether the visit is over; false makes it wait until the socket is readable.
//
// Invariant: the runtime forgets earlier wake-ups before it calls this first, so what arrives
// after the peek ends the wait that begins when it returns false.
func (v *socketVisit) peekAndWrite(fd uintptr) bool {
	if v.attempted {
		return true
	}
	if v.peek(fd); !v.nothingWaits() {
		return true
	}
	v.attempted = true
	return !v.write(fd)
}
