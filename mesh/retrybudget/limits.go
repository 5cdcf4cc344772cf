package retrybudget

import (
	"time"

	"cottonarch.example/cottonarch/control/coordination/quota"
)

// The defaults of Limits.
const (
	DefaultWindow = 10 * time.Second
	DefaultRatio  = 0.2
)

// Limits are the bound that all sidecars of a mesh keep together, for each service: within any Window,
// beyond the first attempt of each request, no more attempts reach an endpoint than Ratio of the
// requests and Extra. They come from the settings. A field that is 0 takes its default, Extra that of
// quota.DefaultTotal; an Extra or Ratio below zero means none.
type Limits struct {
	Window time.Duration
	Ratio  float64
	Extra  int
	// CountNested says that calls of endpoints count as requests for the service called. Unless all
	// of them are known to be seen as such, they save up nothing.
	CountNested bool
}

// WithDefaults fills in what is not given.
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

// SettleTime is for how long a sidecar must have used a lower share before it may promise to the cores
// to use no more: a whole window, and a margin for clocks that run apart.
func (l Limits) SettleTime() time.Duration {
	window := l.WithDefaults().Window
	return window + window/10
}
