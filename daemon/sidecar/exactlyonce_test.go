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

// These tests play all orders of what the far ends of a request's hops may do, over the daemon's
// own code and real sockets, and check every answer against what the endpoints saw. The faulty
// builds that they catch are listed in docs/design/control-safety/exactly-once.md.

// patientLimit is the time of a request that must not time out, shortLimit that of one which meets
// a peer that hangs.
const (
	patientLimit = time.Minute
	shortLimit   = 60 * time.Millisecond
)

// notExecutedStatuses are the statuses of a request that has not run and never will.
var notExecutedStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// topology places the two endpoints of a service and gives the sidecar that callers use.
type topology func(*faultHarness) *Sidecar

func localEndpoints(st *faultHarness) *Sidecar {
	s := newTestSidecar("a", "127.0.0.1:1", st.endpoints...)
	s.addWorkloads("a", "127.0.0.1:1", "a0", "a1")
	return s
}

func remoteEndpoints(st *faultHarness) *Sidecar {
	st.peer.Store(newTestSidecar("b", "127.0.0.1:2", st.endpoints...))
	s := newTestSidecar("a", "127.0.0.1:1")
	s.addWorkloads("b", st.relayAddr, "b0", "b1")
	return s
}

// playScript sends requests one after the other against one order of moves. The answers are checked
// at once, and again at the end of the test: what was rejected never runs.
func (st *faultHarness) runScenario(t *testing.T, place topology, limit time.Duration, paths []string, script []endpointBehavior, relays []relayBehavior) {
	played, number := newScenario(script, relays), fmt.Sprint(st.scenarioCount.Add(1))
	st.scenarios.Store(number, played)
	s := place(st)
	defer st.closeConnections(s)
	responses := make([]*httptest.ResponseRecorder, len(paths))
	for n, path := range paths {
		responses[n] = s.sendAsCaller(path, fmt.Sprint(number, "-r", n), limit)
	}
	checkAll := func() {
		for n, path := range paths {
			played.checkResponse(t, path, fmt.Sprint(number, "-r", n), responses[n], describeScenario(paths, script, relays))
		}
	}
	checkAll()
	t.Cleanup(checkAll)
}

// closeConnections closes the connections that the sidecars kept.
func (st *faultHarness) closeConnections(s *Sidecar) {
	for _, sidecar := range []*Sidecar{s, st.peer.Swap(nil)} {
		if sidecar == nil {
			continue
		}
		for _, addr := range append(st.endpoints, st.relayAddr) {
			sidecar.endpointExchange.Drop(addr)
			sidecar.peerExchange.Drop(addr)
		}
	}
}

func describeScenario(paths []string, script []endpointBehavior, relays []relayBehavior) string {
	names := []string{strings.Join(paths, " ")}
	for _, m := range script {
		names = append(names, m.name)
	}
	for _, m := range relays {
		names = append(names, "hop "+m.name)
	}
	return strings.Join(names, "; ")
}

// checkAnswer checks the answer to one request against what the endpoints saw of it.
func (j *scenario) checkResponse(t *testing.T, path, id string, got *httptest.ResponseRecorder, description string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	executions, unknown := 0, j.outcomeUnknown[id]
	for n, behavior := range j.arrivals[id] {
		if behavior.executes {
			executions++
		}
		unknown = unknown || behavior.evidence == unproven
		if n > 0 && strings.HasPrefix(path, "/once/") {
			must.Eq(t, notExecuted, j.arrivals[id][n-1].evidence, must.Sprintf("%s: %s was sent on after one that may have run", description, id))
		}
	}
	message := must.Sprintf("%s: %s ran %d times, was answered %d %s %s", description, id, executions, got.Code,
		got.Header().Get(response.OutcomeHeader), got.Body)
	if strings.HasPrefix(path, "/once/") {
		must.LessEq(t, 1, executions, message)
	}
	outcome := failure.Outcome(got.Header().Get(response.OutcomeHeader))
	if outcome == "" { // an endpoint's own
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
		must.True(t, unknown || j.connectionClosed, message) // not unsure without a cause
	}
}

// movesWithoutHang are the moves that end without a time-out.
func behaviorsWithoutHang() (list []endpointBehavior) {
	for _, m := range endpointBehaviors {
		if m.end != hangs {
			list = append(list, m)
		}
	}
	return list
}

var pathPairs = [][]string{{"/once/x", "/once/y"}, {"/again/x", "/once/y"}, {"/once/x", "/again/y"}}

// movesNamed returns the endpoint moves of these names.
func behaviorsNamed(names ...string) (list []endpointBehavior) {
	for _, m := range endpointBehaviors {
		if slices.Contains(names, m.name) {
			list = append(list, m)
		}
	}
	return list
}

