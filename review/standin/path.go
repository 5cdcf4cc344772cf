package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// pathCase sends requests on paths that no route's prefix begins, or only that of another service,
// and looks which service runs them.
func pathCase(rec *record, trouble bool) (broken int) {
	f := newFleet(rec)
	defer f.stop()
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addCore(zone)
	}
	front, desk := f.addSidecar("zone-a", "front"), f.addSidecar("zone-b", "desk")
	f.startAll()
	runs := &runLog{}
	f.startEndpoint(front, "i-front", 5*time.Millisecond, runs)
	f.startEndpoint(desk, "i-desk", 5*time.Millisecond, runs)
	ways := []way{
		{name: "r-desk", host: "bank.example", prefix: "/desk/", repeat: "one_shot", service: "desk", timeoutMs: 1000},
		{name: "r-all", host: "plan.example", prefix: "/", repeat: "one_shot", service: "front", timeoutMs: 1000},
		{name: "r-book", host: "plan.example", prefix: "/desk/", repeat: "one_shot", service: "desk", timeoutMs: 1000},
	}
	if f.putConfig(1, 0, configuration(1, ways, "front", "desk"), 20*time.Second) != http.StatusOK {
		cannotRun("the configuration is not taken")
	}
	f.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	paths := []string{"/deskx/7", "/nowhere/7"}
	if trouble {
		paths = []string{"/desk%2F7", "/desk%2f7/entry"}
	}
	type sent struct {
		try
		host, path string
	}
	var tries []sent
	for n := range 10 {
		for _, host := range []string{"bank.example", "plan.example"} {
			for _, path := range append(paths, "/desk/7") {
				from := []*machine{front, desk}[n%2]
				t := f.send(from, http.MethodPost, host, path, nil, time.Second)
				rec.line("try %s was POST %s on %s: %d %.60s", t.id, path, host, t.status, t.body)
				tries = append(tries, sent{t, host, path})
			}
		}
	}
	served := 0
	for _, t := range tries {
		allowed := ""
		switch {
		case strings.HasPrefix(t.path, "/desk/"):
			allowed = "i-desk"
		case t.host == "plan.example":
			allowed = "i-front"
		}
		for _, r := range runs.all() {
			if r.id != t.id {
				continue
			}
			served++
			if r.server != allowed {
				broken++
				rec.line("ROUTE: %s, POST %s on %s, ran at %s; the configuration allows %q", t.id, t.path, t.host, r.server, allowed)
			}
		}
	}
	rec.line("%d tries, %d runs", len(tries), served)
	if served == 0 {
		cannotRun("nothing was served")
	}
	fmt.Println("tries:", len(tries), "runs:", served)
	return broken
}
