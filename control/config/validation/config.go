// Package validation turns a configuration document into its typed form and reports every
// fault with its path.
package validation

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Config is a valid configuration of the mesh, as the operators want it in force.
// Invariants: every service that a route names exists; no two routes have the same host and
// path prefix.
type Config struct {
	// Revision is that of the control key that stores the configuration.
	Revision ident.ConfigRevision
	// Version is the author's own rising number, 0 if none is given.
	Version  uint64
	Limits   Limits
	Services map[ident.Service]Service
	// Routes are in order of their names.
	Routes []Route
}

// Service is a named set of endpoints.
type Service struct {
	Hostname  ident.Service `json:"hostname"`
	Namespace string        `json:"namespace"`
	// DrainTimeout is how long a leaving endpoint may take to finish its requests.
	DrainTimeout time.Duration `json:"drain"`
	// AddressReuseDelay is the least time before the address of an endpoint that left may
	// belong to another service.
	AddressReuseDelay time.Duration `json:"reuse"`
	// RetryRatio is the part of its requests that may be retried. Invariant: at most 0.2.
	RetryRatio float64 `json:"part"`
	// CallerWeights weighs the callers of the service that share its retry budget.
	CallerWeights map[string]float64 `json:"callers,omitempty"`
	// HealthCheckPath is the path of an endpoint's health check, empty if it has none.
	HealthCheckPath string `json:"checkPath,omitempty"`
	// MaxConnections bounds the connections to one endpoint; 0 means no bound.
	MaxConnections int `json:"connections,omitempty"`
}

// Limits bound the requests that clients send: their sizes, the time to receive a request's
// header, and the time that a connection may be idle.
type Limits struct {
	MaxHeaderBytes int64         `json:"headBytes"`
	MaxBodyBytes   int64         `json:"bodyBytes"`
	HeaderTimeout  time.Duration `json:"head"`
	IdleTimeout    time.Duration `json:"idle"`
}

// DefaultLimits are the limits that apply where a configuration gives none.
var DefaultLimits = Limits{
	MaxHeaderBytes: 64 << 10,
	MaxBodyBytes:   8 << 20,
	HeaderTimeout:  10 * time.Second,
	IdleTimeout:    90 * time.Second,
}
