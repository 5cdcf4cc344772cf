package run

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/standin/endpoint"
)

const (
	proposalTimeout    = 6 * time.Second
	routeTimeoutMs     = 3000
	urgentTimeoutMs    = 1500
	urgentKind         = "card" // request kind whose route is urgent
	bulkRoutes         = 3000
	manyRoutes         = 33000 // yields a configuration of about 3.6 MB
	unchangedNamespace = "steady"
)

// meshConfig is the body of a configuration proposal, limited to the settings that the fleet uses.
type meshConfig struct {
	Services map[string]serviceConfig `json:"services,omitempty"`
	Routes   map[string]routeConfig   `json:"ways,omitempty"`
}

type serviceConfig struct {
	Namespace       string `json:"namespace"`
	HealthCheckPath string `json:"checkPath,omitempty"`
}

type routeConfig struct {
	Host      string `json:"host"`
	PathStart string `json:"pathStart,omitempty"`
	Service   string `json:"service"`
	Urgent    bool   `json:"urgent,omitempty"`
	TimeoutMs int    `json:"timeoutMs,omitempty"`
}

// proposal is a configuration to be proposed to a core.
type proposal struct {
	config meshConfig
	method string // PUT replaces the configuration, PATCH changes parts of the configuration
	query  string
	marker string // unique to the proposal
	// mustFail is set if the configuration is invalid or the base revision is outdated.
	mustFail bool
}

// newConfig returns the deployment's configuration. The marker becomes the namespace of the first
// service, so that each proposal differs from all others.
func (f *Fleet) newConfig(marker string) meshConfig {
	config := meshConfig{Services: map[string]serviceConfig{}, Routes: map[string]routeConfig{}}
	for i, service := range f.Deployment.Services {
		namespace := unchangedNamespace
		if i == 0 {
			namespace = marker
		}
		config.Services[string(service.Name)] = serviceConfig{Namespace: namespace, HealthCheckPath: endpoint.HealthPath}
		config.Routes["w-"+string(service.Name)] = routeConfig{
			Host:      service.Host,
			PathStart: "/",
			Service:   string(service.Name),
			TimeoutMs: routeTimeoutMs,
		}
	}
	for _, kind := range f.Deployment.RequestKinds {
		if kind.Name == urgentKind {
			config.Routes[kind.Name] = routeConfig{
				Host:      kind.Host,
				PathStart: kind.Path,
				Service:   string(kind.Service),
				Urgent:    true,
				TimeoutMs: urgentTimeoutMs,
			}
		}
	}
	return config
}

// addBulkRoutes enlarges a configuration by a number of routes, whose host names end with
// hostSuffix.
func (f *Fleet) addBulkRoutes(config meshConfig, count int, hostSuffix string) {
	service := string(f.Deployment.Services[0].Name)
	for i := range count {
		config.Routes[fmt.Sprintf("bulk-%d", i)] = routeConfig{Host: fmt.Sprintf("h%d.%s", i, hostSuffix), Service: service}
	}
}

// errRejected is returned for a proposal that certainly did not take effect.
var errRejected = errors.New("the core rejected the proposal")

// propose sends a configuration to a random running core and returns the revision that the core
// confirmed. The error errRejected means that the configuration certainly did not take effect; any
// other error leaves the outcome unknown.
func (f *Fleet) propose(config meshConfig, method, query string) (ident.ConfigRevision, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	var response struct {
		Revision ident.ConfigRevision `json:"epoch"`
		Failure  failure.Kind         `json:"defect"`
		Outcome  failure.Outcome      `json:"fate"`
	}
	code, err := f.clients.randomRunningCore().Request(proposalTimeout, method, "/manifest"+query, bytes.NewReader(raw), &response)
	switch {
	case err != nil:
		return 0, err
	case code == http.StatusOK:
		return response.Revision, nil
	case response.Outcome == failure.NotExecuted:
		return 0, errRejected
	}
	return 0, failure.NewUnknown(failure.BadResponse, "proposal: status %d, failure %q", code, response.Failure)
}

// proposeAndCheck proposes a configuration, checks the response and tracks a confirmed revision
// until all sidecars have applied the revision.
func (f *Fleet) proposeAndCheck(ctx context.Context, p proposal) {
	revision, err := f.propose(p.config, p.method, p.query)
	respondedAt := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Observe(ruleConfigRejected)
	switch {
	case err == nil:
		f.Counts["manifests confirmed"]++
		f.checkConfirmed(p, revision, respondedAt)
		f.trackRevision(ctx, revision, respondedAt)
	case errors.Is(err, errRejected):
		f.Counts["manifests refused"]++
		f.Checker.ProposalRejected(p.marker, "no")
	default:
		f.Counts["manifests unknown"]++
	}
}

// checkConfirmed checks that a confirmed proposal was allowed to succeed and that no other proposal
// has the same revision. The caller must hold mu.
func (f *Fleet) checkConfirmed(p proposal, revision ident.ConfigRevision, confirmedAt time.Time) {
	if p.mustFail {
		f.Checker.Violate(f.sinceStart(confirmedAt), ruleConfigRejected, "invalid or outdated proposal %s was confirmed as revision %d", p.marker, revision)
	}
	if f.confirmedRevisions[revision] {
		f.Checker.Violate(f.sinceStart(confirmedAt), ruleSequenceRepeated, "configuration revision %d was confirmed twice", revision)
	}
	f.confirmedRevisions[revision] = true
	f.newestRevision = max(f.newestRevision, revision)
}

// proposeConfigs simulates the operators: at each interval, proposeConfigs sends the proposals of
// nextProposals, until ctx ends.
func (f *Fleet) proposeConfigs(ctx context.Context) {
	ticker := time.NewTicker(f.Deployment.ConfigInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		proposals := f.nextProposals(n)
		for _, simultaneous := range proposals[1:] {
			running.Go(func() { f.proposeAndCheck(ctx, simultaneous) })
		}
		f.proposeAndCheck(ctx, proposals[0])
	}
}

// nextProposals returns the proposals of the n-th interval, which are sent simultaneously. Some
// intervals have two competing proposals, others a proposal that must fail.
func (f *Fleet) nextProposals(n int) []proposal {
	marker := fmt.Sprintf("proposal-%d", n)
	p := proposal{config: f.newConfig(marker), method: http.MethodPut, marker: marker}
	f.mu.Lock()
	newest := f.newestRevision
	f.mu.Unlock()
	switch n % 6 {
	case 1: // a route to an unknown service
		p.config.Routes["bad"] = routeConfig{Host: "x", Service: "nobody"}
		p.mustFail = true
	case 2: // a patch of one service
		name := string(f.Deployment.Services[0].Name)
		p.config, p.method = meshConfig{Services: map[string]serviceConfig{name: {Namespace: marker}}}, http.MethodPatch
	case 3: // two proposals with the same base revision: at most one is confirmed
		p.query = baseRevisionQuery(newest)
		second := p
		second.marker = marker + "b"
		second.config = f.newConfig(second.marker)
		return []proposal{p, second}
	case 4: // a large configuration
		f.addBulkRoutes(p.config, bulkRoutes, "bulk")
	case 5: // an outdated base revision
		if newest > 0 {
			p.query, p.mustFail = baseRevisionQuery(newest-1), true
		}
	}
	return []proposal{p}
}

func baseRevisionQuery(revision ident.ConfigRevision) string {
	return fmt.Sprintf("?baseEpoch=%d", revision)
}
