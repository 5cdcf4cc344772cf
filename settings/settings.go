// Package settings reads the settings of the daemons from a JSON file and flags. The package is
// strict: unknown keys are faults, and all faults are reported together, each with its path.
package settings

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

// BytesPerMegabit is the number of bytes in one megabit.
const BytesPerMegabit = 1e6 / 8

// DefaultCrossZoneMsPerKB is the default of CrossZoneCostPerKB, in milliseconds. Traffic between
// zones has a cost because links between zones are slower and often billed by the byte.
const DefaultCrossZoneMsPerKB = 8

// Core holds the settings of a core.
type Core struct {
	// Addr is the address at which other processes reach the core.
	Addr ident.Addr
	// Listen is the address at which the core listens; defaults to Addr.
	Listen ident.Addr
	Zone   ident.Zone
	Seeds  []ident.Addr
	// Founders are all cores that form the first membership; empty for a core that joins an
	// existing membership.
	Founders []ident.Addr
	// ToleratedLosses is how many machines with a disk may be lost at the same time; 0 if not set.
	ToleratedLosses int
	// Data is the path of the data folder.
	Data string
	// Voters is the maximum number of voting cores.
	Voters        int
	RingFileBytes int64
	RingFiles     int
	// RetryLimit is how many retries the whole mesh may make in a window, divided into shares of
	// the sidecars; -1 means none.
	RetryLimit int
	// WatchHistory is the minimum time for which the puts of a keyspace are kept for watches.
	WatchHistory time.Duration
	// DeprecatedKeys are the old names that the settings file used.
	DeprecatedKeys []DeprecatedKey
}

// Sidecar holds the settings of a sidecar.
type Sidecar struct {
	Node ident.Node
	// ClientAddr is the address at which the sidecar listens for the applications of its machine.
	ClientAddr ident.Addr
	// Addr is the address at which other processes reach the sidecar.
	Addr ident.Addr
	// Listen is the address at which the sidecar listens for other processes of the mesh; defaults
	// to Addr.
	Listen ident.Addr
	Zone   ident.Zone
	Seeds  []ident.Addr
	// Senders is how many client requests are sent concurrently; QueueCapacity is how many further
	// client requests may wait.
	Senders       int
	QueueCapacity int
	// MaxInFlight bounds the requests from other sidecars that are processed concurrently.
	MaxInFlight int
	// StopTimeout is the maximum duration of a planned stop.
	StopTimeout time.Duration
	// EndpointService is the service that this machine's endpoint serves, if known.
	EndpointService ident.Service
	// EndpointAddr is the address at which that endpoint listens, if known.
	EndpointAddr ident.Addr
	// HeartbeatInterval is the interval between heartbeats of an endpoint; 0 means the default of
	// the endpoint tracker.
	HeartbeatInterval time.Duration
	// EndpointsVerifyTarget means that endpoints reject a request whose X-Target-Server header
	// names another endpoint, so that a stale heartbeat does no harm.
	EndpointsVerifyTarget bool
	Headers               Headers
	// RetryBudget holds the limits of the retry budget.
	RetryBudget retrybudget.Limits
	// MaxBodyBytes bounds the total size of the request bodies held at the same time; 0 means
	// unbounded.
	MaxBodyBytes int64
	// CrossZoneCostPerKB is the cost of one KB of traffic between zones in load balancing, expressed
	// as an equivalent waiting time.
	CrossZoneCostPerKB time.Duration
	// LinkBytesPerSecond is the bandwidth of the machine's network link, 0 if unknown.
	LinkBytesPerSecond float64
	// DeprecatedKeys are the old names that the settings file used.
	DeprecatedKeys []DeprecatedKey
}

// Headers are the names of the HTTP headers between a sidecar and its clients and endpoints. A
// header with an empty name is neither sent nor read.
type Headers struct {
	// RequestID is the header with the id of a request; an endpoint returns the id in its response.
	RequestID string
	// Deadline is the header with the number of milliseconds that the client waits for the
	// response; the sidecar sends the remaining time to the endpoint.
	Deadline string
	// CallingService is the header that tells an endpoint which service runs on the machine where
	// the request originated.
	CallingService string
	// SuccessMark is the header that every successful response of an endpoint must contain.
	SuccessMark string
	// NotExecuted is the header that marks a response to a request that the endpoint did not
	// execute.
	NotExecuted string
	// LoadReport is the header with an endpoint's load: running requests, waiting requests,
	// concurrency slots.
	LoadReport string
	// ServerID is the header with an endpoint's server id in its response to a health check. If
	// ServerID is empty, the sidecar sends no health checks.
	ServerID string
	// FractionalRetryAfter allows Retry-After values with fractions of a second.
	FractionalRetryAfter bool
}

// DefaultHeaders are the header names that cottonarch uses by default.
var DefaultHeaders = Headers{Deadline: "X-Deadline-Ms"}
