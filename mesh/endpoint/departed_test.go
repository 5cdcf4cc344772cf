package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
)

// newSequencedHeartbeat returns a heartbeat with a Seq.
func newSequencedHeartbeat(server ident.Server, addr ident.Addr, state State, seq uint64) Heartbeat {
	heartbeat := newHeartbeat(server, "one", addr, state)
	heartbeat.Seq = seq
	return heartbeat
}

// advance moves time forward by span, with a Tick every 100 ms.
func advance(tracker *Tracker, from, span time.Duration) (until time.Duration) {
	for until = from; until < from+span; until += 100 * time.Millisecond {
		tracker.Tick(at(until))
	}
	return until
}

// mustHandle passes a valid heartbeat to the tracker.
func mustHandle(t *testing.T, tracker *Tracker, now time.Duration, heartbeat Heartbeat) {
	t.Helper()
	_, err := tracker.HandleHeartbeat(at(now), heartbeat)
	must.Nil(t, err)
}

// A heartbeat that was sent before its server departed, in any way, arrives milliseconds to minutes
// after the departure: the server must not be readmitted. Guards against departures that expire, so
// that a late heartbeat brings the endpoint back.
func TestLateHeartbeatDoesNotReadmitDepartedServer(t *testing.T) {
	silent := 2*MaxHeartbeatTimeout + forgetAfter
	for name, leave := range map[string]func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration{
		"signed off": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			mustHandle(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"signed off twice": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			mustHandle(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			mustHandle(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"left, then signed off": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			mustHandle(t, tracker, now, newSequencedHeartbeat("a", "ip:1", Leaving, 2))
			mustHandle(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"left, then fell silent": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			mustHandle(t, tracker, now, newSequencedHeartbeat("a", "ip:1", Leaving, 2))
			return advance(tracker, now, silent)
		},
		"silent, then left during a stall": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			now = advance(tracker, now, silent) + 10*stallThreshold
			mustHandle(t, tracker, now, newSequencedHeartbeat("a", "ip:1", Leaving, 2))
			return advance(tracker, now, 2*distrustAfterStall)
		},
		"silent, then signed off": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			now = advance(tracker, now, silent)
			mustHandle(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"signed off, and another server has its address": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			mustHandle(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			mustHandle(t, tracker, now, newSequencedHeartbeat("b", "ip:1", Alive, 1))
			return now
		},
	} {
		for _, lateness := range []time.Duration{0, time.Second, 2900 * time.Millisecond, 3100 * time.Millisecond, 10 * time.Second, 10 * time.Minute} {
			tracker := New()
			mustHandle(t, tracker, 0, newSequencedHeartbeat("a", "ip:1", Alive, 1))
			now := leave(t, tracker, 100*time.Millisecond)
			now = advance(tracker, now, lateness)
			for _, state := range []State{Alive, Leaving, Alive} {
				mustHandle(t, tracker, now, newSequencedHeartbeat("a", "ip:1", state, 3))
				_, _, rejection := tracker.Check(at(now), "a", "one")
				must.NotNil(t, rejection, must.Sprintf("%s, %s heartbeat %v later: request accepted", name, state, lateness))
			}
			for _, workload := range tracker.Workloads() {
				must.NotEq(t, "a", workload.UID, must.Sprintf("%s, a heartbeat %v later", name, lateness))
			}
		}
	}
}

// A new run under the id of a server that signed off with a Seq is admitted only by a higher Seq.
func TestNewRunWithHigherSeqIsAdmitted(t *testing.T) {
	tracker := New()
	mustHandle(t, tracker, 0, newSequencedHeartbeat("a", "ip:1", Alive, 7))
	mustHandle(t, tracker, 0, newSequencedHeartbeat("a", "ip:1", Gone, 9))
	mustHandle(t, tracker, 0, newSequencedHeartbeat("a", "ip:1", Alive, 8))
	must.SliceEmpty(t, tracker.Workloads())
	must.Eq(t, 1, tracker.LateHeartbeats)
	mustHandle(t, tracker, 0, newSequencedHeartbeat("a", "ip:1", Alive, 10))
	_, _, rejection := tracker.Check(at(0), "a", "one")
	must.Nil(t, rejection)
}

// At most maxDeparted departed servers are remembered, the ones that departed last.
func TestDepartedServersAreBounded(t *testing.T) {
	tracker := New()
	name := func(i int) ident.Server { return ident.Server(fmt.Sprint("e", i)) }
	for i := range 2 * maxDeparted {
		mustHandle(t, tracker, 0, Heartbeat{Server: name(i), State: Gone})
	}
	must.MapLen(t, maxDeparted, tracker.departed.finalSeq)
	must.SliceLen(t, maxDeparted, tracker.departed.departureOrder)
	must.False(t, tracker.departed.predatesDeparture(Heartbeat{Server: name(maxDeparted - 1)}))
	must.True(t, tracker.departed.predatesDeparture(Heartbeat{Server: name(maxDeparted)}))
}

// newVerifyingTracker returns a tracker whose endpoints can be asked for their health.
func newVerifyingTracker() *Tracker {
	tracker := New()
	tracker.VerifyNewEndpoints, tracker.EndpointsVerifyTarget = true, true
	return tracker
}

// A server that a restarted sidecar knows only from heartbeats gets no requests until a health
// check has verified the server, however many heartbeats arrive. Guards against a late heartbeat
// that brings back an endpoint which signed off before the restart of the sidecar.
func TestNewEndpointGetsNoRequestsUntilVerified(t *testing.T) {
	tracker := newVerifyingTracker()
	for seq := uint64(5); seq < 8; seq++ {
		mustHandle(t, tracker, time.Duration(seq), newSequencedHeartbeat("a", "ip:1", Alive, seq))
		must.Eq(t, record.Unknown, tracker.Workloads()[0].Status)
		_, _, rejection := tracker.Check(at(time.Duration(seq)), "a", "one")
		must.NotNil(t, rejection)
	}
	must.Eq(t, []Heartbeat{{Server: "a", Service: "one", Addr: "ip:1", State: Alive, Seq: 7, Weight: 1}}, tracker.Unverified())
	must.True(t, tracker.MarkVerified(at(time.Second), "a").WorkloadsChanged)
	must.SliceEmpty(t, tracker.Unverified())
	_, _, rejection := tracker.Check(at(time.Second), "a", "one")
	must.Nil(t, rejection)
	must.False(t, tracker.MarkVerified(at(time.Second), "a").WorkloadsChanged)

	mustHandle(t, tracker, time.Second, newSequencedHeartbeat("a", "ip:1", Leaving, 8))
	must.Eq(t, record.Draining, tracker.Workloads()[0].Status)
	mustHandle(t, tracker, time.Second, Heartbeat{Server: "a", State: Gone})
	mustHandle(t, tracker, time.Second, newSequencedHeartbeat("a", "ip:1", Alive, 9))
	must.False(t, tracker.MarkVerified(at(time.Second), "a").WorkloadsChanged, must.Sprint("the health response was sent before the sign-off"))
	must.SliceEmpty(t, tracker.Workloads())
}

// A late heartbeat of a server that is no longer at its address does not affect the server that
// now has the address. Once a new server at the address was verified, the previous server there
// has departed.
func TestOnlyVerifiedEndpointTakesOverAddress(t *testing.T) {
	tracker := newVerifyingTracker()
	mustHandle(t, tracker, 0, newSequencedHeartbeat("new", "ip:1", Alive, 1))
	tracker.MarkVerified(at(0), "new")
	change, err := tracker.HandleHeartbeat(at(time.Millisecond), newSequencedHeartbeat("old", "ip:1", Alive, 90))
	must.Nil(t, err)
	must.SliceEmpty(t, change.CloseAddrs)
	now := time.Millisecond
	for seq := uint64(2); now < 2*forgetAfter; seq++ { // until server old is removed
		mustHandle(t, tracker, now, newSequencedHeartbeat("new", "ip:1", Alive, seq))
		must.SliceEmpty(t, tracker.Tick(at(now)).CloseAddrs, must.Sprint("connections of the server that has the address"))
		_, _, rejection := tracker.Check(at(now), "new", "one")
		must.Nil(t, rejection)
		now += HeartbeatInterval
	}
	must.SliceLen(t, 1, tracker.Workloads())

	mustHandle(t, tracker, now, newSequencedHeartbeat("newer", "ip:1", Alive, 1))
	must.Eq(t, []ident.Addr{"ip:1"}, tracker.MarkVerified(at(now), "newer").CloseAddrs)
	mustHandle(t, tracker, now, newSequencedHeartbeat("new", "ip:1", Alive, 99))
	must.SliceLen(t, 1, tracker.Workloads())
	must.Eq(t, "newer", tracker.Workloads()[0].UID)
	_, _, rejection := tracker.Check(at(now), "newer", "one")
	must.Nil(t, rejection)
}
