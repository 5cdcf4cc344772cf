package endpoint

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/base/monotime"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/mesh/meshtest"
)

func at(d time.Duration) monotime.Time { return monotime.Time(time.Second + d) }

func newHeartbeat(server ident.Server, service ident.Service, addr ident.Addr, state State) Heartbeat {
	return Heartbeat{Server: server, Service: service, Addr: addr, State: state}
}

// A server leaves, signs off, sends late heartbeats, and another service reuses the address, in
// every order and with milliseconds, seconds or a minute between the heartbeats. No request may be
// sent to the server once the server has left or signed off, or once a heartbeat of another server
// has come from its address.
func TestAllOrdersOfDepartureAndAddressReuse(t *testing.T) {
	heartbeats := []Heartbeat{
		newHeartbeat("a", "one", "ip:1", Alive),
		newHeartbeat("a", "one", "ip:1", Leaving),
		newHeartbeat("a", "one", "ip:1", Gone),
		newHeartbeat("b", "two", "ip:1", Alive),
		newHeartbeat("a", "one", "ip:1", Alive),
	}
	for _, order := range meshtest.Permutations(len(heartbeats)) {
		for _, gap := range []time.Duration{20 * time.Millisecond, 4 * time.Second, time.Minute} {
			checkOrderOfDepartureAndReuse(t, heartbeats, order, gap)
		}
	}
}

// checkOrderOfDepartureAndReuse runs TestAllOrdersOfDepartureAndAddressReuse for one order of the
// heartbeats and one gap between them.
func checkOrderOfDepartureAndReuse(t *testing.T, heartbeats []Heartbeat, order []int, gap time.Duration) {
	tracker := New()
	elapsed := time.Duration(0)
	left := false
	var lastAtAddr ident.Server
	for step, i := range order {
		elapsed = advance(tracker, elapsed, gap)
		now := at(elapsed)
		tracker.Tick(now)
		heartbeat := heartbeats[i]
		_, err := tracker.HandleHeartbeat(now, heartbeat)
		must.Nil(t, err)
		left = left || heartbeat.Server == "a" && heartbeat.State != Alive
		if heartbeat.State != Gone {
			lastAtAddr = heartbeat.Server
		}
		addr, _, rejection := tracker.Check(now, "a", "one")
		if left {
			must.NotNil(t, rejection, must.Sprintf("order %v step %d, %v apart: request accepted for a server that left", order, step, gap))
		}
		if rejection == nil {
			must.Eq(t, "a", lastAtAddr, must.Sprintf("order %v step %d: the address belongs to another server", order, step))
			must.Eq(t, ident.Addr("ip:1"), addr)
		}
		_, _, rejection = tracker.Check(now, "b", "one")
		must.NotNil(t, rejection, must.Sprint("request accepted for a service that server b does not serve"))
	}
}

// An endpoint without heartbeats is rejected and removed, and its connections are closed, well
// before another server may reuse its address (reuseAfterS).
func TestSilentEndpointIsRemovedBeforeAddressReuse(t *testing.T) {
	tracker := New()
	_, _ = tracker.HandleHeartbeat(at(0), newHeartbeat("a", "one", "ip:1", Alive))
	closedAfter, rejectedAfter := time.Duration(0), time.Duration(0)
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += 40 * time.Millisecond {
		if change := tracker.Tick(at(elapsed)); len(change.CloseAddrs) > 0 && closedAfter == 0 {
			closedAfter = elapsed
		}
		if _, _, rejection := tracker.Check(at(elapsed), "a", "one"); rejection != nil && rejectedAfter == 0 {
			rejectedAfter = elapsed
		}
	}
	must.Between(t, HeartbeatTimeout, rejectedAfter, 1300*time.Millisecond)
	must.Between(t, HeartbeatTimeout, closedAfter, 1300*time.Millisecond)
	must.SliceEmpty(t, tracker.Workloads())
}

