// Package idletimeout limits how long a TCP connection waits for an unresponsive peer.
package idletimeout

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is how many keep-alive probes may stay unanswered. The idle time before the first probe
// and the intervals between the probes add up to about the timeout.
const probes = 3

// Set makes the kernel close the connection of a socket when the peer is unreachable for about
// timeout, whether bytes are in flight (TCP_USER_TIMEOUT) or not (keep-alive probes). Accepted
// connections inherit the options from their listening socket.
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
