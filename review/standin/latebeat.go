package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"
)

// lateBeatCase has an endpoint sign off while one of its beats is still on the way: the beat comes
// some seconds late. It counts the requests that reach the endpoint later than drainS after the
// sign-off was acknowledged.
func lateBeatCase(rec *record, trouble bool) (broken int) {
	f := newFleet(rec)
	defer f.stop()
	for _, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		f.addCore(zone)
	}
	front := f.addSidecar("zone-a", "front")
	first, second := f.addSidecar("zone-b", "desk"), f.addSidecar("zone-c", "desk")
	f.startAll()
	runs := &runLog{}
	f.startEndpoint(front, "i-front", 20*time.Millisecond, runs)
	leaver := f.startEndpoint(first, "i-desk1", 20*time.Millisecond, runs)
	f.startEndpoint(second, "i-desk2", 20*time.Millisecond, runs)
	ways := []way{{name: "r-book", host: "plan.example", prefix: "/book/", repeat: "one_shot", service: "desk", timeoutMs: 1000}}
	if f.putConfig(1, 0, configuration(1, ways, "front", "desk"), 20*time.Second) != http.StatusOK {
		cannotRun("the configuration is not taken")
	}
	f.awaitReady(20 * time.Second)
	time.Sleep(4 * time.Second)
	tries, stop := &tryLog{}, make(chan struct{})
	wait := f.load(front, http.MethodPost, "plan.example", "/book/1", 40, time.Second, tries, stop)
	time.Sleep(3 * time.Second)

	// The last beat before the sign-off; with trouble it comes lateness late.
	const lateness = 4300 * time.Millisecond
	leaver.stopBeats()
	time.Sleep(100 * time.Millisecond)
	path, body := leaver.beat("alive")
	if trouble {
		rec.line("beat %s of %s sent; it is held up on the way", body, leaver.id)
		go func() {
			time.Sleep(lateness)
			rec.line("the late beat comes: %s", deliver(f.admin(first), path, body))
		}()
		time.Sleep(time.Second) // not acknowledged within a second
	} else {
		rec.line("beat %s of %s sent: %v", body, leaver.id, leaver.call(http.MethodPut, path, body))
		time.Sleep(time.Second)
	}
	leaver.leaving.Store(true)
	if !leaver.call(http.MethodDelete, path, nil) {
		cannotRun("the sign-off is not acknowledged")
	}
	acknowledged := time.Now()
	rec.line("sign-off of %s acknowledged", leaver.id)
	time.Sleep(8 * time.Second) // it serves on: at times many seconds
	close(stop)
	wait.Wait()

	before, after := 0, 0
	for _, r := range runs.all() {
		if r.server != leaver.id {
			continue
		}
		if r.began.Before(acknowledged) {
			before++
		}
		if r.began.After(acknowledged) {
			after++
		}
		if late := r.began.Sub(acknowledged); late > drainS {
			broken++
			rec.line("DRAIN: %s reached %s %.3f s after its sign-off was acknowledged", r.id, r.server, late.Seconds())
		}
	}
	rec.line("%s ran %d requests before its sign-off and %d after it", leaver.id, before, after)
	if before == 0 {
		cannotRun("the endpoint ran nothing before it left")
	}
	return broken
}

// deliver delivers the bytes of a beat that was held up, and returns the status line.
func deliver(addr, path string, body []byte) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	var request bytes.Buffer
	fmt.Fprintf(&request, "PUT %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", path, addr, len(body), body)
	if _, err := c.Write(request.Bytes()); err != nil {
		return err.Error()
	}
	answer := make([]byte, 64)
	n, _ := c.Read(answer)
	line, _, _ := bytes.Cut(answer[:n], []byte("\r\n"))
	return string(line)
}
