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
	urgentKind         = "card" // kind of request whose route is urgent
	bulkRoutes         = 3000
	manyRoutes         = 33000 // a configuration of some 3.6 MB
	unchangedNamespace = "steady"
)

// meshConfig is a configuration as operators propose it, as far as the fleet sets it.
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

// proposal is one configuration that is sent to a core.
type proposal struct {
	config meshConfig
	method string // PUT for a whole configuration, PATCH for a change
	query  string
	marker string // makes the configuration differ from all others
	// mustFail is set when the configuration is invalid or its base revision outdated.
	mustFail bool
}

// newConfig is the deployment's configuration. The marker becomes the namespace of its first
// service, so that each proposal differs from the others.
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

// addBulkRoutes makes a configuration larger. hostSuffix ends the name of each route's host.
func (f *Fleet) addBulkRoutes(config meshConfig, count int, hostSuffix string) {
	service := string(f.Deployment.Services[0].Name)
	for i := range count {
		config.Routes[fmt.Sprintf("bulk-%d", i)] = routeConfig{Host: fmt.Sprintf("h%d.%s", i, hostSuffix), Service: service}
	}
}

// errRejected tells that a proposal certainly did not take effect.
var errRejected = errors.New("the core rejected the proposal")

// propose sends a configuration to any core and returns the revision that the core confirmed.
// errRejected means that it certainly did not take effect; after any other error the outcome is
// unknown.
func (f *Fleet) propose(config meshConfig, method, query string) (ident.ConfigRevision, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Revision ident.ConfigRevision `json:"epoch"`
		Failure  failure.Kind         `json:"defect"`
		Outcome  failure.Outcome      `json:"fate"`
	}
	code, err := f.clients.anyCore().Request(proposalTimeout, method, "/manifest"+query, bytes.NewReader(raw), &answer)
	switch {
	case err != nil:
		return 0, err
	case code == http.StatusOK:
		return answer.Revision, nil
	case answer.Outcome == failure.NotExecuted:
		return 0, errRejected
	}
	return 0, failure.NewUnknown(failure.BadResponse, "status %d %s", code, answer.Failure)
}

// proposeAndJudge proposes a configuration, judges the answer and follows a confirmed
// revision to all sidecars.
func (f *Fleet) proposeAndJudge(ctx context.Context, p proposal) {
	revision, err := f.propose(p.config, p.method, p.query)
	answeredAt := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Checker.Observe(ruleConfigRejected)
	switch {
	case err == nil:
		f.Counts["manifests confirmed"]++
		f.judgeConfirmed(p, revision, answeredAt)
		f.trackRevision(ctx, revision, answeredAt)
	case errors.Is(err, errRejected):
		f.Counts["manifests refused"]++
		f.Checker.ProposalRejected(p.marker, "no")
	default:
		f.Counts["manifests unknown"]++
	}
}

// judgeConfirmed judges that a confirmed proposal could succeed and has a revision of its
// own. The caller holds mu.
func (f *Fleet) judgeConfirmed(p proposal, revision ident.ConfigRevision, confirmedAt time.Time) {
	if p.mustFail {
		f.Checker.Violate(f.sinceStart(confirmedAt), ruleConfigRejected, "%s was confirmed as revision %d", p.marker, revision)
	}
	if f.confirmed[revision] {
		f.Checker.Violate(f.sinceStart(confirmedAt), ruleNumberRepeated, "revision %d was given twice", revision)
	}
	f.confirmed[revision] = true
	f.newestRevision = max(f.newestRevision, revision)
}

// proposeConfigs does the operators' part: it proposes a configuration at each interval, sometimes
// two at once, sometimes one that must fail.
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
		for _, concurrent := range proposals[1:] {
			running.Go(func() { f.proposeAndJudge(ctx, concurrent) })
		}
		f.proposeAndJudge(ctx, proposals[0])
	}
}

// nextProposals gives the proposals of the operators' n-th turn, which are sent at once.
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
	case 2: // a change of one service
		name := string(f.Deployment.Services[0].Name)
		p.config, p.method = meshConfig{Services: map[string]serviceConfig{name: {Namespace: marker}}}, http.MethodPatch
	case 3: // two at once on one base: one of them wins
		p.query = baseRevisionQuery(newest)
		second := p
		second.marker = marker + "b"
		second.config = f.newConfig(second.marker)
		return []proposal{p, second}
	case 4: // a large one
		f.addBulkRoutes(p.config, bulkRoutes, "bulk")
	case 5: // an outdated base
		if newest > 0 {
			p.query, p.mustFail = baseRevisionQuery(newest-1), true
		}
	}
	return []proposal{p}
}

func baseRevisionQuery(revision ident.ConfigRevision) string {
	return fmt.Sprintf("?baseEpoch=%d", revision)
}
