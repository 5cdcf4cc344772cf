package run

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/fleet/machine"
	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/sim/check"
	"cottonarch.example/cottonarch/sim/plan"
	"cottonarch.example/cottonarch/stand/caller"
	"cottonarch.example/cottonarch/stand/endpoint"
)

func broken(f *Fleet) map[string]int {
	out := map[string]int{}
	for _, x := range f.Check.Breaches {
		out[x.Rule]++
	}
	return out
}

// Each line is one thing that a broken mesh would leave in the books and ledgers: the
// judge names its rule and no other. The first ones are sound, and nothing is named.
func TestJudgeCatchesEachBrokenBook(t *testing.T) {
	get := &caller.Kind{Name: "balance", Method: "GET", Service: "accounts.prairie"}
	post := &caller.Kind{Name: "move", Method: "POST", Service: "payments.prairie"}
	sec := func(f *Fleet, s float64) time.Time { return f.began.Add(time.Duration(s * float64(time.Second))) }
	ran := func(f *Fleet, id string, svc ident.Service, s float64) {
		f.ledger.Add(endpoint.Ran{ID: id, Server: "e", Service: svc, At: sec(f, s)})
	}
	told := func(f *Fleet, k *caller.Kind, fate caller.Fate, s float64, note string) {
		f.book.Add(caller.Told{ID: "sidecar1-1", Kind: k, Fate: fate, Began: sec(f, s), Took: 20 * time.Millisecond, Note: note})
	}
	for _, c := range []struct {
		name, rule string
		do         func(f *Fleet)
	}{
		{"served once", "", func(f *Fleet) { told(f, post, caller.Served, 5, ""); ran(f, "sidecar1-1", "payments.prairie", 5) }},
		{"a safe one twice", "", func(f *Fleet) {
			told(f, get, caller.Served, 5, "")
			ran(f, "sidecar1-1", "accounts.prairie", 5)
			ran(f, "sidecar1-1", "accounts.prairie", 6)
		}},
		{"dropped by a kill", "", func(f *Fleet) {
			f.outs["sidecar1"] = []*outage{{sec(f, 4), sec(f, 6), killed}}
			told(f, post, caller.Dropped, 5, "EOF")
		}},
		{"came after a stop", "", func(f *Fleet) {
			f.outs["sidecar1"] = []*outage{{sec(f, 4), sec(f, 6), stopped}}
			told(f, post, caller.Dropped, 5, "dial tcp: connect: connection refused")
		}},
		{"found the listener closing", "", func(f *Fleet) {
			f.outs["sidecar1"] = []*outage{{sec(f, 4), sec(f, 6), stopped}}
			told(f, post, caller.Dropped, 5, "dial tcp: connect: connection reset by peer")
		}},
		{"reset once it was taken", "dropped-in-stop", func(f *Fleet) {
			f.outs["sidecar1"] = []*outage{{sec(f, 4), sec(f, 6), stopped}}
			told(f, post, caller.Dropped, 5, "read tcp: read: connection reset by peer")
		}},
		{"refused by nothing", "dropped-in-stop", func(f *Fleet) { told(f, post, caller.Dropped, 5, "dial tcp: connect: connection refused") }},
		{"just after it left", "", func(f *Fleet) {
			f.left["e"] = sec(f, 4)
			told(f, get, caller.Served, 5, "")
			ran(f, "sidecar1-1", "accounts.prairie", 5)
		}},
		{"an unsafe one twice", "double-run", func(f *Fleet) {
			told(f, post, caller.Unknown, 5, "")
			ran(f, "sidecar1-1", "payments.prairie", 5)
			ran(f, "sidecar1-1", "payments.prairie", 6)
		}},
		{"not run, and ran", "false-not-run", func(f *Fleet) { told(f, post, caller.NotRun, 5, ""); ran(f, "sidecar1-1", "payments.prairie", 9) }},
		{"run by another service", "wrong-service", func(f *Fleet) { told(f, get, caller.Unknown, 5, ""); ran(f, "sidecar1-1", "payments.prairie", 5) }},
		{"long after it left", "late-to-leaver", func(f *Fleet) {
			f.left["e"] = sec(f, 2)
			told(f, get, caller.Served, 5, "")
			ran(f, "sidecar1-1", "accounts.prairie", 5)
		}},
		{"long after it was lost", "late-to-leaver", func(f *Fleet) {
			f.lost["e"] = []*outage{{sec(f, 2), time.Time{}, "hung"}}
			told(f, get, caller.Served, 5, "")
			ran(f, "sidecar1-1", "accounts.prairie", 5)
		}},
		{"another's return", "wrong-return", func(f *Fleet) { told(f, get, caller.Wrong, 5, "{}"); ran(f, "sidecar1-1", "accounts.prairie", 5) }},
		{"a return of no run", "wrong-return", func(f *Fleet) { told(f, get, caller.Served, 5, "") }},
		{"dropped by nothing", "dropped-in-stop", func(f *Fleet) { told(f, get, caller.Dropped, 5, "EOF") }},
		{"dropped long after a kill", "dropped-in-stop", func(f *Fleet) {
			f.outs["sidecar1"] = []*outage{{sec(f, 1), sec(f, 2), killed}}
			told(f, get, caller.Dropped, 5, "EOF")
		}},
		{"taken, and dropped in a stop", "dropped-in-stop", func(f *Fleet) {
			f.outs["sidecar1"] = []*outage{{sec(f, 4), sec(f, 6), stopped}}
			told(f, get, caller.Dropped, 5, "unexpected EOF")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := empty(Boot{Deployment: plan.Deployments["prairie"]})
			c.do(f)
			f.judge(0, f.at(sec(f, 20)))
			want := map[string]int{}
			if c.rule != "" {
				want[c.rule] = 1
			}
			must.Eq(t, want, broken(f), must.Sprint(f.Text()))
		})
	}
}

