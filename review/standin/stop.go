package main

import (
	"net/http"
	"syscall"
	"time"
)

// stopCase stops a sidecar as the platform does, while its clients go on, and looks for requests
// that an endpoint was at work on and that ended without an answer.
func stopCase(rec *record, trouble bool) (broken int) {
	f := newFleet(rec)
	defer f.stop()
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addCore(zone)
	}
	front := f.addSidecar("zone-a", "front")
	desks := []*machine{f.addSidecar("zone-b", "desk"), f.addSidecar("zone-c", "desk")}
	f.startAll()
	runs := &runLog{}
	f.startEndpoint(front, "i-front", 20*time.Millisecond, runs)
	for i, m := range desks {
		f.startEndpoint(m, []string{"i-desk1", "i-desk2"}[i], 700*time.Millisecond, runs)
	}
	ways := []way{{name: "r-move", host: "bank.example", prefix: "/move/", repeat: "one_shot", service: "desk", timeoutMs: 1000}}
	if f.putConfig(1, 0, configuration(1, ways, "front", "desk"), 20*time.Second) != http.StatusOK {
		cannotRun("the configuration is not taken")
	}
	f.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	tries, stop := &tryLog{}, make(chan struct{})
	go f.askReadiness(front, stop)
	wait := f.load(front, http.MethodPost, "bank.example", "/move/1", 10, time.Second, tries, stop)
	time.Sleep(4 * time.Second)
	sigterm := time.Now()
	if trouble {
		rec.line("SIGTERM to %s", front.name)
		_ = front.cmd.Process.Signal(syscall.SIGTERM)
		ended := make(chan struct{})
		go func() { _ = front.cmd.Wait(); close(ended) }()
		select {
		case <-ended:
			rec.line("%s ended", front.name)
		case <-time.After(graceS):
			rec.line("SIGKILL to %s", front.name)
			_ = front.cmd.Process.Kill()
			<-ended
		}
	} else {
		time.Sleep(graceS)
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	wait.Wait()
	return lostAroundStop(rec, sigterm, tries.all(), runs.all())
}

// askReadiness asks a machine each second whether it is ready, as the platform does, and records the
// answers. After two misses its clients get no new work, "except when fewer than half of the zone's
// nodes are in": this machine is the only one of its zone, so its clients go on all the same.
func (f *fleet) askReadiness(m *machine, stop <-chan struct{}) {
	for misses := 0; ; {
		if misses++; f.ready(m) {
			misses = 0
		}
		f.rec.line("readiness of %s: %d misses in a row", m.name, misses)
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// lostAroundStop counts the requests that an endpoint was at work on and that ended without a
// complete answer, from the SIGTERM until 1 s after graceS, but for those that the rule excuses.
func lostAroundStop(rec *record, sigterm time.Time, tries []try, runs []run) (broken int) {
	served := 0
	for _, t := range tries {
		if t.status == http.StatusOK {
			served++
		}
		if t.status != 0 || t.refused || t.ended.Before(sigterm) || t.ended.After(sigterm.Add(graceS+time.Second)) {
			continue
		}
		for _, r := range runs {
			if r.id != t.id || r.began.After(t.ended) {
				continue
			}
			brokeOff := !r.ended.IsZero() && r.ended.Before(t.ended)
			deadline := t.ended.Sub(t.sent) >= t.deadline
			atWorkLate := t.ended.Sub(sigterm) >= graceS/2 && t.sent.Sub(sigterm) <= 3*time.Second
			if brokeOff || deadline || atWorkLate {
				rec.line("excused: %s", t.id)
				break
			}
			broken++
			rec.line("LOST: %s was sent %.3f s after the SIGTERM, began at %s, and its connection ended %.3f s after the SIGTERM: %s",
				t.id, t.sent.Sub(sigterm).Seconds(), r.server, t.ended.Sub(sigterm).Seconds(), t.note)
			break
		}
	}
	rec.line("%d tries, %d served", len(tries), served)
	if served == 0 {
		cannotRun("nothing was served")
	}
	return broken
}
