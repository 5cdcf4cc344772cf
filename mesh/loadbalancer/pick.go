// Package loadbalancer chooses one workload of a service.
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
	suspectDuration = time.Second
	// avoidAfterRejection is how long a workload's own gate is avoided after it refused.
	avoidAfterRejection = 250 * time.Millisecond
)

// Settings say what a choice weighs. Each is read at every choice, so they may change.
type Settings struct {
	// SampleSize is how many workloads are compared, 0 for all of them; the more there are, the
	// more those who choose at once agree on one.
	SampleSize int
	// Jitter is the part of its cost by which a workload may look dearer than it is.
	Jitter float64
	// LoadHalfLife is after how long what a gate told counts half of its load, and Firm the same
	// of its pace and illness.
	LoadHalfLife, HealthHalfLife time.Duration
	// ZonePenalty is what a return from another district costs, and Cross what each KB of it does.
	ZonePenalty, CrossZoneCostPerKB time.Duration
	// DefaultSlots is how many requests a workload works on at once if its gate does not say.
	DefaultSlots int
	// MaxFailureRate is the part of runs that may fail beyond one and a half times the service's
	// mean, before a workload is left out; Part is the most of a service's workloads that
	// may be left out so.
	MaxFailureRate, MaxEjectedShare float64
	// SlowStart is for how long a workload that came after the others is taken to be at half
	// pace, unless its gate says better.
	SlowStart time.Duration
	// UnknownWork is the work of a way of which no return has come.
	UnknownWork time.Duration
}

// DefaultSettings gives the settings that the model was run with.
func DefaultSettings() Settings {
	return Settings{SampleSize: 0, Jitter: 0.1, LoadHalfLife: 2 * time.Second, HealthHalfLife: 3 * time.Second, ZonePenalty: 2 * time.Millisecond,
		DefaultSlots: 6, MaxFailureRate: 0.25, MaxEjectedShare: 0.34, SlowStart: 3 * time.Second, UnknownWork: 50 * time.Millisecond}
}

// endpointStats is what is known of one workload. Invariant: out counts requests of this sidecar;
// those that were out when its gate spoke are in what it told.
type endpointStats struct {
	server           ident.Server
	service          *serviceStats
	inFlight         int
	inFlightAtReport int // out when its gate last spoke
	reportedAt       monotime.Time
	report           loadreport.Report
	suspectUntil     monotime.Time
	slowStartUntil   monotime.Time
}

// serviceStats is what is known of one service's workloads together. Invariant: scores stand as
// the list does that they were made for.
type serviceStats struct {
	entries         []registry.Entry
	endpoints       []*endpointStats
	meanLoad        float64 // mean of what was told: in hand and waiting, a slot
	meanFailureRate float64 // mean part of runs that fails
	reported        bool
	initialized     bool // a list was seen before
	lastUsed        monotime.Time
}

// routeStats is what was learnt of the returns of one way.
type routeStats struct {
	meanWork  float64 // mean nanoseconds at an endpoint
	meanBytes float64 // mean bytes of a return
	lastUsed  monotime.Time
}

// Balancer chooses by what gates tell and this sidecar itself has seen. Invariant: only
// HEALTHY workloads are ever chosen.
type Balancer struct {
	Settings
	zone             ident.Zone
	rng              *rand.PCG
	endpoints        map[ident.Server]*endpointStats
	services         map[ident.Service]*serviceStats
	routes           map[string]*routeStats
	unreachableUntil map[ident.Addr]monotime.Time
	preferred        []int // used again by each choice
	suspects         []int
	outliers         []int
}

// New makes a picker.
func New(zone ident.Zone, seed uint64) *Balancer {
	return &Balancer{Settings: DefaultSettings(), zone: zone, rng: rand.NewPCG(seed, 0x9e3779b97f4a7c15), endpoints: map[ident.Server]*endpointStats{},
		services: map[ident.Service]*serviceStats{}, routes: map[string]*routeStats{}, unreachableUntil: map[ident.Addr]monotime.Time{}}
}

func (b *Balancer) endpoint(server ident.Server) *endpointStats {
	if b.endpoints[server] == nil {
		b.endpoints[server] = &endpointStats{server: server}
	}
	return b.endpoints[server]
}

// service gives the scores of a list; it is made anew only when the list is another one. A
// list is never changed in place: the index makes a new one.
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
				endpoint.slowStartUntil = now.Add(b.SlowStart)
			}
		}
		endpoint.service = stats
		stats.endpoints = append(stats.endpoints, endpoint)
	}
	stats.initialized = true
	return stats
}

