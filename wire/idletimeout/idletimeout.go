// Package idletimeout bounds how long a connection waits for an unresponsive peer.
package idletimeout

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is how many keep-alive probes may stay unanswered; together with the wait before the
// first they take about the timeout.
const probes = 3

// Set makes a socket notice within about timeout that its peer is unreachable, whether bytes
// are in flight (TCP_USER_TIMEOUT) or not (keep-alive probes). Accepted connections inherit it
// from their listener.
func Set(raw syscall.RawConn, timeout time.Duration) error {
	probeSeconds := max(int(timeout/time.Second)/probes, 1)
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		for _, option := range []struct{ level, name, value int }{
			{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds())},
			{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
			{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, probeSeconds},
			{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, probeSeconds},
			{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probes},
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
