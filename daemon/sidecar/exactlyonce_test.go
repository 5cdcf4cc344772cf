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
type topology func(*testStage) *Sidecar

func localEndpoints(st *testStage) *Sidecar {
	s := newTestSidecar("a", "127.0.0.1:1", st.endpoints...)
	s.addWorkloads("a", "127.0.0.1:1", "a0", "a1")
	return s
}

func remoteEndpoints(st *testStage) *Sidecar {
	st.peer.Store(newTestSidecar("b", "127.0.0.1:2", st.endpoints...))
	s := newTestSidecar("a", "127.0.0.1:1")
	s.addWorkloads("b", st.relayAddr, "b0", "b1")
	return s
}

// playScript sends requests one after the other against one order of moves. The answers are checked
// at once, and again at the end of the test: what was rejected never runs.
func (st *testStage) playScript(t *testing.T, place topology, limit time.Duration, paths []string, script []endpointMove, relays []relayMove) {
	log, order := newJournal(script, relays), fmt.Sprint(st.orders.Add(1))
	st.journals.Store(order, log)
	s := place(st)
	defer st.closeConnections(s)
	answers := make([]*httptest.ResponseRecorder, len(paths))
	for n, path := range paths {
		answers[n] = s.sendAsCaller(path, fmt.Sprint(order, "-r", n), limit)
	}
	checkAll := func() {
		for n, path := range paths {
			log.checkAnswer(t, path, fmt.Sprint(order, "-r", n), answers[n], orderText(paths, script, relays))
		}
	}
	checkAll()
	t.Cleanup(checkAll)
}

// closeConnections closes the connections that the sidecars kept.
func (st *testStage) closeConnections(s *Sidecar) {
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

func orderText(paths []string, script []endpointMove, relays []relayMove) string {
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
func (j *journal) checkAnswer(t *testing.T, path, id string, got *httptest.ResponseRecorder, order string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran, inDoubt := 0, j.inDoubt[id]
	for n, move := range j.arrivals[id] {
		if move.runs {
			ran++
		}
		inDoubt = inDoubt || move.evidence == doubt
		if n > 0 && strings.HasPrefix(path, "/once/") {
			must.Eq(t, refused, j.arrivals[id][n-1].evidence, must.Sprintf("%s: %s was sent on after one that may have run", order, id))
		}
	}
	message := must.Sprintf("%s: %s ran %d times, was answered %d %s %s", order, id, ran, got.Code,
		got.Header().Get(response.OutcomeHeader), got.Body)
	if strings.HasPrefix(path, "/once/") {
		must.LessEq(t, 1, ran, message)
	}
	outcome := failure.Outcome(got.Header().Get(response.OutcomeHeader))
	if outcome == "" { // an endpoint's own
		must.Eq(t, ownBody(id), got.Body.String(), message)
		must.Eq(t, []string{id}, got.Header()[testIDHeader], message)
		must.Greater(t, 0, ran, message)
		must.True(t, got.Code >= 300 || got.Header().Get(testSealHeader) != "", message)
		return
	}
	must.False(t, got.Code < 300, message)
	must.Eq(t, outcome == failure.NotExecuted, notExecutedStatuses[got.Code], message)
	if outcome == failure.NotExecuted {
		must.Eq(t, 0, ran, message)
	} else {
		must.Eq(t, failure.OutcomeUnknown, outcome, message)
		must.True(t, inDoubt || j.connectionEnded, message) // not unsure without a cause
	}
}

// movesWithoutHang are the moves that end without a time-out.
func movesWithoutHang() (list []endpointMove) {
	for _, m := range endpointMoves {
		if m.end != hangs {
			list = append(list, m)
		}
	}
	return list
}

var pathPairs = [][]string{{"/once/x", "/once/y"}, {"/again/x", "/once/y"}, {"/once/x", "/again/y"}}

// movesNamed returns the endpoint moves of these names.
func movesNamed(names ...string) (list []endpointMove) {
	for _, m := range endpointMoves {
		if slices.Contains(names, m.name) {
			list = append(list, m)
		}
	}
	return list
}

// All orders of three moves of two endpoints beside the sidecar, against two requests.
func TestAllOrdersBesideTheSidecar(t *testing.T) {
	last := movesNamed("answers", "answers an older one late, then this", "refuses", "runs and resets")
	must.SliceLen(t, 4, last)
	for _, first := range movesWithoutHang() {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, second := range movesWithoutHang() {
				for _, third := range last {
					for _, paths := range pathPairs {
						st.playScript(t, localEndpoints, patientLimit, paths, []endpointMove{first, second, third}, nil)
					}
				}
			}
		})
	}
}

