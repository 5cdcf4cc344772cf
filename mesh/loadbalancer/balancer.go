// Package loadbalancer chooses the workload of a service for a request. It weighs what the workloads
// report of their load with each response, what this sidecar has in flight itself, and the zone; it
// leaves out workloads that fail more often than their peers (outlier ejection), and sends less to
// new ones (slow start).
package loadbalancer

import (
	"math/rand/v2"
	"time"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/loadreport"
	"cottonarch.example/cottonarch/mesh/registry"
)

const (
	// suspectDuration is for how long a workload is avoided after an attempt with unknown outcome, and
	// a machine after it could not be reached.
	suspectDuration = time.Second
	// avoidAfterRejection is for how long a workload is avoided after its machine rejected a request
	// for it.
	avoidAfterRejection = 250 * time.Millisecond
	// unusedRetention is after how long without use what is known of a service or route is forgotten.
	unusedRetention = 10 * time.Minute
)

// Balancer chooses workloads for one sidecar. It reads no clock. Invariant: only workloads with status
// HEALTHY are ever chosen.
type Balancer struct {
	Settings
	zone             ident.Zone
	rng              *rand.PCG
	endpoints        map[ident.Server]*endpointStats
	services         map[ident.Service]*serviceStats
	routes           map[string]*routeStats
	unreachableUntil map[ident.Addr]monotime.Time // by the address of a machine's sidecar
	// preferred, suspects and outliers are the candidates of one choice, by index; their memory is
	// used again by the next.
	preferred, suspects, outliers []int
}

// New makes a balancer for a sidecar of a zone.
func New(zone ident.Zone, seed uint64) *Balancer {
	return &Balancer{
		Settings:         DefaultSettings(),
		zone:             zone,
		rng:              rand.NewPCG(seed, 0x9e3779b97f4a7c15),
		endpoints:        map[ident.Server]*endpointStats{},
		services:         map[ident.Service]*serviceStats{},
		routes:           map[string]*routeStats{},
		unreachableUntil: map[ident.Addr]monotime.Time{},
	}
}

// endpoint returns the statistics of a workload, empty ones if it is new.
func (b *Balancer) endpoint(server ident.Server) *endpointStats {
	if b.endpoints[server] == nil {
		b.endpoints[server] = &endpointStats{server: server}
	}
	return b.endpoints[server]
}

// service returns what is known of the workloads of a service, in the order of entries. It is made
// anew only for another slice: the registry never changes one in place.
func (b *Balancer) service(now monotime.Time, entries []registry.Entry) *serviceStats {
	stats := b.services[entries[0].Service]
	if stats == nil {
		stats = &serviceStats{}
		b.services[entries[0].Service] = stats
	}
	stats.lastUsed = now
	if len(stats.entries) == len(entries) && &stats.entries[0] == &entries[0] {
		return stats
	}
	stats.entries, stats.endpoints = entries, stats.endpoints[:0]
	for _, e := range entries {
		endpoint := b.endpoints[e.UID]
		if endpoint == nil {
			endpoint = b.endpoint(e.UID)
			if stats.initialized {
				endpoint.slowStart.begin(now, b.SlowStart)
			}
		}
		endpoint.service = stats
		stats.endpoints = append(stats.endpoints, endpoint)
	}
	stats.initialized = true
	return stats
}

// Choose chooses one of the workloads that was not tried, for a route of which nothing is known.
func (b *Balancer) Choose(now monotime.Time, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	return b.ChooseForRoute(now, "", entries, tried)
}

// ChooseForRoute chooses one of the workloads that was not tried, for a request of a route: the one
// whose response is expected to cost least. The healthy workloads are tried by class: first those
// that nothing speaks against; then the suspects, and those whose lease has lapsed at the core; then
// the outliers. Outliers that are too many to be ejected count as the first class.
func (b *Balancer) ChooseForRoute(
	now monotime.Time, route string, entries []registry.Entry, tried map[ident.Server]bool,
) (registry.Entry, bool) {
	if len(entries) == 0 {
		return registry.Entry{}, false
	}
	service := b.service(now, entries)
	b.classify(now, service, tried)
	for _, class := range [][]int{b.preferred, b.suspects, b.outliers} {
		if len(class) > 0 {
			return entries[b.cheapest(now, b.routes[route], service, class)], true
		}
	}
	return registry.Entry{}, false
}

// classify sets preferred, suspects and outliers to the healthy workloads of a service that were not
// tried.
func (b *Balancer) classify(now monotime.Time, service *serviceStats, tried map[ident.Server]bool) {
	ejection := outlierEjection{&b.Settings}
	preferred, suspects, outliers := b.preferred[:0], b.suspects[:0], b.outliers[:0]
	for i := range service.entries {
		entry, endpoint := &service.entries[i], service.endpoints[i]
		switch {
		case entry.Status != record.Healthy, len(tried) > 0 && tried[entry.UID]:
		case b.isSuspect(now, entry, endpoint):
			suspects = append(suspects, i)
		case ejection.isOutlier(now, endpoint):
			outliers = append(outliers, i)
		default:
			preferred = append(preferred, i)
		}
	}
	if !ejection.mayEject(len(outliers), len(preferred)+len(outliers)) {
		preferred = append(preferred, outliers...)
	}
	b.preferred, b.suspects, b.outliers = preferred, suspects, outliers
}

// isSuspect reports whether a workload is avoided: its lease has lapsed, or it or its machine gave
// no response to this sidecar a short while ago.
func (b *Balancer) isSuspect(now monotime.Time, entry *registry.Entry, endpoint *endpointStats) bool {
	return entry.Lapsed || endpoint.suspectUntil.After(now) ||
		len(b.unreachableUntil) > 0 && b.unreachableUntil[entry.SidecarAddr].After(now)
}

// LastResort reports whether a workload that was chosen is an outlier: it was chosen since there is
// no better one, so the request is to be run there even though it may fail.
func (b *Balancer) LastResort(now monotime.Time, server ident.Server) bool {
	endpoint := b.endpoints[server]
	return endpoint != nil && outlierEjection{&b.Settings}.isOutlier(now, endpoint)
}

// IntN returns a random number in [0, n).
func (b *Balancer) IntN(n int) int { return int(b.rng.Uint64() % uint64(n)) }

// uniform returns a random number in [0, 1).
func (b *Balancer) uniform() float64 { return float64(b.rng.Uint64()>>11) / (1 << 53) }

// cheapest returns the candidate with the least cost, of a random sample if SampleSize says so. It
// may reorder the candidates.
func (b *Balancer) cheapest(now monotime.Time, route *routeStats, service *serviceStats, candidates []int) int {
	routeCost := b.routeCost(route)
	lowestCost, best := 0.0, -1
	for _, i := range b.sample(candidates) {
		cost := b.cost(now, routeCost, &service.entries[i], service.endpoints[i]) * (1 + b.Jitter*b.uniform())
		if best < 0 || cost < lowestCost {
			lowestCost, best = cost, i
		}
	}
	return best
}

// sample returns SampleSize random candidates, all of them if there are no more: the first ones of
// a shuffle.
func (b *Balancer) sample(candidates []int) []int {
	if b.SampleSize <= 0 || b.SampleSize >= len(candidates) {
		return candidates
	}
	for i := range b.SampleSize {
		j := i + b.IntN(len(candidates)-i)
		candidates[i], candidates[j] = candidates[j], candidates[i]
	}
	return candidates[:b.SampleSize]
}

// HandleReport takes the load report of a workload.
func (b *Balancer) HandleReport(now monotime.Time, server ident.Server, report loadreport.Report) {
	endpoint := b.endpoint(server)
	endpoint.report, endpoint.reportedAt, endpoint.inFlightAtReport = report, now, endpoint.inFlight
	if endpoint.service != nil {
		endpoint.service.update(report, b.DefaultSlots)
	}
}

// RecordRun takes how long an endpoint had a request of a route, and the size of its response.
func (b *Balancer) RecordRun(now monotime.Time, route string, elapsed time.Duration, size int64) {
	stats := b.routes[route]
	if stats == nil {
		stats = &routeStats{meanWork: float64(elapsed), meanBytes: float64(size)}
		b.routes[route] = stats
	}
	stats.lastUsed = now
	stats.update(elapsed, size)
}

// MeanServiceTime is how long a run of a route takes at the service's mean workload, 0 for unknown.
func (b *Balancer) MeanServiceTime(route string) time.Duration {
	if stats := b.routes[route]; stats != nil {
		return time.Duration(stats.meanWork)
	}
	return 0
}

// MeanResponseBytes is the mean size of a route's responses, 0 for unknown.
func (b *Balancer) MeanResponseBytes(route string) int {
	if stats := b.routes[route]; stats != nil {
		return int(stats.meanBytes)
	}
	return 0
}

// MeanFailureRate is the part of runs that fails at a service's workloads, by their reports.
func (b *Balancer) MeanFailureRate(service ident.Service) float64 {
	if stats := b.services[service]; stats != nil {
		return stats.meanFailureRate
	}
	return 0
}

// Started counts a request in flight to a workload.
func (b *Balancer) Started(server ident.Server) { b.endpoint(server).inFlight++ }

// Finished ends a request in flight. With uncertain, its outcome is unknown and the workload is suspect
// for a while; with unreachable, all workloads of its machine are.
func (b *Balancer) Finished(now monotime.Time, entry registry.Entry, uncertain, unreachable bool) {
	endpoint := b.endpoint(entry.UID)
	endpoint.inFlight--
	endpoint.inFlightAtReport = min(endpoint.inFlightAtReport, endpoint.inFlight)
	if uncertain {
		endpoint.suspectUntil = now.Add(suspectDuration)
	}
	if unreachable {
		b.unreachableUntil[entry.SidecarAddr] = now.Add(suspectDuration)
	}
}

// Rejected notes that a workload's machine rejected a request for it.
func (b *Balancer) Rejected(now monotime.Time, server ident.Server) {
	b.endpoint(server).suspectUntil = now.Add(avoidAfterRejection)
}

// Prune forgets workloads that are not alive and have nothing in flight, and services and routes that
// are no longer used.
func (b *Balancer) Prune(now monotime.Time, alive func(ident.Server) bool) {
	for server, endpoint := range b.endpoints {
		if endpoint.inFlight == 0 && !endpoint.suspectUntil.After(now) && !alive(server) {
			delete(b.endpoints, server)
		}
	}
	for name, service := range b.services {
		if now.Since(service.lastUsed) > unusedRetention {
			delete(b.services, name)
		}
	}
	for name, route := range b.routes {
		if now.Since(route.lastUsed) > unusedRetention {
			delete(b.routes, name)
		}
	}
	for addr, until := range b.unreachableUntil {
		if !until.After(now) {
			delete(b.unreachableUntil, addr)
		}
	}
}
