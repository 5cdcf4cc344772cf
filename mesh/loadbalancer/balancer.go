// Package loadbalancer chooses a workload of a service for each request. A Balancer weighs the
// load reports that workloads send with each response, the requests that this sidecar has in
// flight, and the zone. Workloads that fail more often than their peers are avoided (outlier
// ejection), and new workloads get fewer requests (slow start).
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
	// suspectDuration is how long a workload is avoided after an attempt with unknown outcome, and
	// a machine after it could not be reached.
	suspectDuration = time.Second
	// rejectionSuspectDuration is how long a workload is avoided after its machine rejected a
	// request.
	rejectionSuspectDuration = 250 * time.Millisecond
	// unusedStatsRetention is how long the statistics of an unused service or route are kept.
	unusedStatsRetention = 10 * time.Minute
)

// Balancer chooses workloads for one sidecar. Balancer reads no clock. Invariant: only workloads
// with status HEALTHY are chosen.
type Balancer struct {
	Settings
	zone             ident.Zone
	rng              *rand.PCG
	endpoints        map[ident.Server]*endpointStats
	services         map[ident.Service]*serviceStats
	routes           map[string]*routeStats
	unreachableUntil map[ident.Addr]monotime.Time // by address of the sidecar of a machine
	// preferred, suspects and outliers hold the indexes of the candidates of the current choice;
	// the slices are reused by the next choice.
	preferred, suspects, outliers []int
}

// New returns a balancer for a sidecar in a zone.
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

// endpoint returns the statistics of a workload and creates empty statistics for a new workload.
func (b *Balancer) endpoint(server ident.Server) *endpointStats {
	if b.endpoints[server] == nil {
		b.endpoints[server] = &endpointStats{server: server}
	}
	return b.endpoints[server]
}

// service returns the statistics of the workloads of a service, in the order of entries. The
// statistics are rebuilt only if entries is a different slice, because the registry never changes
// a slice in place.
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

// Choose chooses one of the workloads that were not tried, for a route without statistics.
func (b *Balancer) Choose(now monotime.Time, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	return b.ChooseForRoute(now, "", entries, tried)
}

// ChooseForRoute chooses, for a request of a route, the workload with the lowest expected cost of
// a response among the healthy workloads that were not tried. The candidates are considered by
// class: first the preferred workloads, then the suspects, including workloads whose lease has
// lapsed at the core, then the outliers. If there are too many outliers to eject, the outliers
// count as preferred.
func (b *Balancer) ChooseForRoute(
	now monotime.Time, route string, entries []registry.Entry, tried map[ident.Server]bool,
) (registry.Entry, bool) {
	if len(entries) == 0 {
		return registry.Entry{}, false
	}
	service := b.service(now, entries)
	b.partitionCandidates(now, service, tried)
	for _, class := range [][]int{b.preferred, b.suspects, b.outliers} {
		if len(class) > 0 {
			return entries[b.leastCost(now, b.routes[route], service, class)], true
		}
	}
	return registry.Entry{}, false
}