// After this process was suspended, heartbeats that may have waited in a socket buffer make no
// endpoint healthy, and Check accepts no request. New heartbeats count again after
// distrustAfterStall.
func TestHeartbeatsFromBeforeSuspensionAreIgnored(t *testing.T) {
	tracker := New()
	_, _ = tracker.HandleHeartbeat(at(0), newHeartbeat("a", "one", "ip:1", Alive))
	tracker.Tick(at(0))
	resumedAt := 5 * time.Second
	_, _ = tracker.HandleHeartbeat(at(resumedAt), newHeartbeat("a", "one", "ip:1", Alive)) // sent long ago
	_, _, err := tracker.Check(at(resumedAt), "a", "one")
	must.NotNil(t, err)
	tracker.Tick(at(resumedAt + time.Millisecond))
	_, _ = tracker.HandleHeartbeat(at(resumedAt+2*time.Millisecond), newHeartbeat("a", "one", "ip:1", Alive))
	_, _, err = tracker.Check(at(resumedAt+3*time.Millisecond), "a", "one")
	must.NotNil(t, err)
	for elapsed := 40 * time.Millisecond; elapsed < 900*time.Millisecond; elapsed += 40 * time.Millisecond {
		tracker.Tick(at(resumedAt + elapsed))
	}
	_, _ = tracker.HandleHeartbeat(at(resumedAt+900*time.Millisecond), newHeartbeat("a", "one", "ip:1", Alive))
	_, _, err = tracker.Check(at(resumedAt+901*time.Millisecond), "a", "one")
	must.Nil(t, err)
}

// A refused connection makes the endpoint unhealthy immediately and for unhealthyAfterFailure.
func TestRefusedConnectionMakesEndpointUnhealthy(t *testing.T) {
	tracker := New()
	_, _ = tracker.HandleHeartbeat(at(0), newHeartbeat("a", "one", "ip:1", Alive))
	must.True(t, tracker.HandleConnectFailure(at(10*time.Millisecond), "a").WorkloadsChanged)
	must.Eq(t, record.Unhealthy, tracker.Workloads()[0].Status)
	_, _ = tracker.HandleHeartbeat(at(300*time.Millisecond), newHeartbeat("a", "one", "ip:1", Alive))
	_, _, err := tracker.Check(at(301*time.Millisecond), "a", "one")
	must.NotNil(t, err)
	tracker.Tick(at(600 * time.Millisecond))
	_, _ = tracker.HandleHeartbeat(at(900*time.Millisecond), newHeartbeat("a", "one", "ip:1", Alive))
	_, _, err = tracker.Check(at(901*time.Millisecond), "a", "one")
	must.Nil(t, err)
}

// An endpoint that sends one heartbeat per second stays healthy. When its heartbeats stop, the
// endpoint is still rejected before another server may reuse its address (reuseAfterS).
func TestSlowHeartbeatsAreTolerated(t *testing.T) {
	tracker := New()
	lastHeartbeat := time.Duration(0)
	rejections := 0
	for elapsed := time.Duration(0); elapsed < 20*time.Second; elapsed += 40 * time.Millisecond {
		tracker.Tick(at(elapsed))
		if elapsed%time.Second == 0 || elapsed%time.Second == 120*time.Millisecond && elapsed/time.Second%2 == 1 {
			if elapsed < 15*time.Second {
				_, _ = tracker.HandleHeartbeat(at(elapsed), newHeartbeat("a", "one", "ip:1", Alive))
				lastHeartbeat = elapsed
			}
		}
		_, _, rejection := tracker.Check(at(elapsed), "a", "one")
		if rejection != nil && elapsed < 15*time.Second && elapsed > 5*time.Second {
			rejections++
		}
		if elapsed > 15*time.Second {
			must.False(t, rejection == nil && elapsed-lastHeartbeat > MaxHeartbeatTimeout,
				must.Sprintf("request accepted %v after the last heartbeat", elapsed-lastHeartbeat))
		}
	}
	must.Eq(t, 0, rejections)
}

// An endpoint whose first heartbeat arrives while its machine is stopping gets no requests. Found
// by simulator seed 30185: the stop never finished, because requests kept arriving.
func TestNewEndpointIsDrainingWhileMachineStops(t *testing.T) {
	tracker := New()
	_, _ = tracker.HandleHeartbeat(at(0), newHeartbeat("a", "one", "ip:1", Alive))
	must.True(t, tracker.DrainAll(at(time.Millisecond)).WorkloadsChanged)
	_, _ = tracker.HandleHeartbeat(at(2*time.Millisecond), newHeartbeat("b", "one", "ip:2", Alive))
	for _, server := range []ident.Server{"a", "b"} {
		_, _, err := tracker.Check(at(3*time.Millisecond), server, "one")
		must.NotNil(t, err)
	}
	for _, workload := range tracker.Workloads() {
		must.Eq(t, record.Draining, workload.Status)
	}
}
