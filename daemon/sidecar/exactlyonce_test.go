package sidecar

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/wire/response"
)

// These tests run all sequences of behaviors of endpoints and relays over the daemon's own code and
// real sockets, and check every response against the requests that the endpoints received. A relay
// stands between two sidecars and injects faults. Requests with a path under /once/ must not be
// executed more than once; requests under /again/ are repeatable. The faulty builds that the tests
// detect are listed in docs/design/control-safety/exactly-once.md.

// patientLimit is the timeout of a request that must not time out; shortLimit is the timeout of a
// request to a peer that hangs.
const (
	patientLimit = time.Minute
	shortLimit   = 60 * time.Millisecond
)

// notExecutedStatuses are the response statuses of a request that has not been and never will be
// executed.
var notExecutedStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// topology sets up the sidecars for the two endpoints of a service and returns the callers' sidecar.
type topology func(*faultHarness) *Sidecar

func localEndpoints(h *faultHarness) *Sidecar {
	s := newTestSidecar("a", "127.0.0.1:1", h.endpoints...)
	s.addWorkloads("a", "127.0.0.1:1", "a0", "a1")
	return s
}

func remoteEndpoints(h *faultHarness) *Sidecar {
	h.peer.Store(newTestSidecar("b", "127.0.0.1:2", h.endpoints...))
	s := newTestSidecar("a", "127.0.0.1:1")
	s.addWorkloads("b", h.relay.addr, "b0", "b1")
	return s
}

// runScenario sends requests one after another against one sequence of behaviors. The responses are
// checked as soon as every request that was sent has arrived, and again at the end of the test,
// because a rejected request must never be executed later. A request may arrive after its deadline.
func (h *faultHarness) runScenario(t *testing.T, setUp topology, timeout time.Duration, paths []string, script []endpointBehavior, relays []relayBehavior) {
	sc, number := newScenario(script, relays), fmt.Sprint(h.scenarioCount.Add(1))
	h.scenarios.Store(number, sc)
	s := setUp(h)
	responses := make([]*httptest.ResponseRecorder, len(paths))
	for n, path := range paths {
		responses[n] = s.sendAsCaller(path, fmt.Sprint(number, "-r", n), timeout)
	}
	h.closeConnections(t, s)
	checkAll := func() {
		for n, path := range paths {
			sc.checkResponse(t, path, fmt.Sprint(number, "-r", n), responses[n], describeScenario(paths, script, relays))
		}
	}
	checkAll()
	t.Cleanup(checkAll)
}

// closeConnections closes the idle connections of the callers' sidecar and of the peer, and waits
// until the relay and the endpoints have served their connections to the end. The relay still
// forwards a request whose sender has timed out, so the peer remains until the relay has finished.
func (h *faultHarness) closeConnections(t *testing.T, s *Sidecar) {
	h.dropConnections(s)
	h.relay.settle(t)
	if peer := h.peer.Swap(nil); peer != nil {
		h.dropConnections(peer)
	}
	for _, endpointServer := range h.endpointServers {
		endpointServer.settle(t)
	}
}

// dropConnections closes the connections of a sidecar to the endpoints and the relay.
func (h *faultHarness) dropConnections(s *Sidecar) {
	for _, addr := range append(slices.Clone(h.endpoints), h.relay.addr) {
		s.endpointExchange.Drop(addr)
		s.peerExchange.Drop(addr)
	}
}

func describeScenario(paths []string, script []endpointBehavior, relays []relayBehavior) string {
	names := []string{strings.Join(paths, " ")}
	for _, behavior := range script {
		names = append(names, behavior.name)
	}
	for _, behavior := range relays {
		names = append(names, "relay "+behavior.name)
	}
	return strings.Join(names, "; ")
}

// checkResponse checks the response to one request against the attempts of the request that the
// endpoints received.
func (sc *scenario) checkResponse(t *testing.T, path, id string, got *httptest.ResponseRecorder, description string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	executions, unknown := 0, sc.outcomeUnknown[id]
	for n, behavior := range sc.arrivals[id] {
		if behavior.executes {
			executions++
		}
		unknown = unknown || behavior.evidence == unproven
		if n > 0 && strings.HasPrefix(path, "/once/") {
			must.Eq(t, notExecuted, sc.arrivals[id][n-1].evidence, must.Sprintf("%s: %s was sent again after an attempt that may have executed it", description, id))
		}
	}
	message := must.Sprintf("%s: %s was executed %d times, response: %d %s %s", description, id, executions, got.Code,
		got.Header().Get(response.OutcomeHeader), got.Body)
	if strings.HasPrefix(path, "/once/") {
		must.LessEq(t, 1, executions, message)
	}
	outcome := failure.Outcome(got.Header().Get(response.OutcomeHeader))
	if outcome == "" { // the endpoint's own response
		must.Eq(t, responseBody(id), got.Body.String(), message)
		must.Eq(t, []string{id}, got.Header()[testIDHeader], message)
		must.Greater(t, 0, executions, message)
		must.True(t, got.Code >= 300 || got.Header().Get(testSuccessMarkHeader) != "", message)
		return
	}
	must.False(t, got.Code < 300, message)
	must.Eq(t, outcome == failure.NotExecuted, notExecutedStatuses[got.Code], message)
	if outcome == failure.NotExecuted {
		must.Eq(t, 0, executions, message)
	} else {
		must.Eq(t, failure.OutcomeUnknown, outcome, message)
		must.True(t, unknown || sc.connectionClosed, message) // an unknown outcome must have a cause
	}
}

// behaviorsWithoutHang returns the behaviors that end without a timeout.
func behaviorsWithoutHang() (list []endpointBehavior) {
	for _, behavior := range endpointBehaviors {
		if behavior.end != hangs {
			list = append(list, behavior)
		}
	}
	return list
}