// partitionCandidates sets preferred, suspects and outliers to the healthy workloads of a service
// that were not tried.
func (b *Balancer) partitionCandidates(now monotime.Time, service *serviceStats, tried map[ident.Server]bool) {
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

// isSuspect reports whether a workload is avoided because its lease has lapsed, or because the
// workload or its machine recently failed to respond to this sidecar or rejected a request.
func (b *Balancer) isSuspect(now monotime.Time, entry *registry.Entry, endpoint *endpointStats) bool {
	return entry.Lapsed || endpoint.suspectUntil.After(now) ||
		len(b.unreachableUntil) > 0 && b.unreachableUntil[entry.SidecarAddr].After(now)
}

// LastResort reports whether a chosen workload is an outlier. An outlier is chosen only if no
// better workload is left, so the request must run at the outlier even though the run may fail.
func (b *Balancer) LastResort(now monotime.Time, server ident.Server) bool {
	endpoint := b.endpoints[server]
	return endpoint != nil && outlierEjection{&b.Settings}.isOutlier(now, endpoint)
}

// IntN returns a random number in [0, n).
func (b *Balancer) IntN(n int) int { return int(b.rng.Uint64() % uint64(n)) }

// uniform returns a random number in [0, 1).
func (b *Balancer) uniform() float64 { return float64(b.rng.Uint64()>>11) / (1 << 53) }

// leastCost returns the candidate with the lowest cost, out of a random sample if SampleSize is
// set. leastCost may reorder candidates.
func (b *Balancer) leastCost(now monotime.Time, route *routeStats, service *serviceStats, candidates []int) int {
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

// sample returns SampleSize random candidates, by a partial shuffle, or all candidates if there
// are not more than SampleSize.
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

// HandleReport records the load report of a workload.
func (b *Balancer) HandleReport(now monotime.Time, server ident.Server, report loadreport.Report) {
	endpoint := b.endpoint(server)
	endpoint.report, endpoint.reportedAt, endpoint.inFlightAtReport = report, now, endpoint.inFlight
	if endpoint.service != nil {
		endpoint.service.update(report, b.DefaultSlots)
	}
}

// RecordRun records the time that a request of a route spent at an endpoint and the size of the
// response.
func (b *Balancer) RecordRun(now monotime.Time, route string, elapsed time.Duration, size int64) {
	stats := b.routes[route]
	if stats == nil {
		stats = &routeStats{meanServiceTime: float64(elapsed), meanBytes: float64(size)}
		b.routes[route] = stats
	}
	stats.lastUsed = now
	stats.update(elapsed, size)
}

// MeanServiceTime returns the mean run time of a route at the average workload of its service, or
// 0 if unknown.
func (b *Balancer) MeanServiceTime(route string) time.Duration {
	if stats := b.routes[route]; stats != nil {
		return time.Duration(stats.meanServiceTime)
	}
	return 0
}

// MeanResponseBytes returns the mean response size of a route, or 0 if unknown.
func (b *Balancer) MeanResponseBytes(route string) int {
	if stats := b.routes[route]; stats != nil {
		return int(stats.meanBytes)
	}
	return 0
}

// MeanFailureRate returns the mean fraction of failed runs at the workloads of a service,
// according to their load reports.
func (b *Balancer) MeanFailureRate(service ident.Service) float64 {
	if stats := b.services[service]; stats != nil {
		return stats.meanFailureRate
	}
	return 0
}

// Started adds a request in flight to a workload.
func (b *Balancer) Started(server ident.Server) { b.endpoint(server).inFlight++ }

// Finished ends a request in flight. uncertain reports that the outcome is unknown, which makes
// the workload suspect for a while. unreachable reports that the machine could not be reached,
// which makes all workloads of the machine suspect.
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

// Rejected records that the machine of a workload rejected a request.
func (b *Balancer) Rejected(now monotime.Time, server ident.Server) {
	b.endpoint(server).suspectUntil = now.Add(rejectionSuspectDuration)
}

// Prune deletes the statistics of workloads that are neither alive nor suspect and have no request
// in flight, and of services and routes that are no longer used.
func (b *Balancer) Prune(now monotime.Time, alive func(ident.Server) bool) {
	for server, endpoint := range b.endpoints {
		if endpoint.inFlight == 0 && !endpoint.suspectUntil.After(now) && !alive(server) {
			delete(b.endpoints, server)
		}
	}
	for name, service := range b.services {
		if now.Since(service.lastUsed) > unusedStatsRetention {
			delete(b.services, name)
		}
	}
	for name, route := range b.routes {
		if now.Since(route.lastUsed) > unusedStatsRetention {
			delete(b.routes, name)
		}
	}
	for addr, until := range b.unreachableUntil {
		if !until.After(now) {
			delete(b.unreachableUntil, addr)
		}
	}
}
