package server

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The last byte of a request buffer is read even if that byte arrives alone. A read into a separate
// byte reads nothing and leaves the byte unread for the request buffer.
func TestNoCloseDetectionReadsABuffersLastByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer func() { _ = client.Close() }()
	accepted, err := l.Accept()
	must.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	must.NoError(t, accepted.SetDeadline(time.Now().Add(time.Minute)))
	c := &noCloseDetectionConn{TCPConn: accepted.(*net.TCPConn)}
	const size = 32
	r := bufio.NewReaderSize(c, size)
	var separate [1]byte
	for round := range byte(3) {
		for n := range byte(size) {
			_, _ = client.Write([]byte{round + n})
			_, err := c.Read(separate[:])
			must.NoError(t, err)
			must.Zero(t, separate[0])
			peeked, err := r.Peek(int(n) + 1)
			must.NoError(t, err)
			must.Eq(t, round+n, peeked[n])
		}
		_, err := r.Discard(size)
		must.NoError(t, err)
	}
}