// Choose picks one of the workloads that is not in past, for a way of which nothing is
// known.
func (b *Balancer) Choose(now monotime.Time, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	return b.ChooseForRoute(now, "", entries, tried)
}

// ChooseForRoute picks one of the workloads that is not in past, for a request of a way: the
// one from which a return is expected soonest, or at the least price. The classes are tried
// in order: well and unsuspected; then well but suspected here, or lapsed at the core;
// then those that fail more than their peers. The last class counts as the first when it
// is more than a part of the service.
func (b *Balancer) ChooseForRoute(now monotime.Time, route string, entries []registry.Entry, tried map[ident.Server]bool) (registry.Entry, bool) {
	if len(entries) == 0 {
		return registry.Entry{}, false
	}
	service := b.service(now, entries)
	preferred, suspects, outliers := b.preferred[:0], b.suspects[:0], b.outliers[:0]
	for i := range entries {
		entry, endpoint := &entries[i], service.endpoints[i]
		switch {
		case entry.Status != record.Healthy, len(tried) > 0 && tried[entry.UID]:
		case entry.Lapsed, endpoint.suspectUntil.After(now), len(b.unreachableUntil) > 0 && b.unreachableUntil[entry.SidecarAddr].After(now):
			suspects = append(suspects, i)
		case b.isOutlier(now, endpoint):
			outliers = append(outliers, i)
		default:
			preferred = append(preferred, i)
		}
	}
	b.preferred, b.suspects, b.outliers = preferred, suspects, outliers
	if float64(len(outliers)) > b.MaxEjectedShare*float64(len(preferred)+len(outliers)) {
		preferred = append(preferred, outliers...)
		b.preferred = preferred
	}
	for _, class := range [][]int{preferred, suspects, outliers} {
		if len(class) > 0 {
			return entries[b.cheapest(now, b.routes[route], service, class)], true
		}
	}
	return registry.Entry{}, false
}

// LastResort tells whether a request for a workload is to be run there even if it fails: it was
// chosen since there is no better one.
func (b *Balancer) LastResort(now monotime.Time, server ident.Server) bool {
	endpoint := b.endpoints[server]
	return endpoint != nil && b.isOutlier(now, endpoint)
}

// IntN draws a number below n.
func (b *Balancer) IntN(n int) int { return int(b.rng.Uint64() % uint64(n)) }

// uniform draws a number from 0 up to 1.
func (b *Balancer) uniform() float64 { return float64(b.rng.Uint64()>>11) / (1 << 53) }

// cheapest gives the cheapest of some, or of as many of them as are to be compared.
func (b *Balancer) cheapest(now monotime.Time, route *routeStats, service *serviceStats, candidates []int) int {
	work, zoneCost := float64(b.UnknownWork), float64(b.ZonePenalty)
	if route != nil {
		if route.meanWork > 0 {
			work = route.meanWork
		}
		zoneCost += route.meanBytes / 1024 * float64(b.CrossZoneCostPerKB)
	}
	sampleSize := len(candidates)
	if b.SampleSize > 0 && b.SampleSize < sampleSize {
		sampleSize = b.SampleSize
		for i := range sampleSize { // the first n of a shuffle
			j := i + b.IntN(len(candidates)-i)
			candidates[i], candidates[j] = candidates[j], candidates[i]
		}
	}
	lowestCost, best := 0.0, -1
	for _, i := range candidates[:sampleSize] {
		cost := b.cost(now, work, zoneCost, &service.entries[i], service.endpoints[i]) * (1 + b.Jitter*b.uniform())
		if best < 0 || cost < lowestCost {
			lowestCost, best = cost, i
		}
	}
	return best
}

// decay is what is left of news after a time in which half of it goes, roughly.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// steepDecay is the same of news that hold for longer and then are all but forgotten, so that a
// workload that was left alone for them is tried again.
func steepDecay(age, halfLife time.Duration) float64 {
	if age <= 0 || halfLife <= 0 {
		return 1
	}
	ratio := float64(age) / float64(halfLife)
	return 1 / (1 + ratio*ratio)
}

