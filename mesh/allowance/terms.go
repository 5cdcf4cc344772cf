package allowance

import (
	"time"

	"cottonarch.example/cottonarch/control/coordination/share"
)

// Terms are the bound that all nodes keep to together, for each service: in any Window
// at most Ratio of its requests and Extra arrivals beyond the first of each request.
// They come from the boot; what is 0 is as share.Total and the defaults here say, and an
// Extra or Ratio below zero means none.
type Terms struct {
	Window time.Duration
	Ratio  float64
	Extra  int
	// Inner says that the calls which endpoints make count as requests for the service
	// called. Unless it is known that they do, they save up nothing.
	Inner bool
}

// The defaults of Terms.
const (
	Window = 10 * time.Second
	Ratio  = 0.2
)

// Whole fills in what is not given.
func (t Terms) Whole() Terms {
	if t.Window <= 0 {
		t.Window = Window
	}
	if t.Ratio == 0 {
		t.Ratio = Ratio
	}
	if t.Extra == 0 {
		t.Extra = share.Total
	}
	t.Ratio, t.Extra = max(0, t.Ratio), max(-1, t.Extra)
	return t
}

// Settle is how long less must have been spent before it is promised: a whole window
// and what clocks that run apart may make of it.
func (t Terms) Settle() time.Duration { w := t.Whole().Window; return w + w/10 }
