package endpoint

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
)

// sequenced is a heartbeat with a Seq.
func sequenced(server ident.Server, addr ident.Addr, state State, seq uint64) Heartbeat {
	heartbeat := newHeartbeat(server, "one", addr, state)
	heartbeat.Seq = seq
	return heartbeat
}

// pass lets time pass with a tick in each tenth of a second.
func pass(tracker *Tracker, from, span time.Duration) (until time.Duration) {
	for until = from; until < from+span; until += 100 * time.Millisecond {
		tracker.Tick(at(until))
	}
	return until
}

// take has the tracker take a heartbeat.
func take(t *testing.T, tracker *Tracker, now time.Duration, heartbeat Heartbeat) {
	t.Helper()
	_, err := tracker.HandleHeartbeat(at(now), heartbeat)
	must.Nil(t, err)
}

// A heartbeat that was sent before its server left, in any way, comes milliseconds to minutes after
// that: the server is not let in again. Guards against a sign-off that is forgotten after a while, so
// that a late heartbeat brings the endpoint back.
func TestLateHeartbeatDoesNotBringADepartedServerBack(t *testing.T) {
	silent := 2*MaxHeartbeatTimeout + forgetAfter
	for name, leave := range map[string]func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration{
		"signed off": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			take(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"signed off twice": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			take(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			take(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"left, then signed off": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			take(t, tracker, now, sequenced("a", "ip:1", Leaving, 2))
			take(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"left, then fell silent": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			take(t, tracker, now, sequenced("a", "ip:1", Leaving, 2))
			return pass(tracker, now, silent)
		},
		"silent, then left, while heartbeats are not trusted": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			now = pass(tracker, now, silent) + 10*stallThreshold
			take(t, tracker, now, sequenced("a", "ip:1", Leaving, 2))
			return pass(tracker, now, 2*distrustAfterStall)
		},
		"silent, then signed off": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			now = pass(tracker, now, silent)
			take(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			return now
		},
		"signed off, and its address is another's": func(t *testing.T, tracker *Tracker, now time.Duration) time.Duration {
			take(t, tracker, now, Heartbeat{Server: "a", State: Gone})
			take(t, tracker, now, sequenced("b", "ip:1", Alive, 1))
			return now
		},
	} {
		for _, lateness := range []time.Duration{0, time.Second, 2900 * time.Millisecond, 3100 * time.Millisecond, 10 * time.Second, 10 * time.Minute} {
			tracker := New()
			take(t, tracker, 0, sequenced("a", "ip:1", Alive, 1))
			now := leave(t, tracker, 100*time.Millisecond)
			now = pass(tracker, now, lateness)
			for _, state := range []State{Alive, Leaving, Alive} {
				take(t, tracker, now, sequenced("a", "ip:1", state, 3))
				_, _, rejection := tracker.Check(at(now), "a", "one")
				must.NotNil(t, rejection, must.Sprintf("%s, %s heartbeat %v later: let through", name, state, lateness))
			}
			for _, workload := range tracker.Workloads() {
				must.NotEq(t, "a", workload.UID, must.Sprintf("%s, a heartbeat %v later", name, lateness))
			}
		}
	}
}

// A server that signed off with a Seq and runs again under its id comes back by a higher one only.
func TestNewRunUnderTheSameIDComesBack(t *testing.T) {
	tracker := New()
	take(t, tracker, 0, sequenced("a", "ip:1", Alive, 7))
	take(t, tracker, 0, sequenced("a", "ip:1", Gone, 9))
	take(t, tracker, 0, sequenced("a", "ip:1", Alive, 8))
	must.SliceEmpty(t, tracker.Workloads())
	must.Eq(t, 1, tracker.LateHeartbeats)
	take(t, tracker, 0, sequenced("a", "ip:1", Alive, 10))
	_, _, rejection := tracker.Check(at(0), "a", "one")
	must.Nil(t, rejection)
}

// Of the servers that left so many are remembered, the latest ones.
func TestDepartedServersAreBounded(t *testing.T) {
	tracker := New()
	name := func(i int) ident.Server { return ident.Server(fmt.Sprint("e", i)) }
	for i := range 2 * maxDeparted {
		take(t, tracker, 0, Heartbeat{Server: name(i), State: Gone})
	}
	must.MapLen(t, maxDeparted, tracker.departed.finalSeq)
	must.SliceLen(t, maxDeparted, tracker.departed.order)
	must.False(t, tracker.departed.sentBefore(Heartbeat{Server: name(maxDeparted - 1)}))
	must.True(t, tracker.departed.sentBefore(Heartbeat{Server: name(maxDeparted)}))
}

// newVerifyingTracker makes a tracker whose endpoints can be asked.
func newVerifyingTracker() *Tracker {
	tracker := New()
	tracker.VerifyNewEndpoints, tracker.EndpointsVerifyTarget = true, true
	return tracker
}

// A server that a restarted sidecar knows by heartbeats alone gets no requests, however many come,
// until it has answered. Guards against a late heartbeat that brings an endpoint back which signed off
// before the restart.
func TestNewcomerGetsNoRequestsUntilVerified(t *testing.T) {
	tracker := newVerifyingTracker()
	for seq := uint64(5); seq < 8; seq++ {
		take(t, tracker, time.Duration(seq), sequenced("a", "ip:1", Alive, seq))
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

	take(t, tracker, time.Second, sequenced("a", "ip:1", Leaving, 8))
	must.Eq(t, record.Draining, tracker.Workloads()[0].Status)
	take(t, tracker, time.Second, Heartbeat{Server: "a", State: Gone})
	take(t, tracker, time.Second, sequenced("a", "ip:1", Alive, 9))
	must.False(t, tracker.MarkVerified(at(time.Second), "a").WorkloadsChanged, must.Sprint("an answer that was given before the sign-off"))
	must.SliceEmpty(t, tracker.Workloads())
}

// A late heartbeat of a server that is no longer at its address takes nothing from the one that is;
// once an address has answered as a newcomer, the server that was there before has departed.
func TestOnlyAVerifiedNewcomerTakesAnAddress(t *testing.T) {
	tracker := newVerifyingTracker()
	take(t, tracker, 0, sequenced("new", "ip:1", Alive, 1))
	tracker.MarkVerified(at(0), "new")
	change, err := tracker.HandleHeartbeat(at(time.Millisecond), sequenced("old", "ip:1", Alive, 90))
	must.Nil(t, err)
	must.SliceEmpty(t, change.CloseAddrs)
	now := time.Millisecond
	for seq := uint64(2); now < 2*forgetAfter; seq++ { // until the old one is forgotten
		take(t, tracker, now, sequenced("new", "ip:1", Alive, seq))
		must.SliceEmpty(t, tracker.Tick(at(now)).CloseAddrs, must.Sprint("connections of the server that is there"))
		_, _, rejection := tracker.Check(at(now), "new", "one")
		must.Nil(t, rejection)
		now += HeartbeatInterval
	}
	must.SliceLen(t, 1, tracker.Workloads())

	take(t, tracker, now, sequenced("newer", "ip:1", Alive, 1))
	must.Eq(t, []ident.Addr{"ip:1"}, tracker.MarkVerified(at(now), "newer").CloseAddrs)
	take(t, tracker, now, sequenced("new", "ip:1", Alive, 99))
	must.SliceLen(t, 1, tracker.Workloads())
	must.Eq(t, "newer", tracker.Workloads()[0].UID)
	_, _, rejection := tracker.Check(at(now), "newer", "one")
	must.Nil(t, rejection)
}