// pathPairs lists the paths of two successive requests of a scenario.
var pathPairs = [][]string{{"/once/x", "/once/y"}, {"/again/x", "/once/y"}, {"/once/x", "/again/y"}}

// behaviorsNamed returns the endpoint behaviors with the given names.
func behaviorsNamed(names ...string) (list []endpointBehavior) {
	for _, behavior := range endpointBehaviors {
		if slices.Contains(names, behavior.name) {
			list = append(list, behavior)
		}
	}
	return list
}

// All sequences of three behaviors of two endpoints behind the caller's sidecar, with two requests.
func TestAllScenariosWithLocalEndpoints(t *testing.T) {
	last := behaviorsNamed("responds", "sends the previous response, then its own", "rejects as not executed", "executes and resets")
	must.SliceLen(t, 4, last)
	for _, first := range behaviorsWithoutHang() {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			h := newFaultHarness(t)
			for _, second := range behaviorsWithoutHang() {
				for _, third := range last {
					for _, paths := range pathPairs {
						h.runScenario(t, localEndpoints, patientLimit, paths, []endpointBehavior{first, second, third}, nil)
					}
				}
			}
		})
	}
}

// All sequences of two behaviors of the relay between sidecars, combined with all sequences of two
// behaviors of the endpoints behind the relay.
func TestAllScenariosWithRemoteEndpoints(t *testing.T) {
	endpoints := behaviorsNamed("responds", "responds and closes", "responds twice", "rejects as not executed", "executes and resets")
	must.SliceLen(t, 5, endpoints)
	for _, first := range relayBehaviors {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			h := newFaultHarness(t)
			for _, second := range relayBehaviors {
				for _, firstEndpoint := range endpoints {
					for _, secondEndpoint := range endpoints {
						h.runScenario(t, remoteEndpoints, patientLimit, pathPairs[0], []endpointBehavior{firstEndpoint, secondEndpoint}, []relayBehavior{first, second})
					}
				}
			}
		})
	}
}

// All sequences of three behaviors of the relay, with a repeatable request before a non-repeatable
// request.
func TestAllRelayScenariosForRepeatableRequests(t *testing.T) {
	endpoints := behaviorsNamed("responds", "executes and resets")
	must.SliceLen(t, 2, endpoints)
	for _, first := range relayBehaviors {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			h := newFaultHarness(t)
			for _, second := range relayBehaviors {
				for _, third := range relayBehaviors {
					for _, endpoint := range endpoints {
						h.runScenario(t, remoteEndpoints, patientLimit, pathPairs[1], []endpointBehavior{endpoint}, []relayBehavior{first, second, third})
					}
				}
			}
		})
	}
}

// A request to a peer that hangs ends at its deadline: the outcome is unknown, the request is not
// sent again, and its connection is not reused.
func TestAllScenariosWithAHangingPeer(t *testing.T) {
	hanging := endpointBehaviors[len(endpointBehaviors)-1]
	must.Eq(t, hangs, hanging.end)
	hangingRelay := relayBehavior{"hangs", true, false, noBytes, hangs, true}
	for _, other := range endpointBehaviors {
		t.Run(other.name, func(t *testing.T) {
			t.Parallel()
			h := newFaultHarness(t)
			for _, script := range [][]endpointBehavior{{hanging, other}, {other, hanging}} {
				for _, paths := range pathPairs {
					h.runScenario(t, localEndpoints, shortLimit, paths, script, nil)
					h.runScenario(t, remoteEndpoints, shortLimit, paths, script, nil)
					h.runScenario(t, remoteEndpoints, shortLimit, paths, script[:1], []relayBehavior{hangingRelay})
				}
			}
		})
	}
}

// Concurrent requests on connections that random behaviors leave open or close: no request gets the
// response to another request, and each response is checked as in the other tests.
func TestConcurrentRequests(t *testing.T) {
	const callers, requestsPerCaller = 8, 30
	for seed := range uint64(6) {
		for name, setUp := range map[string]topology{"local": localEndpoints, "remote": remoteEndpoints} {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 1))
				var script []endpointBehavior
				var relays []relayBehavior
				for range 2 * callers * requestsPerCaller { // at least half of the behaviors are without a fault
					script = append(script, endpointBehaviors[0], randomElement(rng, behaviorsWithoutHang()))
					relays = append(relays, relayBehaviors[0], randomElement(rng, relayBehaviors))
				}
				harness := newFaultHarness(t)
				sc := newScenario(script, relays)
				harness.scenarios.Store("1", sc)
				s := setUp(harness)
				defer harness.closeConnections(t, s)
				var responses [callers][requestsPerCaller]*httptest.ResponseRecorder
				path := func(n int) string { return []string{"/once/x", "/again/y"}[n%2] }
				id := func(caller, n int) string { return fmt.Sprintf("1-%d-%d", caller, n) }
				var senders sync.WaitGroup
				for caller := range callers {
					senders.Go(func() {
						for n := range requestsPerCaller {
							responses[caller][n] = s.sendAsCaller(path(n), id(caller, n), patientLimit)
						}
					})
				}
				senders.Wait()
				successes := 0
				for caller := range callers {
					for n := range requestsPerCaller {
						got := responses[caller][n]
						sc.checkResponse(t, path(n), id(caller, n), got, fmt.Sprint("seed ", seed))
						if got.Code == http.StatusOK {
							successes++
						}
					}
				}
				must.Greater(t, callers*requestsPerCaller/4, successes) // otherwise the faults leave too few successful responses to check
			})
		}
	}
}

func randomElement[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }
