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

	"cottonarch.example/cottonarch/kernel/failure"
	"cottonarch.example/cottonarch/wire/reply"
)

// These tests play all orders of what the far ends of a request's hops may do, over the
// daemon's own code and real sockets, and hold every answer against what the endpoints
// saw. Builds that they were seen to catch: see docs/design/control-safety/exactly-once.md.

// patientLimit is the time of a request that nothing ends by time; shortLimit that of one
// which meets a peer that hangs.
const (
	patientLimit = time.Minute
	shortLimit   = 60 * time.Millisecond
)

// promises are the statuses that promise that a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

// place puts the two endpoints of a service on the stage and gives the sidecar that is asked.
type place func(*stage) *Sidecar

func beside(st *stage) *Sidecar {
	s := node("a", "127.0.0.1:1", st.endpoints...)
	s.knows("a", "127.0.0.1:1", "a0", "a1")
	return s
}

func behind(st *stage) *Sidecar {
	st.peer.Store(node("b", "127.0.0.1:2", st.endpoints...))
	s := node("a", "127.0.0.1:1")
	s.knows("b", st.hop, "b0", "b1")
	return s
}

// play sends requests one after the other against one order of moves. It is judged when
// they are answered, and again when all of the stage is over: what was refused never runs.
func (st *stage) play(t *testing.T, at place, limit time.Duration, paths []string, script []endpointMove, relays []relayMove) {
	j, order := newJournal(script, relays), fmt.Sprint(st.orders.Add(1))
	st.journals.Store(order, j)
	s := at(st)
	defer st.over(s)
	answers := make([]*httptest.ResponseRecorder, len(paths))
	for n, path := range paths {
		answers[n] = s.asks(path, fmt.Sprint(order, "-r", n), limit)
	}
	judge := func() {
		for n, path := range paths {
			j.judge(t, path, fmt.Sprint(order, "-r", n), answers[n], orderText(paths, script, relays))
		}
	}
	judge()
	t.Cleanup(judge)
}

// over closes the connections that an order kept.
func (st *stage) over(s *Sidecar) {
	for _, one := range []*Sidecar{s, st.peer.Swap(nil)} {
		if one == nil {
			continue
		}
		for _, addr := range append(st.endpoints, st.hop) {
			one.ends.Drop(addr)
			one.peers.Drop(addr)
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

// judge holds the answer to one request against what the endpoints saw of it.
func (j *journal) judge(t *testing.T, path, id string, got *httptest.ResponseRecorder, order string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	ran, unproved := 0, j.lost[id]
	for n, move := range j.arrivals[id] {
		if move.runs {
			ran++
		}
		unproved = unproved || move.evidence == doubt
		if n > 0 && strings.HasPrefix(path, "/once/") {
			must.Eq(t, refused, j.arrivals[id][n-1].evidence, must.Sprintf("%s: %s was sent on after one that may have run", order, id))
		}
	}
	say := must.Sprintf("%s: %s ran %d times, was told %d %s %s", order, id, ran, got.Code, got.Header().Get(reply.FateHeader), got.Body)
	if strings.HasPrefix(path, "/once/") {
		must.LessEq(t, 1, ran, say)
	}
	fate := failure.Outcome(got.Header().Get(reply.FateHeader))
	if fate == "" { // an endpoint's own
		must.Eq(t, ownBody(id), got.Body.String(), say)
		must.Eq(t, []string{id}, got.Header()[testId], say)
		must.Greater(t, 0, ran, say)
		must.True(t, got.Code >= 300 || got.Header().Get(testSeal) != "", say)
		return
	}
	must.False(t, got.Code < 300, say)
	must.Eq(t, fate == failure.NotExecuted, promises[got.Code], say)
	if fate == failure.NotExecuted {
		must.Eq(t, 0, ran, say)
	} else {
		must.Eq(t, failure.OutcomeUnknown, fate, say)
		must.True(t, unproved || j.ended, say) // not unsure without a cause
	}
}

// quick are the moves that nothing ends by time.
func quick() (list []endpointMove) {
	for _, m := range endpointMoves {
		if m.end != hangs {
			list = append(list, m)
		}
	}
	return list
}

var pathPairs = [][]string{{"/once/x", "/once/y"}, {"/again/x", "/once/y"}, {"/once/x", "/again/y"}}

// named gives the moves of an endpoint that have these names.
func named(names ...string) (list []endpointMove) {
	for _, m := range endpointMoves {
		if slices.Contains(names, m.name) {
			list = append(list, m)
		}
	}
	return list
}

// All orders of three moves of two endpoints beside the sidecar, against two requests.
func TestAllOrdersBesideTheSidecar(t *testing.T) {
	last := named("answers", "answers an older one late, then this", "refuses", "runs and resets")
	must.SliceLen(t, 4, last)
	for _, first := range quick() {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, second := range quick() {
				for _, third := range last {
					for _, paths := range pathPairs {
						st.play(t, beside, patientLimit, paths, []endpointMove{first, second, third}, nil)
					}
				}
			}
		})
	}
}

// All orders of two moves of the hop between sidecars and two of the endpoints behind it.
func TestAllOrdersBehindAPeer(t *testing.T) {
	moves := named("answers", "answers and closes", "answers twice", "refuses", "runs and resets")
	must.SliceLen(t, 5, moves)
	for _, first := range relayMoves {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, second := range relayMoves {
				for _, one := range moves {
					for _, two := range moves {
						st.play(t, behind, patientLimit, pathPairs[0], []endpointMove{one, two}, []relayMove{first, second})
					}
				}
			}
		})
	}
}

