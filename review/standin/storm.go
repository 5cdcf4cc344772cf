package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// applyS is within which an acknowledged configuration is to be in force.
	applyS = 2 * time.Second
	// darkFor is how long a machine is dark, secondDark when the second one becomes so, and changeGap
	// the time between two changes.
	darkFor    = 2000 * time.Millisecond
	secondDark = 1900 * time.Millisecond
	changesFor = secondDark + darkFor
	changeGap  = 80 * time.Millisecond
)

// goDark takes the power of a machine: it says nothing for darkFor, and its process is lost and
// started again after that.
func (f *fleet) goDark(m *machine) {
	f.rec.line("%s is dark", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(darkFor)
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	f.start(m, false)
}

// stormCase makes two of four sidecar machines dark, one after the other, while configurations come
// in quick succession, each with one more route, and asks the two others for the routes that were
// acknowledged over applyS before.
func stormCase(rec *record, trouble bool) (broken int) {
	f := newFleet(rec)
	defer f.stop()
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addCore(zone)
	}
	machines := []*machine{f.addSidecar("zone-a", "desk"), f.addSidecar("zone-b", "desk"),
		f.addSidecar("zone-c", "desk"), f.addSidecar("zone-c", "desk")}
	f.startAll()
	runs := &runLog{}
	for i, m := range machines {
		f.startEndpoint(m, fmt.Sprintf("i-desk%d", i+1), 20*time.Millisecond, runs)
	}
	ways := []way{{name: "r-1", host: "plan.example", prefix: "/way1/", repeat: "repeatable", service: "desk", timeoutMs: 1000}}
	if f.putConfig(1, 0, configuration(1, ways, "desk"), 20*time.Second) != http.StatusOK {
		cannotRun("the configuration is not taken")
	}
	f.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)

	var losses sync.WaitGroup
	if trouble {
		losses.Go(func() { f.goDark(machines[2]) })
		losses.Go(func() { time.Sleep(secondDark); f.goDark(machines[3]) })
	}
	began := time.Now()
	var mu sync.Mutex
	acknowledged := []time.Time{1: began}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for version := 2; time.Since(began) < changesFor; version++ {
			ways = append(ways, way{
				name: fmt.Sprintf("r-%d", version), host: "plan.example", prefix: fmt.Sprintf("/way%d/", version),
				repeat: "repeatable", service: "desk", timeoutMs: 1000,
			})
			next := time.Now().Add(changeGap)
			if f.putConfig(version, version-1, configuration(version, ways, "desk"), 2*time.Second) != http.StatusOK {
				cannotRun("version %d is not taken", version)
			}
			mu.Lock()
			acknowledged = append(acknowledged, time.Now())
			mu.Unlock()
			time.Sleep(time.Until(next))
		}
	}()
	var probes sync.WaitGroup
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		newest := 0
		mu.Lock()
		for version := 2; version < len(acknowledged); version++ {
			if time.Since(acknowledged[version]) > applyS {
				newest = version
			}
		}
		mu.Unlock()
		if newest == 0 {
			continue
		}
		for _, m := range machines[:2] {
			probes.Add(1)
			go func() {
				defer probes.Done()
				t := f.send(m, http.MethodGet, "plan.example", fmt.Sprintf("/way%d/1", newest), nil, time.Second)
				if t.status != http.StatusNotFound {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				broken++
				rec.line("CONFIG: %s was sent to %s %.3f s after version %d was acknowledged, and got 404",
					t.id, m.name, t.sent.Sub(acknowledged[newest]).Seconds(), newest)
			}()
		}
	}
	probes.Wait()
	losses.Wait()
	rec.line("%d versions were acknowledged in %.1f s", len(acknowledged)-2, changesFor.Seconds())
	return broken
}
