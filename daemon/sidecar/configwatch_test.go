package sidecar

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/registry/record"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/settings"
)

// slowCore is a core that responds to renewals after a delay, or never if the delay is negative,
// and holds each poll until the poll is canceled.
type slowCore struct {
	renewAfter    time.Duration
	renewals      atomic.Int64
	polls         atomic.Int64
	pollsCanceled atomic.Int64
	polledSignal  chan struct{}
}

func (c *slowCore) serve(t *testing.T) ident.Addr {
	c.polledSignal = make(chan struct{}, 100)
	done := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc(mesh.RenewPath, func(w http.ResponseWriter, _ *http.Request) {
		c.renewals.Add(1)
		if c.renewAfter < 0 {
			<-done
			return
		}
		delay := time.NewTimer(c.renewAfter)
		defer delay.Stop()
		select {
		case <-delay.C:
			_ = json.NewEncoder(w).Encode(record.RenewalResponse{})
		case <-done:
		}
	})
	mux.HandleFunc(mesh.WatchPath, func(w http.ResponseWriter, r *http.Request) {
		c.polls.Add(1)
		c.polledSignal <- struct{}{}
		select {
		case <-r.Context().Done():
			c.pollsCanceled.Add(1)
		case <-done:
			_ = json.NewEncoder(w).Encode(mesh.WatchResponse{})
		}
	})
	listener := httptest.NewServer(mux)
	t.Cleanup(func() { close(done); listener.Close() })
	return ident.Addr(strings.TrimPrefix(listener.URL, "http://"))
}

// startRenewingSidecar starts the background loops that renew the lease and poll for changes.
func startRenewingSidecar(t *testing.T, cores ...ident.Addr) *Sidecar {
	s := New(settings.Sidecar{Node: "n", Seeds: cores}, zap.NewNop())
	s.leaseHeld.Store(true)
	go s.renewer.run()
	go s.configWatch.run()
	t.Cleanup(func() { close(s.done) })
	return s
}

// Over a saturated link, all cores respond late to renewals. The poll continues at the first core: if
// each renewal canceled the poll, no poll would ever return a change.
func TestPollContinuesWhileAllCoresAreLate(t *testing.T) {
	const renewalsFailed = 5
	a, b := &slowCore{renewAfter: holder.RenewTimeout + 100*time.Millisecond}, &slowCore{renewAfter: holder.RenewTimeout + 100*time.Millisecond}
	s := startRenewingSidecar(t, a.serve(t), b.serve(t))
	for s.Metrics.Counter(counterRenewalsFailed).Load() < renewalsFailed {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, 1, a.polls.Load()+b.polls.Load())
	must.Eq(t, 0, a.pollsCanceled.Load()+b.pollsCanceled.Load())
}

// The sidecar leaves a core that no longer responds as soon as another core responds to a renewal.
func TestPollSwitchesToRespondingCore(t *testing.T) {
	for range 6 { // the ports determine which of the two cores comes first
		silent, responding := &slowCore{renewAfter: -1}, &slowCore{}
		startRenewingSidecar(t, silent.serve(t), responding.serve(t))
		select {
		case <-responding.polledSignal:
		case <-time.After(20 * time.Second):
			t.Fatal("the responding core is never polled")
		}
		must.Less(t, 3, silent.renewals.Load()) // the silent core received at most two renewals
	}
}
