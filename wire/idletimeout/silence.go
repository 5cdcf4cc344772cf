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
func Set(raw syscall.RawConn, timeout time.Duration) error {
	probeSeconds := max(int(timeout/time.Second)/3, 1)
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		for _, option := range []struct{ level, name, value int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeSeconds},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeSeconds},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 3},
		} {
			if err == nil {
				err = unix.SetsockoptInt(int(fd), option.level, option.name, option.value)
			}
		}
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
