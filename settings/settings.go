// Package settings reads the settings of the daemons from a JSON file and flags. It is strict:
// unknown keys are faults, and every fault is named with its path, all at once.
package settings

import (
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/mesh/retrybudget"
)

// BytesPerMegabit is how many bytes a second a megabit a second carries.
const BytesPerMegabit = 1e6 / 8

// DefaultCrossZoneMsPerKB is the default of CrossZoneCostPerKB, in milliseconds: links between
// zones are slower and often paid for by the byte.
const DefaultCrossZoneMsPerKB = 8

// Core is the settings of a core.
type Core struct {
	// Addr is the core's address as other processes reach it.
	Addr ident.Addr
	// Listen is where it listens, when that is not Addr itself.
	Listen ident.Addr
	Zone   ident.Zone
	Seeds  []ident.Addr
	// Founders are all cores that form the first membership; empty at a core that joins one.
	Founders []ident.Addr
	// ToleratedLosses is how many machines with a disk may be lost at once; 0 when not set.
	ToleratedLosses int
	// Data is the path of the data folder.
	Data string
	// Voters is how many cores vote at most.
	Voters        int
	RingFileBytes int64
	RingFiles     int
	// RetryLimit is how many retries the whole mesh may have in a window, of which the sidecars
	// have their shares; -1 is none.
	RetryLimit int
	// WatchHistory is how long at least the puts of a keyspace are kept for watches.
	WatchHistory time.Duration
	// DeprecatedKeys are the old names that the settings file used.
	DeprecatedKeys []DeprecatedKey
}

// Sidecar is the settings of a sidecar.
type Sidecar struct {
	Node ident.Node
	// ClientAddr is where it listens for the applications of its machine.
	ClientAddr ident.Addr
	// Addr is the sidecar's address as other processes reach it.
	Addr ident.Addr
	// Listen is where it listens towards the mesh, when that is not Addr itself.
	Listen ident.Addr
	Zone   ident.Zone
	Seeds  []ident.Addr
	// Senders is how many requests of clients are sent at once; QueueCapacity is how many more
	// may wait.
	Senders       int
	QueueCapacity int
	// MaxInFlight bounds the requests from other sidecars that are taken at once.
	MaxInFlight int
	// StopTimeout is how long a planned stop may take.
	StopTimeout time.Duration
	// EndpointService is the service that this machine's endpoint serves, where that is known.
	EndpointService ident.Service
	// EndpointAddr is where that endpoint listens, where that is known.
	EndpointAddr ident.Addr
	// HeartbeatInterval is how often endpoints send heartbeats; 0 is the default of the endpoint
	// tracker.
	HeartbeatInterval time.Duration
	// EndpointsVerifyTarget says that endpoints reject a request that names another endpoint in
	// X-Target-Server, so that a stale heartbeat does no harm.
	EndpointsVerifyTarget bool
	Headers               Headers
	// RetryBudget bounds the retries.
	RetryBudget retrybudget.Limits
	// MaxBodyBytes bounds the request bodies that are held at once; 0 is no bound.
	MaxBodyBytes int64
	// CrossZoneCostPerKB is what a KB between zones costs in the choice of an endpoint, as time
	// waited for.
	CrossZoneCostPerKB time.Duration
	// LinkBytesPerSecond is what the machine's network link carries, 0 for unknown.
	LinkBytesPerSecond float64
	// DeprecatedKeys are the old names that the settings file used.
	DeprecatedKeys []DeprecatedKey
}

// Headers are the names of the headers between a sidecar and its clients and endpoints. A
// header with an empty name is neither sent nor read.
type Headers struct {
	// RequestID names a request; an endpoint repeats it in its response.
	RequestID string
	// Deadline is how many milliseconds the client waits; endpoints get what is left.
	Deadline string
	// CallingService tells an endpoint the service of the machine where the request began.
	CallingService string
	// SuccessMark must stand in every response of an endpoint that reports success.
	SuccessMark string
	// NotExecuted marks a response to a request that the endpoint did not execute.
	NotExecuted string
	// LoadReport is an endpoint's load: running, waiting, concurrency slots.
	LoadReport string
	// ServerID is an endpoint's id in its response to a health check. Without it no endpoint is asked
	// for its health.
	ServerID string
	// FractionalRetryAfter allows a Retry-After in fractions of a second.
	FractionalRetryAfter bool
}

// DefaultHeaders are cottonarch's own.
var DefaultHeaders = Headers{Deadline: "X-Deadline-Ms"}
