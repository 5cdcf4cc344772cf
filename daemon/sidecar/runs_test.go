package sidecar

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/mesh/attempt"
)

// A call belongs to an active request if its id is the request's id, a separator, and at least one
// more character.
func TestActiveRequestsContainParent(t *testing.T) {
	active := activeRequests{}
	must.False(t, active.containsParentOf("a1.b"))
	active.begin("a1")
	active.begin("a1")
	active.begin("")
	for id, want := range map[string]bool{
		"a1.b": true, "a1-b": true, "a1.b.c": true, "a1/b": true,
		"a1": false, "a1.": false, "a1b": false, "a.1": false, "a12.b": false, ".a1": false, "": false, "b.a1": false,
	} {
		must.Eq(t, want, active.containsParentOf(id), must.Sprint(id))
	}
	active.end("a1")
	must.True(t, active.containsParentOf("a1.b"))
	active.end("a1")
	must.False(t, active.containsParentOf("a1.b"))
	active.end("never")
	must.Eq(t, 0, len(active), must.Sprint(active))
}

// A call that the endpoint makes while executing a request precedes earlier requests of clients,
// with the endpoint behind the caller's sidecar and behind a peer.
func TestNestedCallIsSentFirst(t *testing.T) {
	for name, remote := range map[string]bool{"local endpoint": false, "remote endpoint": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := startDisconnectHarness(t, remote, 1, 8)
			m.send("/again/x", "run")
			m.await("the run", func() bool { return m.isRunning("run") })
			if remote { // the endpoint that makes the call is on the machine of the caller's sidecar
				m.callerSidecar.mu.Lock()
				m.callerSidecar.activeRequests.begin("run")
				m.callerSidecar.mu.Unlock()
			}
			m.send("/again/x", "earlier")
			m.awaitInFlight(2, 2)
			m.send("/once/x", "run.call")
			m.awaitInFlight(3, 3)
			m.endpoint.release("run")
			m.await("the next run", func() bool { _, running, _ := m.endpoint.state(); return len(running) == 1 && !running["run"] })
			must.True(t, m.isRunning("run.call"))
			m.endpoint.release("run.call")
			m.await("the last run", func() bool { return m.isRunning("earlier") })
			m.endpoint.release("earlier")
			m.awaitInFlight(0, 0)
		})
	}
}

// A nested call may wait until its deadline: the latency target of its route does not apply to the
// execution that waits for the call.
func TestNestedCallLatencyTargetIsItsDeadline(t *testing.T) {
	const now = monotime.Time(time.Hour)
	call := &attempt.Call{
		Deadline: now.Add(300 * time.Millisecond),
		Route:    validation.Route{TargetLatency: 100 * time.Millisecond},
	}
	must.Eq(t, 100*time.Millisecond, hintsFor(now, now, call, attempt.Decision{}).latencyTarget)
	call.Nested = true
	hints := hintsFor(now, now, call, attempt.Decision{})
	must.Eq(t, 300*time.Millisecond, hints.latencyTarget)
	must.True(t, hints.nested)
	must.Eq(t, hints, parseHints(hints.encode()))
}
