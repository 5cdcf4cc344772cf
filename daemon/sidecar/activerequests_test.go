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
			h := startDisconnectHarness(t, remote, 1, 8)
			h.send("/again/x", "run")
			h.await("the run", func() bool { return h.isRunning("run") })
			if remote { // the endpoint that makes the call is on the machine of the caller's sidecar
				h.callerSidecar.mu.Lock()
				h.callerSidecar.activeRequests.begin("run")
				h.callerSidecar.mu.Unlock()
			}
			h.send("/again/x", "earlier")
			h.awaitInFlight(2, 2)
			h.send("/once/x", "run.call")
			h.awaitInFlight(3, 3)
			h.endpoint.release("run")
			h.await("the next run", func() bool { _, running, _ := h.endpoint.state(); return len(running) == 1 && !running["run"] })
			must.True(t, h.isRunning("run.call"))
			h.endpoint.release("run.call")
			h.await("the last run", func() bool { return h.isRunning("earlier") })
			h.endpoint.release("earlier")
			h.awaitInFlight(0, 0)
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
