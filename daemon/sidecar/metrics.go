package sidecar

import "strings"

// The counters and gauges of a sidecar. Names that end with a separator are prefixes and are
// followed by a reason, a kind of failure or a service.
const (
	counterHeartbeats           = "heartbeats"
	counterProbes               = "endpoint_probes"
	counterResponses            = "responses"
	counterRequestsFailedPrefix = "requests_failed_"
	// Requests of callers, and of other sidecars, that ended after their client had disconnected.
	counterCallersDisconnected = "callers_left"
	counterPeersDisconnected   = "peers_left"
	// Calls that this machine's endpoint made while executing a request, and the number of such calls
	// without a response, by kind of failure. A call without a response may make the execution of the
	// request useless.
	counterNested                  = "nested_calls"
	counterNestedFailedPrefix      = "nested_calls_failed_"
	counterQueueFull               = "rejected_queue_full"
	counterLateInQueue             = "late_in_queue"
	counterBodiesRejected          = "bodies_rejected"
	counterInboundLinkFull         = "rejected_inbound_link_full"
	counterOutboundLinkFull        = "rejected_outbound_link_full"
	counterAdmissionRejectedPrefix = "admission_rejected_"
	counterJoinsFailed             = "joins_failed"
	counterRenewalsFailed          = "renewals_failed"
	counterRenewalsLate            = "renewals_late"
	counterBudgetRequestsFailed    = "budget_requests_failed"
	counterWatchesFailed           = "watches_failed"
	counterRegistryChanges         = "registry_changes"
	counterConfigFetchesFailed     = "config_fetches_failed"
	counterConfigsFromPeers        = "configs_from_peers"
	counterDeltasApplied           = "deltas_applied"
	counterDeltasRejected          = "deltas_rejected"

	gaugeCalls                  = "calls"
	gaugeCallsPrefix            = "calls."
	gaugeRetries                = "retries"
	gaugeRetriesPrefix          = "retries."
	gaugeGaveUp                 = "gave_up"
	gaugeNoRoute                = "no_route"
	gaugeEndpointChecksPassed   = "endpoint_checks_passed"
	gaugeEndpointChecksRejected = "endpoint_checks_rejected"
	gaugeEndpointsForgotten     = "endpoints_forgotten"
	gaugeLateHeartbeats         = "late_heartbeats"
	gaugeRetryBudgetGranted     = "retry_budget_granted"
	gaugeRetryBudgetDenied      = "retry_budget_denied"
	gaugeRetryBudgetRefused     = "retry_budget_refused"
	gaugeConfigRevision         = "config_revision"
	gaugeInFlight               = "in_flight"
	gaugeQueued                 = "queued"
)

// deprecatedNames maps counters and gauges to their names in earlier releases. Each is published
// under both names for one release, because operators' tools read the old names.
var deprecatedNames = map[string]string{
	counterHeartbeats:              "beats",
	counterProbes:                  "greetings",
	counterResponses:               "returns",
	counterRequestsFailedPrefix:    "ended_",
	counterQueueFull:               "turned_away",
	counterLateInQueue:             "late_in_line",
	counterBodiesRejected:          "bodies_turned_away",
	counterInboundLinkFull:         "bodies_not_asked_for",
	counterOutboundLinkFull:        "link_turned_away",
	counterAdmissionRejectedPrefix: "bay_turned_away_",
	counterJoinsFailed:             "claims_failed",
	counterBudgetRequestsFailed:    "shares_failed",
	counterWatchesFailed:           "news_failed",
	counterConfigFetchesFailed:     "manifest_fetches_failed",
	counterConfigsFromPeers:        "manifests_from_peers",
	counterDeltasRejected:          "deltas_refused",
	gaugeRetries:                   "further_tries",
	gaugeRetriesPrefix:             "further_tries.",
	gaugeNoRoute:                   "no_way",
	gaugeEndpointChecksPassed:      "gate_passed",
	gaugeEndpointChecksRejected:    "gate_turned_away",
	gaugeEndpointsForgotten:        "gate_forgotten",
	gaugeRetryBudgetGranted:        "allowance_granted",
	gaugeRetryBudgetDenied:         "allowance_denied",
	gaugeRetryBudgetRefused:        "allowance_refused",
	gaugeConfigRevision:            "manifest_epoch",
	gaugeInFlight:                  "in_hand",
}

// deprecatedPrefixes lists the prefixes in deprecatedNames.
var deprecatedPrefixes = []string{counterRequestsFailedPrefix, counterAdmissionRejectedPrefix, gaugeRetriesPrefix}

// deprecatedName returns the deprecated name of a counter or gauge, and reports whether the counter or
// gauge has a deprecated name.
func deprecatedName(name string) (string, bool) {
	if deprecated, ok := deprecatedNames[name]; ok {
		return deprecated, true
	}
	for _, prefix := range deprecatedPrefixes {
		if rest, ok := strings.CutPrefix(name, prefix); ok {
			return deprecatedNames[prefix] + rest, true
		}
	}
	return "", false
}

// count increments a counter, also under its deprecated name.
func (s *Sidecar) count(counter string) {
	s.Metrics.Add(counter, 1)
	if deprecated, ok := deprecatedName(counter); ok {
		s.Metrics.Add(deprecated, 1)
	}
}

func (s *Sidecar) setGauge(gauge string, value int64) {
	s.Metrics.Set(gauge, value)
	if deprecated, ok := deprecatedName(gauge); ok {
		s.Metrics.Set(deprecated, value)
	}
}

// refreshGauges updates the gauges; it runs before each snapshot of the metrics.
func (s *Sidecar) refreshGauges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	planner, budget := s.planner, s.planner.RetryBudget
	for gauge, value := range map[string]uint64{
		gaugeCalls:                  planner.Calls,
		gaugeRetries:                planner.Retries,
		gaugeGaveUp:                 planner.GaveUp,
		gaugeNoRoute:                planner.NoRoutes,
		gaugeEndpointChecksPassed:   s.endpoints.Accepted,
		gaugeEndpointChecksRejected: s.endpoints.Rejected,
		gaugeEndpointsForgotten:     s.endpoints.Expired,
		gaugeLateHeartbeats:         s.endpoints.LateHeartbeats,
		gaugeRetryBudgetGranted:     budget.Granted,
		gaugeRetryBudgetDenied:      budget.Denied,
		gaugeRetryBudgetRefused:     budget.RejectedRepeats,
		gaugeConfigRevision:         uint64(planner.Revision()),
	} {
		s.setGauge(gauge, int64(value))
	}
	for service, totals := range budget.Totals() {
		s.setGauge(gaugeCallsPrefix+string(service), totals[0])
		s.setGauge(gaugeRetriesPrefix+string(service), totals[1])
	}
	s.setGauge(gaugeInFlight, int64(s.inFlight))
	s.setGauge(gaugeQueued, int64(s.sendQueue.Len()))
}
