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
	// Service receives what Split leaves.
	Service ident.Service `json:"service"`
	Urgent  bool          `json:"urgent,omitempty"`
	// Repeat says which requests may be executed twice; empty leaves it to the method.
	Repeat RepeatPolicy `json:"repeat,omitempty"`
	// Priority orders the requests of different routes under load, 0 first.
	Priority int `json:"rank"`
	// TargetLatency is the latency up to which a response has its full value; 0 means none.
	TargetLatency time.Duration `json:"aim,omitempty"`
	// Split sends parts of the requests to other services. Invariants: in order of service;
	// the parts sum to no more than the whole; Service is not among them.
	Split []WeightedService `json:"split,omitempty"`
	// Timeout bounds a request with all its attempts.
	Timeout     time.Duration `json:"limit"`
	MaxAttempts int           `json:"tries"`
}

const (
	// FullShare is all requests of a route, in millionths.
	FullShare = 1_000_000
	// OnePercent is one percent of the requests of a route, in millionths.
	OnePercent = FullShare / 100
)

// WeightedService is a service with its part of the requests of a route: Percent percent
// and ExtraMillionths millionths. Invariant: ExtraMillionths is less than one percent.
type WeightedService struct {
	Service         ident.Service `json:"service"`
	Percent         int           `json:"percent"`
	ExtraMillionths int           `json:"rest,omitempty"`
}

// Millionths returns the part of the service in millionths of the route's requests.
func (w WeightedService) Millionths() int { return w.Percent*OnePercent + w.ExtraMillionths }
