package retrybudget

import (
	"time"

	"cottonarch.example/cottonarch/control/coordination/quota"
)

// Limits are the bound that all nodes keep to together, for each service: in any Window
// at most Ratio of its requests and Extra arrivals beyond the first of each request.
// They come from the boot; what is 0 is as share.Total and the defaults here say, and an
// Extra or Ratio below zero means none.
type Limits struct {
	Window time.Duration
	Ratio  float64
	Extra  int
	// CountNested says that the calls which endpoints make count as requests for the service
	// called. Unless it is known that they do, they save up nothing.
	CountNested bool
}

// The defaults of Terms.
const (
	DefaultWindow = 10 * time.Second
	DefaultRatio  = 0.2
)

// WithDefaults fills in what is not given.
func (t Limits) WithDefaults() Limits {
	if t.Window <= 0 {
		t.Window = DefaultWindow
	}
	if t.Ratio == 0 {
		t.Ratio = DefaultRatio
	}
	if t.Extra == 0 {
		t.Extra = quota.DefaultTotal
	}
	t.Ratio, t.Extra = max(0, t.Ratio), max(-1, t.Extra)
	return t
}

// SettleTime is how long less must have been spent before it is promised: a whole window
// and what clocks that run apart may make of it.
func (t Limits) SettleTime() time.Duration { w := t.WithDefaults().Window; return w + w/10 }
