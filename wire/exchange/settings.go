package exchange

import (
	"cmp"
	"time"
)

// Settings are the timeouts and limits of a Pool. A field that is zero has the default that its
// comment states.
type Settings struct {
	// DialTimeout is the longest time that dialing a connection may take. Default: 300 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the peer has sent no Keep-Alive
	// timeout. Default: 8 s.
	IdleTimeout time.Duration
	// KeepAliveMargin is subtracted from the Keep-Alive timeout of the peer, so that no request
	// is in flight when the peer closes the connection. Default: 0.5 s.
	KeepAliveMargin time.Duration
	// DeadPeerTimeout is how long sent bytes may stay unacknowledged, or probes unanswered,
	// before the connection is closed. The probe interval is in whole seconds. Default: 3 s.
	DeadPeerTimeout time.Duration
	// MaxConns is the limit of open connections to one address; 0 means no limit.
	MaxConns int
	// MaxIdleConns is the limit of idle connections to one address. Default: 64.
	MaxIdleConns int
	// MaxBodyBytes is the largest size of a response body. Default: DefaultMaxBodyBytes.
	MaxBodyBytes int
}

// DefaultMaxBodyBytes is the default of Settings.MaxBodyBytes.
const DefaultMaxBodyBytes = 16 << 20

// The defaults of the other Settings.
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
