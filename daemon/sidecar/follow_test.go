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

	"cottonarch.example/cottonarch/adapter/mesh"
	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/lease/holder"
	"cottonarch.example/cottonarch/mesh/registry/record"
)

// slowCore is a core that answers renewals after a while, never if it is negative, and holds
// each poll for news until it is broken off.
type slowCore struct {
	renewAfter   time.Duration
	renewals     atomic.Int64
	polls        atomic.Int64
	pollsBroken  atomic.Int64
	polledSignal chan struct{}
}

func (c *slowCore) serve(t *testing.T) ident.Addr {
	c.polledSignal = make(chan struct{}, 100)
	over := make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/cottonarch/v1/renew", func(w http.ResponseWriter, r *http.Request) {
		c.renewals.Add(1)
		if c.renewAfter < 0 {
			<-over
			return
		}
		late := time.NewTimer(c.renewAfter)
		defer late.Stop()
		select {
		case <-late.C:
			_ = json.NewEncoder(w).Encode(record.Renewed{})
		case <-over:
		}
	})
	mux.HandleFunc("/cottonarch/v1/news", func(w http.ResponseWriter, r *http.Request) {
		c.polls.Add(1)
		c.polledSignal <- struct{}{}
		select {
		case <-r.Context().Done():
			c.pollsBroken.Add(1)
		case <-over:
			_ = json.NewEncoder(w).Encode(mesh.News{})
		}
	})
	at := httptest.NewServer(mux)
	t.Cleanup(func() { close(over); at.Close() })
	return ident.Addr(strings.TrimPrefix(at.URL, "http://"))
}

// following runs the duties of a sidecar that renew its lease and poll for news.
func following(t *testing.T, cores ...ident.Addr) *Sidecar {
	s := New(boot.Sidecar{Node: "n", Seeds: cores}, zap.NewNop())
	s.entered.Store(true)
	go s.renewals()
	go s.follow()
	t.Cleanup(func() { close(s.done) })
	return s
}

// Behind a full link every core is late with its answers to renewals. The poll for news goes on
// at the core that it began at: broken off with each renewal it would never bring any.
func TestPollGoesOnWhileAllCoresAreLate(t *testing.T) {
	const renewalsFailed = 5
	a, b := &slowCore{renewAfter: holder.RenewTimeout + 100*time.Millisecond}, &slowCore{renewAfter: holder.RenewTimeout + 100*time.Millisecond}
	s := following(t, a.serve(t), b.serve(t))
	for s.Board.At("renewals_failed").Load() < renewalsFailed {
		time.Sleep(10 * time.Millisecond)
	}
	must.Eq(t, 1, a.polls.Load()+b.polls.Load())
	must.Eq(t, 0, a.pollsBroken.Load()+b.pollsBroken.Load())
}

// A core that says nothing more is left as soon as another one answers a renewal.
func TestPollTurnsToACoreThatAnswers(t *testing.T) {
	for range 6 { // which of the two comes first hangs on their ports
		silent, answers := &slowCore{renewAfter: -1}, &slowCore{}
		following(t, silent.serve(t), answers.serve(t))
		select {
		case <-answers.polledSignal:
		case <-time.After(20 * time.Second):
			t.Fatal("the core that answers is never polled")
		}
		must.Less(t, 3, silent.renewals.Load()) // it took no more than two of its renewals
	}
}