// An epoch that is missing two seconds after what kept it away is a breach, and only then.
func TestManifestLateIsReckonedFromTheFaultsEnd(t *testing.T) {
	for _, c := range []struct {
		name string
		outs []*outage
		sent time.Duration // of a look that finds the epoch missing
		late bool
	}{
		{"in time", nil, 1900 * time.Millisecond, false},
		{"late", nil, 2100 * time.Millisecond, true},
		{"cut until now", []*outage{{cause: cutOff}}, 9 * time.Second, false},
		{"cut until a second ago", []*outage{{to: time.Unix(8, 0), cause: cutOff}}, 9 * time.Second, false},
		{"cut until three seconds ago", []*outage{{to: time.Unix(6, 0), cause: cutOff}}, 9 * time.Second, true},
		{"cut only later", []*outage{{from: time.Unix(5, 0), cause: cutOff}}, 9 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := empty(Boot{})
			base := time.Now().Add(-10 * time.Second)
			for _, o := range c.outs {
				from := base
				if !o.from.IsZero() {
					from = base.Add(time.Duration(o.from.Unix()) * time.Second)
				}
				to := time.Time{}
				if !o.to.IsZero() {
					to = base.Add(time.Duration(o.to.Unix()) * time.Second)
				}
				f.outs["s"] = append(f.outs["s"], &outage{from, to, o.cause})
			}
			f.seen("manifest-late", &machine.Machine{Name: "s"}, 7, base, base.Add(c.sent), 6, true)
			must.Eq(t, c.late, broken(f)["manifest-late"] == 1)
		})
	}
}

// Counters that fall back, or show too many further tries over all nodes, are caught.
func TestTallyCatchesCounters(t *testing.T) {
	for _, tries := range []int64{80, 100} {
		f := empty(Boot{})
		y := f.tally()
		at := time.Now()
		for i := range 24 {
			for _, side := range []string{"a", "b"} {
				y.take(side, map[string]int64{"manifest_epoch": 3, "calls.x": int64(i), "further_tries.x": tries / 2 * int64(i) / 23})
			}
			y.judge(at.Add(time.Duration(i) * 500 * time.Millisecond))
		}
		must.Eq(t, tries > 90, broken(f)["further-tries"] > 0, must.Sprint(tries))
		must.Eq(t, 0, broken(f)["manifest-back"])
		y.take("a", map[string]int64{"manifest_epoch": 2})
		must.Eq(t, 1, broken(f)["manifest-back"])
	}
}

