// Package validation converts a configuration document to its typed form, Config, and reports each
// fault of the document with the path of the field.
package validation

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// Config is a valid configuration of the mesh: the desired state that the operators set.
// Invariants: every service that a route names exists; no two routes have the same host and path
// prefix.
type Config struct {
	// Revision is the revision of the control key that stores the configuration.
	Revision ident.ConfigRevision
	// Version is an increasing number that the operators assign, 0 if absent.
	Version  uint64
	Limits   Limits
	Services map[ident.Service]Service
	// Routes are sorted by name.
	Routes []Route
}

// Service is a named set of endpoints.
type Service struct {
	Hostname  ident.Service `json:"hostname"`
	Namespace string        `json:"namespace"`
	// DrainTimeout is how long a leaving endpoint may take to finish its requests.
	DrainTimeout time.Duration `json:"drain"`
	// AddressReuseDelay is the minimum time before the address of an endpoint that left may belong
	// to another service.
	AddressReuseDelay time.Duration `json:"reuse"`
	// RetryRatio is the maximum ratio of retries to requests of the service. Invariant: at most 0.2.
	RetryRatio float64 `json:"part"`
	// CallerWeights holds the weights with which the callers of the service share its retry budget.
	CallerWeights map[string]float64 `json:"callers,omitempty"`
	// HealthCheckPath is the path of the endpoints' health check, empty if the endpoints have no
	// health check.
	HealthCheckPath string `json:"checkPath,omitempty"`
	// MaxConnections limits the connections to one endpoint; 0 means no limit.
	MaxConnections int `json:"connections,omitempty"`
}

// Limits holds the limits on client requests: the sizes of a request's header and body, the time to
// receive the header, and the time for which a connection may be idle.
type Limits struct {
	MaxHeaderBytes int64         `json:"headBytes"`
	MaxBodyBytes   int64         `json:"bodyBytes"`
	HeaderTimeout  time.Duration `json:"head"`
	IdleTimeout    time.Duration `json:"idle"`
}

// DefaultLimits are the limits that apply if a configuration sets none.
var DefaultLimits = Limits{
	MaxHeaderBytes: 64 << 10,
	MaxBodyBytes:   8 << 20,
	HeaderTimeout:  10 * time.Second,
	IdleTimeout:    90 * time.Second,
}
