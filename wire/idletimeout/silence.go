// Package idletimeout bounds how long a connection waits for an end that says nothing.
package idletimeout

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Set makes a socket notice within about span that its other end is gone without a
// word, whether bytes are on their way or not. Those that a listener accepts have it
// from the listener.
func Set(raw syscall.RawConn, span time.Duration) error {
	s := max(int(span/time.Second)/3, 1)
	var err error
	said := raw.Control(func(fd uintptr) {
		for _, v := range []struct{ level, name, value int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(span.Milliseconds())},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, s},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, s},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3},
		} {
			if err == nil {
				err = unix.SetsockoptInt(int(fd), v.level, v.name, v.value)
			}
		}
	})
	if said != nil {
		return said
	}
	return err
}
