package server

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A buffer's last byte is read even when it comes on its own; a byte apart is not, and
// is still there for the buffer.
func TestDeafReadsABuffersLastByte(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = l.Close() }()
	far, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	defer func() { _ = far.Close() }()
	near, err := l.Accept()
	must.NoError(t, err)
	defer func() { _ = near.Close() }()
	must.NoError(t, near.SetDeadline(time.Now().Add(time.Minute)))
	c := &deaf{TCPConn: near.(*net.TCPConn)}
	const size = 32
	r := bufio.NewReaderSize(c, size)
	var apart [1]byte
	for round := range byte(3) {
		for n := range byte(size) {
			_, _ = far.Write([]byte{round + n})
			_, err := c.Read(apart[:])
			must.NoError(t, err)
			must.Zero(t, apart[0])
			all, err := r.Peek(int(n) + 1)
			must.NoError(t, err)
			must.Eq(t, round+n, all[n])
		}
		_, err := r.Discard(size)
		must.NoError(t, err)
	}
}
