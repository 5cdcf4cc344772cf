package retrybudget

import (
	"time"

	"cottonarch.example/cottonarch/control/coordination/quota"
)

// Defaults of Limits.
const (
	DefaultWindow = 10 * time.Second
	DefaultRatio  = 0.2
)

// Limits define, for each service, the limit that holds for all sidecars of a mesh together: within
// any Window, the number of attempts that reach an endpoint, beyond the first attempt of each
// request, is at most Ratio times the number of requests, plus Extra. Limits come from the settings.
// A field that is 0 takes its default; the default of Extra is quota.DefaultTotal. A negative Extra
// allows no extra retries, and a negative Ratio allows no retries in proportion to the requests.
type Limits struct {
	Window time.Duration
	Ratio  float64
	Extra  int
	// CountNested makes nested calls, which are calls by endpoints, count as requests for the called
	// service, so that each nested call saves its ratio for retries. CountNested may be set only if
	// all calls by endpoints are known to be recognized as nested. While CountNested is false,
	// nested calls save nothing.
	CountNested bool
}

// WithDefaults returns the limits with defaults for the fields that are not set.
func (l Limits) WithDefaults() Limits {
	if l.Window <= 0 {
		l.Window = DefaultWindow
	}
	if l.Ratio == 0 {
		l.Ratio = DefaultRatio
	}
	if l.Extra == 0 {
		l.Extra = quota.DefaultTotal
	}
	l.Ratio, l.Extra = max(0, l.Ratio), max(-1, l.Extra)
	return l
}

// SettleTime returns how long a sidecar must have used a lower share before the sidecar may confirm
// to the cores that its retries within a window do not exceed the lower share: a whole window, plus
// one tenth as a margin for clock drift.
func (l Limits) SettleTime() time.Duration {
	window := l.WithDefaults().Window
	return window + window/10
}
