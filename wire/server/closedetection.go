package server

import (
	"net"
	"unsafe"
)

// noCloseDetection is a connection that does not read while its request is served. net/http
// detects a close by reading into a single byte of its own, apart from the buffer into which it
// reads requests; a read of no bytes ends that at once, and does no harm.
//
// Invariant: lastEnd is where the buffer of the last read ended. The rest of a buffer, when it
// is a single byte, ends there too, and is read; net/http's own byte, which lives as long as
// the connection, never does.
type noCloseDetection struct {
	*net.TCPConn
	lastEnd uintptr
}

// Read reads into a request buffer, and nothing into net/http's single byte.
func (c *noCloseDetection) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	end := uintptr(unsafe.Pointer(&buffer[len(buffer)-1]))
	if len(buffer) == 1 && end != c.lastEnd {
		return 0, nil
	}
	c.lastEnd = end
	return c.TCPConn.Read(buffer)
}
