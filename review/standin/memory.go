package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMb is what a sidecar's process may take, as on the machines of the site.
	memoryMb = 284
	// uploads come at the same time, of uploadBytes each; the configuration allows 64 MiB.
	uploads     = 8
	uploadBytes = 40 << 20
	// keptClients send one request after the other, each over one connection.
	keptClients = 16
)

// residentMb is the memory of a process, 0 when it has ended.
func residentMb(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(fields[1])
			return kb >> 10
		}
	}
	return 0
}

// watchMemory kills a machine's process that takes more than memoryMb, as the platform does. It
// returns the most that was seen and how often the process was killed.
func (f *fleet) watchMemory(m *machine, stop <-chan struct{}) (most, kills int) {
	for {
		select {
		case <-stop:
			return most, kills
		case <-time.After(2 * time.Millisecond):
		}
		used := residentMb(m.cmd.Process.Pid)
		if most = max(most, used); used > memoryMb {
			kills++
			f.rec.line("%s takes %d MiB of %d: it is killed", m.name, used, memoryMb)
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
			time.Sleep(500 * time.Millisecond)
			f.start(m, false)
		}
	}
}

// memoryCase sends some large bodies at once, in chunks, or with a length where trouble is false,
// and counts the requests on kept connections that an endpoint has begun and that get no answer.
func memoryCase(rec *record, trouble bool) (broken int) {
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
		f.startEndpoint(m, fmt.Sprintf("i-desk%d", i+1), 300*time.Millisecond, runs)
	}
	ways := []way{
		{name: "r-move", host: "bank.example", prefix: "/move/", repeat: "one_shot", service: "desk", timeoutMs: 1000},
		{name: "r-scan", host: "bank.example", prefix: "/scan/", repeat: "upload", service: "desk", timeoutMs: 1000},
	}
	if f.putConfig(1, 0, configuration(1, ways, "front", "desk"), 20*time.Second) != http.StatusOK {
		cannotRun("the configuration is not taken")
	}
	f.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)

	stop, watched := make(chan struct{}), make(chan struct{})
	var most, kills int
	go func() {
		defer close(watched)
		most, kills = f.watchMemory(front, stop)
	}()
	kept := &tryLog{}
	var clients sync.WaitGroup
	for range keptClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
			defer transport.CloseIdleConnections()
			for {
				t := f.sendOver(transport, front, http.MethodPost, "bank.example", "/move/1", bytes.NewReader([]byte("100.00")), time.Second)
				kept.add(t)
				select {
				case <-stop:
					return
				default:
				}
				if t.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	scan := bytes.Repeat([]byte("scan"), uploadBytes/4)
	var scans sync.WaitGroup
	for range uploads {
		scans.Add(1)
		go func() {
			defer scans.Done()
			var body io.Reader = bytes.NewReader(scan)
			if trouble {
				body = struct{ io.Reader }{body} // in chunks
			}
			f.sendOver(&http.Transport{DisableKeepAlives: true}, front, http.MethodPost, "bank.example", "/scan/1", body, time.Second)
		}()
	}
	scans.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()
	<-watched
	rec.line("%s took %d MiB at most and was killed %d times", front.name, most, kills)

	lost, served := 0, 0
	for _, t := range kept.all() {
		if t.status == http.StatusOK {
			served++
		}
		if t.status != 0 || t.refused || t.ended.Sub(t.sent) >= t.deadline {
			continue
		}
		for _, r := range runs.all() {
			if r.id == t.id && r.began.Before(t.ended) {
				lost++
				rec.line("LOST: %s was sent on a kept connection, began at %s, and its connection ended without an answer: %s", t.id, r.server, t.note)
			}
		}
	}
	rec.line("%d of %d requests on kept connections were served, %d lost", served, len(kept.all()), lost)
	if served == 0 {
		cannotRun("nothing was served")
	}
	if lost > 3 { // more than three times
		broken = lost
	}
	return broken
}
