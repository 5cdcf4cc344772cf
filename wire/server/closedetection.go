package server

import (
	"net"
	"unsafe"
)

// noCloseDetectionConn is a connection that does not read while a request is served. net/http
// detects a close with a read into a separate single byte, which is not part of the buffer for
// requests. A read that returns no bytes ends the close detection immediately and has no other
// effect.
//
// Invariant: lastEnd is the address of the last byte of the buffer of the last read. If the unfilled
// rest of the request buffer is a single byte, the address of that byte is lastEnd, so the byte is
// read. The separate byte of net/http, which lives as long as the connection, never has the address
// lastEnd.
type noCloseDetectionConn struct {
	*net.TCPConn
	lastEnd uintptr
}

// Read reads into a request buffer. A read into the separate single byte of net/http returns no
// bytes.
func (c *noCloseDetectionConn) Read(buffer []byte) (int, error) {
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