// The same with a request that may run again before one that may not: three moves of the hop.
func TestAllOrdersOfTheHopForWhatMayRunAgain(t *testing.T) {
	moves := named("answers", "runs and resets")
	must.SliceLen(t, 2, moves)
	for _, first := range relayMoves {
		t.Run(first.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, second := range relayMoves {
				for _, third := range relayMoves {
					for _, one := range moves {
						st.play(t, behind, patientLimit, pathPairs[1], []endpointMove{one}, []relayMove{first, second, third})
					}
				}
			}
		})
	}
}

// A peer that hangs ends the request at its time: whether it ran is unknown, nothing goes
// out again, and its connection carries nothing after it.
func TestAllOrdersWithAPeerThatHangs(t *testing.T) {
	hang := endpointMoves[len(endpointMoves)-1]
	must.Eq(t, hangs, hang.end)
	silent := relayMove{"hangs", true, false, none, hangs, true}
	for _, other := range endpointMoves {
		t.Run(other.name, func(t *testing.T) {
			t.Parallel()
			st := newStage(t)
			for _, script := range [][]endpointMove{{hang, other}, {other, hang}} {
				for _, paths := range pathPairs {
					st.play(t, beside, shortLimit, paths, script, nil)
					st.play(t, behind, shortLimit, paths, script, nil)
					st.play(t, behind, shortLimit, paths, script[:1], []relayMove{silent})
				}
			}
		})
	}
}

// Many requests at once, on connections that are kept and ended as moves drawn by a seed
// have it: no two of them mix, and each is judged as above.
func TestManyAtOnce(t *testing.T) {
	const callers, each = 8, 30
	for seed := range uint64(6) {
		for name, at := range map[string]place{"beside": beside, "behind": behind} {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				t.Parallel()
				draw := rand.New(rand.NewPCG(seed, 1))
				var script []endpointMove
				var relays []relayMove
				for range 2 * callers * each { // half of the moves are well
					script = append(script, endpointMoves[0], oneOf(draw, quick()))
					relays = append(relays, relayMoves[0], oneOf(draw, relayMoves))
				}
				st := newStage(t)
				j := newJournal(script, relays)
				st.journals.Store("1", j)
				s := at(st)
				defer st.over(s)
				var answers [callers][each]*httptest.ResponseRecorder
				path := func(n int) string { return []string{"/once/x", "/again/y"}[n%2] }
				id := func(who, n int) string { return fmt.Sprintf("1-%d-%d", who, n) }
				var all sync.WaitGroup
				for who := range callers {
					all.Go(func() {
						for n := range each {
							answers[who][n] = s.asks(path(n), id(who, n), patientLimit)
						}
					})
				}
				all.Wait()
				served := 0
				for who := range callers {
					for n := range each {
						got := answers[who][n]
						j.judge(t, path(n), id(who, n), got, fmt.Sprint("seed ", seed))
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

func oneOf[T any](draw *rand.Rand, list []T) T { return list[draw.IntN(len(list))] }
