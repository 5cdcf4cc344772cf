package exchange

import (
	"cmp"
	"time"
)

// Settings bound a Pool. A zero value stands for the default named with the field.
type Settings struct {
	// DialTimeout is the longest a new connection may take: 300 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept when the peer sent no Keep-Alive
	// timeout: 8 s.
	IdleTimeout time.Duration
	// KeepAliveMargin is subtracted from the peer's Keep-Alive timeout, so that a request does
	// not cross the peer's close: 0.5 s.
	KeepAliveMargin time.Duration
	// DeadPeerTimeout is how long sent bytes may stay unacknowledged, or probes unanswered,
	// before the connection is closed: 3 s. Probes are sent in whole seconds.
	DeadPeerTimeout time.Duration
	// MaxConns is the limit of open connections to one address; 0 sets none.
	MaxConns int
	// MaxIdleConns is the limit of unused connections kept for one address: 64.
	MaxIdleConns int
	// MaxBodyBytes is the largest response body: DefaultMaxBodyBytes.
	MaxBodyBytes int
}

// DefaultMaxBodyBytes is the largest response body when the settings give none.
const DefaultMaxBodyBytes = 16 << 20

// The defaults of Settings.
const (
	defaultDialTimeout     = 300 * time.Millisecond
	defaultIdleTimeout     = 8 * time.Second
	defaultKeepAliveMargin = 500 * time.Millisecond
	defaultDeadPeerTimeout = 3 * time.Second
	defaultMaxIdleConns    = 64
)

func (s Settings) withDefaults() Settings {
	s.DialTimeout = cmp.Or(s.DialTimeout, defaultDialTimeout)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, defaultIdleTimeout)
	s.KeepAliveMargin = cmp.Or(s.KeepAliveMargin, defaultKeepAliveMargin)
	s.DeadPeerTimeout = cmp.Or(s.DeadPeerTimeout, defaultDeadPeerTimeout)
	s.MaxIdleConns = cmp.Or(s.MaxIdleConns, defaultMaxIdleConns)
	s.MaxBodyBytes = cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)
	return s
}