// cost is what a return from a workload is expected to cost, in nanoseconds of waiting.
func (b *Balancer) cost(now monotime.Time, work, zoneCost float64, entry *registry.Entry, endpoint *endpointStats) float64 {
	slots, load, relativeTime, excessFailureRate := float64(b.DefaultSlots), entry.Load, 1.0, 0.0
	service := endpoint.service
	if service.reported {
		load = service.meanLoad
	}
	inFlight := endpoint.inFlight
	if endpoint.reportedAt != 0 {
		age := now.Since(endpoint.reportedAt)
		if endpoint.report.Slots > 0 {
			slots = float64(endpoint.report.Slots)
		}
		x, y := decay(age, b.LoadHalfLife), steepDecay(age, b.HealthHalfLife)
		load = x*float64(endpoint.report.Running+endpoint.report.Waiting)/slots + (1-x)*load
		if endpoint.report.RelativeTime > 0 {
			relativeTime += y * (endpoint.report.RelativeTime - 1)
		}
		excessFailureRate = y * max(0, endpoint.report.FailureRate-service.meanFailureRate)
		inFlight = max(0, endpoint.inFlight-endpoint.inFlightAtReport)
	}
	if endpoint.reportedAt == 0 && endpoint.slowStartUntil.After(now) {
		relativeTime = 2
	}
	load += (float64(inFlight) + 1) / slots
	// A slot that is taken now may be free when the request comes, and the other way
	// round: the wait grows before all are taken.
	utilization := min(load, 1)
	wait := utilization*utilization*utilization/4 + max(load-1, 0)
	x := work * relativeTime * (1 + wait) / float64(max(entry.Weight, 1))
	x += work * excessFailureRate * failureCostFactor
	if entry.Zone != b.zone {
		x += zoneCost
	}
	return x
}

// failureCostFactor is how many times its work a failure costs.
const failureCostFactor = 10

// isOutlier tells whether a workload fails more than its peers do.
func (b *Balancer) isOutlier(now monotime.Time, endpoint *endpointStats) bool {
	if endpoint.reportedAt == 0 || endpoint.service == nil || endpoint.report.FailureRate <= b.MaxFailureRate {
		return false
	}
	return endpoint.report.FailureRate*steepDecay(now.Since(endpoint.reportedAt), b.HealthHalfLife) > b.MaxFailureRate+1.5*endpoint.service.meanFailureRate
}

// HandleReport takes what the gate of a server told with a return.
func (b *Balancer) HandleReport(now monotime.Time, server ident.Server, report loadreport.Report) {
	endpoint := b.endpoint(server)
	endpoint.report, endpoint.reportedAt, endpoint.inFlightAtReport = report, now, endpoint.inFlight
	service := endpoint.service
	if service == nil {
		return
	}
	slots := report.Slots
	if slots == 0 {
		slots = b.DefaultSlots
	}
	load := min(float64(report.Running+report.Waiting)/float64(max(slots, 1)), 4)
	if !service.reported {
		service.reported, service.meanLoad = true, load
	}
	service.meanLoad += (load - service.meanLoad) / 16
	service.meanFailureRate += (report.FailureRate - service.meanFailureRate) / 32
}

// RecordRun takes how long the endpoint had a request of a way, and how large its return was.
func (b *Balancer) RecordRun(now monotime.Time, route string, elapsed time.Duration, size int64) {
	stats := b.routes[route]
	if stats == nil {
		stats = &routeStats{meanWork: float64(elapsed), meanBytes: float64(size)}
		b.routes[route] = stats
	}
	stats.lastUsed = now
	// A single run that took very long tells little.
	stats.meanWork += (min(float64(elapsed), 8*stats.meanWork+float64(time.Millisecond)) - stats.meanWork) / 32
	stats.meanBytes += (float64(size) - stats.meanBytes) / 32
}

// MeanWork is what a run of a way takes at the service's mean endpoint, 0 if none was seen.
func (b *Balancer) MeanWork(route string) time.Duration {
	if stats := b.routes[route]; stats != nil {
		return time.Duration(stats.meanWork)
	}
	return 0
}

// MeanResponseBytes is the mean size of a way's returns, 0 when none has come.
func (b *Balancer) MeanResponseBytes(route string) int {
	if stats := b.routes[route]; stats != nil {
		return int(stats.meanBytes)
	}
	return 0
}

// MeanFailureRate is the part of runs that fails at a service's endpoints, as told by their gates.
func (b *Balancer) MeanFailureRate(service ident.Service) float64 {
	if stats := b.services[service]; stats != nil {
		return stats.meanFailureRate
	}
	return 0
}

// Started counts a request out to a server.
func (b *Balancer) Started(server ident.Server) { b.endpoint(server).inFlight++ }

// Finished counts it in again. A doubtful end makes the server suspect for a while, and
// with lost its whole machine.
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

// Rejected notes that the gate turned a server away.
func (b *Balancer) Rejected(now monotime.Time, server ident.Server) {
	b.endpoint(server).suspectUntil = now.Add(avoidAfterRejection)
}

// unusedRetention is after how long what is not used is forgotten.
const unusedRetention = 10 * time.Minute

// Prune drops the scores of servers that are no more, and what was learnt of services and
// ways that nobody asks for any more.
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