// A core that keeps none of its promises: everybody gets every lock, numbers repeat, keys
// show old revisions, places are forgotten, any manifest is confirmed under one epoch. The
// fleet's clients catch each.
func TestClientsCatchABrokenCore(t *testing.T) {
	var keys atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		say := func(code int, v any) { w.WriteHeader(code); _ = json.NewEncoder(w).Encode(v) }
		switch {
		case strings.HasSuffix(r.URL.Path, "/claim"):
			say(200, map[string]any{"fence": 1})
		case strings.HasPrefix(r.URL.Path, "/numbers"):
			say(200, map[string]any{"number": 5})
		case strings.HasPrefix(r.URL.Path, "/keys"):
			say(200, map[string]any{"revision": 90 - keys.Add(1), "value": fmt.Sprint(keys.Load())})
		case strings.HasPrefix(r.URL.Path, "/watch"):
			say(410, map[string]any{"defect": "forgotten"})
		case r.URL.Path == "/manifest":
			say(200, map[string]any{"epoch": 1})
		default:
			say(200, map[string]any{})
		}
	}))
	defer srv.Close()
	d := plan.Deployments["prairie"]
	d.Locks, d.Keys = 1, 1
	f := empty(Boot{Deployment: d, Scale: 1})
	f.Cores = []*machine.Machine{{Name: "core1", Inner: srv.Listener.Addr().String()}}
	f.serve = newClients(f)
	ctx, stop := context.WithCancel(context.Background())
	stop() // nobody holds a lock for long
	for i := range 12 {
		f.serve.lock(ctx, fmt.Sprint("app", i))
		f.serve.number()
		f.serve.key()
	}
	watching, end := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer end()
	f.serve.watch(watching)
	f.give(ctx, f.manifest("bad"), "PUT", "", "bad", true)
	f.give(ctx, f.manifest("again"), "PUT", "", "again", false)
	got := broken(f)
	for _, rule := range []string{"lock-shared", "number-repeated", "stale-read", "watch-forgotten", "manifest-turned"} {
		must.Positive(t, got[rule], must.Sprint(rule, got))
	}
}

// A loss after which less than a quarter of normal is served 15 s later is caught; one
// after which more is, is not.
func TestJudgeCatchesASlowRecovery(t *testing.T) {
	kind := &caller.Kind{Name: "balance", Method: "GET", Service: "accounts.prairie"}
	for _, after := range []int{1, 5} { // calls a second after the loss, of ten before
		f := empty(Boot{Deployment: plan.Deployments["prairie"]})
		n := 0
		for s := range 60 {
			rate := 10
			if s >= 20 {
				rate = after
			}
			for i := range rate {
				n++
				id := fmt.Sprint("sidecar1-", n)
				at := f.began.Add(time.Duration(s)*time.Second + time.Duration(i)*time.Second/time.Duration(rate))
				f.book.Add(caller.Told{ID: id, Kind: kind, Fate: caller.Served, Began: at, Took: time.Millisecond})
				f.ledger.Add(endpoint.Ran{ID: id, Server: "e", Service: "accounts.prairie", At: at})
			}
		}
		f.Check.Losses = []check.Loss{{At: f.at(f.began.Add(20 * time.Second)), Name: "herd"}, {At: f.at(f.began.Add(50 * time.Second)), Name: "late"}}
		f.judge(0, f.at(f.began.Add(60*time.Second)))
		must.Eq(t, after == 1, broken(f)["slow-recovery"] == 1, must.Sprint(f.Text()))
		must.Eq(t, 1, f.Check.Excused["slow-recovery"]["the day ended"])
	}
}