// All orders of two moves of the hop between sidecars and two of the endpoints behind it.
func TestAllOrdersBehindAPeer(t *testing.T) {
	moves := movesNamed("answers", "answers and closes", "answers twice", "refuses", "runs and resets")
	must.SliceLen(t, 5, moves)
	for _, first := range relayMoves {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, second := range relayMoves {
				for _, one := range moves {
					for _, two := range moves {
						st.playScript(t, remoteEndpoints, patientLimit, pathPairs[0], []endpointMove{one, two}, []relayMove{first, second})
					}
				}
			}
		})
	}
}

// The same with a request that may run again before one that may not: three moves of the hop.
func TestAllOrdersOfTheHopForWhatMayRunAgain(t *testing.T) {
	moves := movesNamed("answers", "runs and resets")
	must.SliceLen(t, 2, moves)
	for _, first := range relayMoves {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, second := range relayMoves {
				for _, third := range relayMoves {
					for _, one := range moves {
						st.playScript(t, remoteEndpoints, patientLimit, pathPairs[1], []endpointMove{one}, []relayMove{first, second, third})
					}
				}
			}
		})
	}
}

// A request to a peer that hangs ends at its deadline: whether it ran is unknown, it is not sent
// again, and its connection carries nothing after it.
func TestAllOrdersWithAPeerThatHangs(t *testing.T) {
	hanging := endpointMoves[len(endpointMoves)-1]
	must.Eq(t, hangs, hanging.end)
	silent := relayMove{"hangs", true, false, none, hangs, true}
	for _, other := range endpointMoves {
		t.Run(other.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, script := range [][]endpointMove{{hanging, other}, {other, hanging}} {
				for _, paths := range pathPairs {
					st.playScript(t, localEndpoints, shortLimit, paths, script, nil)
					st.playScript(t, remoteEndpoints, shortLimit, paths, script, nil)
					st.playScript(t, remoteEndpoints, shortLimit, paths, script[:1], []relayMove{silent})
				}
			}
		})
	}
}

// Many requests at once, on connections that random moves keep and end: no two of them are mixed
// up, and each answer is checked as above.
func TestManyAtOnce(t *testing.T) {
	const callers, each = 8, 30
	for seed := range uint64(6) {
		for name, setUp := range map[string]topology{"beside": localEndpoints, "behind": remoteEndpoints} {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				rng := rand.New(rand.NewPCG(seed, 1))
				var script []endpointMove
				var relays []relayMove
				for range 2 * callers * each { // half of the moves are well
					script = append(script, endpointMoves[0], oneOf(rng, movesWithoutHang()))
					relays = append(relays, relayMoves[0], oneOf(rng, relayMoves))
				}
				stage := newStage(t)
				log := newJournal(script, relays)
				stage.journals.Store("1", log)
				s := setUp(stage)
				defer stage.closeConnections(s)
				var answers [callers][each]*httptest.ResponseRecorder
				path := func(n int) string { return []string{"/once/x", "/again/y"}[n%2] }
				id := func(caller, n int) string { return fmt.Sprintf("1-%d-%d", caller, n) }
				var senders sync.WaitGroup
				for caller := range callers {
					senders.Go(func() {
						for n := range each {
							answers[caller][n] = s.sendAsCaller(path(n), id(caller, n), patientLimit)
						}
					})
				}
				senders.Wait()
				served := 0
				for caller := range callers {
					for n := range each {
						got := answers[caller][n]
						log.checkAnswer(t, path(n), id(caller, n), got, fmt.Sprint("seed ", seed))
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

func oneOf[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }
