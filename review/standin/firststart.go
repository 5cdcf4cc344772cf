package main

import (
	"net/http"
	"slices"
	"time"
)

// firstStartCase kills one core in the first second of the system's first start and starts it again,
// as the platform does, and looks whether the first configuration is ever taken.
func firstStartCase(rec *record, trouble bool) (broken int) {
	f := newFleet(rec)
	defer f.stop()
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addCore(zone)
	}
	front := f.addSidecar("zone-a", "front")
	desk := f.addSidecar("zone-b", "desk")
	for _, m := range slices.Concat(f.cores, f.sidecars) {
		f.writeSettings(m, true)
	}
	// All machines start within 0.3 s of each other, in any order.
	f.start(f.cores[0], true)
	f.start(f.cores[1], true)
	for _, m := range f.sidecars {
		f.start(m, true)
	}
	time.Sleep(250 * time.Millisecond)
	if trouble {
		rec.line("SIGKILL to %s", f.cores[0].name)
		_ = f.cores[0].cmd.Process.Kill()
		_ = f.cores[0].cmd.Wait()
	}
	f.start(f.cores[2], true)
	if trouble {
		time.Sleep(500 * time.Millisecond)
		f.start(f.cores[0], false) // with the settings of that moment: it is not the first start
	}
	runs := &runLog{}
	f.startEndpoint(front, "i-front", 20*time.Millisecond, runs)
	f.startEndpoint(desk, "i-desk1", 20*time.Millisecond, runs)
	ways := []way{{name: "r-book", host: "plan.example", prefix: "/book/", repeat: "one_shot", service: "desk", timeoutMs: 1000}}
	if f.putConfig(1, 0, configuration(1, ways, "front", "desk"), 30*time.Second) != http.StatusOK {
		rec.line("the first configuration was sent for 30 s, to all cores in turn, and was never taken")
		return 1
	}
	f.awaitReady(10 * time.Second)
	time.Sleep(3 * time.Second)
	if t := f.send(front, http.MethodPost, "plan.example", "/book/1", nil, time.Second); t.status != http.StatusOK {
		cannotRun("a request is not served")
	}
	return 0
}
