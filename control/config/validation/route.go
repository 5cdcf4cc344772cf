package validation

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Route sends the requests for a host and path prefix to a service.
type Route struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"pathStart"`
	// Service receives the requests that Split does not send to other services.
	Service ident.Service `json:"service"`
	Urgent  bool          `json:"urgent,omitempty"`
	// Repeat determines which requests may be executed twice; if empty, the method decides.
	Repeat RepeatPolicy `json:"repeat,omitempty"`
	// Priority is the priority of the route's requests under load; 0 is the highest.
	Priority int `json:"rank"`
	// TargetLatency is the latency up to which a response has its full value; 0 means no target.
	TargetLatency time.Duration `json:"aim,omitempty"`
	// Split sends parts of the requests to other services. Invariants: sorted by service; the parts
	// sum to at most FullShare; Service is not among the services of Split.
	Split []WeightedService `json:"split,omitempty"`
	// Timeout bounds a request including all attempts.
	Timeout     time.Duration `json:"limit"`
	MaxAttempts int           `json:"tries"`
}

const (
	// FullShare is the share of all requests of a route, in millionths.
	FullShare = 1_000_000
	// OnePercent is the share of one percent of the requests of a route, in millionths.
	OnePercent = FullShare / 100
)

// WeightedService is a service with its share of the requests of a route: Percent percent plus
// ExtraMillionths millionths. Invariant: ExtraMillionths is less than OnePercent.
type WeightedService struct {
	Service         ident.Service `json:"service"`
	Percent         int           `json:"percent"`
	ExtraMillionths int           `json:"rest,omitempty"`
}

// Millionths returns the service's share of the route's requests in millionths.
func (w WeightedService) Millionths() int { return w.Percent*OnePercent + w.ExtraMillionths }