// All orders of three moves of two endpoints beside the sidecar, against two requests.
func TestAllScenariosWithLocalEndpoints(t *testing.T) {
	last := behaviorsNamed("answers", "answers an older one late, then this", "refuses", "runs and resets")
	must.SliceLen(t, 4, last)
	for _, first := range behaviorsWithoutHang() {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newFaultHarness(t)
			for _, second := range behaviorsWithoutHang() {
				for _, third := range last {
					for _, paths := range pathPairs {
						st.runScenario(t, localEndpoints, patientLimit, paths, []endpointBehavior{first, second, third}, nil)
					}
				}
			}
		})
	}
}

// All orders of two moves of the hop between sidecars and two of the endpoints behind it.
func TestAllScenariosWithRemoteEndpoints(t *testing.T) {
	endpoints := behaviorsNamed("answers", "answers and closes", "answers twice", "refuses", "runs and resets")
	must.SliceLen(t, 5, endpoints)
	for _, first := range relayBehaviors {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newFaultHarness(t)
			for _, second := range relayBehaviors {
				for _, one := range endpoints {
					for _, two := range endpoints {
						st.runScenario(t, remoteEndpoints, patientLimit, pathPairs[0], []endpointBehavior{one, two}, []relayBehavior{first, second})
					}
				}
			}
		})
	}
}

// The same with a request that may run again before one that may not: three moves of the hop.
func TestAllRelayScenariosForRepeatableRequests(t *testing.T) {
	endpoints := behaviorsNamed("answers", "runs and resets")
	must.SliceLen(t, 2, endpoints)
	for _, first := range relayBehaviors {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newFaultHarness(t)
			for _, second := range relayBehaviors {
				for _, third := range relayBehaviors {
					for _, one := range endpoints {
						st.runScenario(t, remoteEndpoints, patientLimit, pathPairs[1], []endpointBehavior{one}, []relayBehavior{first, second, third})
					}
				}
			}
		})
	}
}

// A request to a peer that hangs ends at its deadline: whether it ran is unknown, it is not sent
// again, and its connection carries nothing after it.
func TestAllScenariosWithAHangingPeer(t *testing.T) {
	hanging := endpointBehaviors[len(endpointBehaviors)-1]
	must.Eq(t, hangs, hanging.end)
	hangingRelay := relayBehavior{"hangs", true, false, noBytes, hangs, true}
	for _, other := range endpointBehaviors {
		t.Run(other.name, func(t *testing.T) {
			t.Parallel()
			st := newFaultHarness(t)
			for _, script := range [][]endpointBehavior{{hanging, other}, {other, hanging}} {
				for _, paths := range pathPairs {
					st.runScenario(t, localEndpoints, shortLimit, paths, script, nil)
					st.runScenario(t, remoteEndpoints, shortLimit, paths, script, nil)
					st.runScenario(t, remoteEndpoints, shortLimit, paths, script[:1], []relayBehavior{hangingRelay})
				}
			}
		})
	}
}

// Many requests at once, on connections that random moves keep and end: no two of them are mixed
// up, and each answer is checked as above.
func TestConcurrentRequests(t *testing.T) {
	const callers, each = 8, 30
	for seed := range uint64(6) {
		for name, setUp := range map[string]topology{"beside": localEndpoints, "behind": remoteEndpoints} {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 1))
				var script []endpointBehavior
				var relays []relayBehavior
				for range 2 * callers * each { // half of the moves are well
					script = append(script, endpointBehaviors[0], randomElement(rng, behaviorsWithoutHang()))
					relays = append(relays, relayBehaviors[0], randomElement(rng, relayBehaviors))
				}
				harness := newFaultHarness(t)
				played := newScenario(script, relays)
				harness.scenarios.Store("1", played)
				s := setUp(harness)
				defer harness.closeConnections(s)
				var responses [callers][each]*httptest.ResponseRecorder
				path := func(n int) string { return []string{"/once/x", "/again/y"}[n%2] }
				id := func(caller, n int) string { return fmt.Sprintf("1-%d-%d", caller, n) }
				var senders sync.WaitGroup
				for caller := range callers {
					senders.Go(func() {
						for n := range each {
							responses[caller][n] = s.sendAsCaller(path(n), id(caller, n), patientLimit)
						}
					})
				}
				senders.Wait()
				served := 0
				for caller := range callers {
					for n := range each {
						got := responses[caller][n]
						played.checkResponse(t, path(n), id(caller, n), got, fmt.Sprint("seed ", seed))
						if got.Code == http.StatusOK {
							served++
						}
					}
				}
				must.Greater(t, callers*each/4, served) // or the moves leave nothing to be seen
			})
		}
	}
}

func randomElement[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }
