package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that an endpoint began.
type run struct {
	id, server string
	began      time.Time
	ended      time.Time // zero while it works, or when its connection closed
}

// runLog holds the runs of all endpoints.
type runLog struct {
	mu   sync.Mutex
	runs []*run
}

func (l *runLog) begin(id, server string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{id: id, server: server, began: time.Now()}
	l.runs = append(l.runs, r)
	return r
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]run, len(l.runs))
	for i, r := range l.runs {
		out[i] = *r
	}
	return out
}

// endpoint is a stand-in of an application's endpoint: it beats to the admin address of its
// machine and runs what comes to its own address.
type endpoint struct {
	fleet   *fleet
	machine *machine
	id      string
	work    time.Duration
	runs    *runLog
	server  *http.Server
	calls   atomic.Int64
	leaving atomic.Bool
	stopped chan struct{}
	slots   chan struct{}
}

func (f *fleet) startEndpoint(m *machine, id string, work time.Duration, runs *runLog) *endpoint {
	e := &endpoint{
		fleet: f, machine: m, id: id, work: work, runs: runs,
		stopped: make(chan struct{}), slots: make(chan struct{}, 64),
	}
	l, err := net.Listen("tcp", f.app(m))
	if err != nil {
		cannotRun("endpoint: %v", err)
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	go e.beatOn()
	return e
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Server-Id", e.id)
		if e.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if target := r.Header.Get("X-Target-Server"); target != "" && target != e.id {
		w.Header().Set("X-Server-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Try-Id")
	if id == "" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
	default:
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	current := e.runs.begin(id, e.id)
	e.fleet.rec.line("run %s began at %s", id, e.id)
	left := time.Duration(1<<62 - 1)
	if ms, err := strconv.Atoi(r.Header.Get("X-Time-Left-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	timer := time.NewTimer(min(e.work, left))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		e.fleet.rec.line("run %s at %s: its connection closed", id, e.id)
		return
	}
	e.runs.mu.Lock()
	current.ended = time.Now()
	e.runs.mu.Unlock()
	w.Header().Set("X-Try-Id", id)
	w.Header().Set("X-Server-Seal", "seal."+e.id)
	if left < e.work {
		w.WriteHeader(http.StatusGatewayTimeout)
	}
	_, _ = fmt.Fprintf(w, "%s ran %s with %d bytes", e.id, id, len(body))
}

// beat makes the next beat; its count rises with every call.
func (e *endpoint) beat(phase string) (path string, body []byte) {
	body, _ = json.Marshal(map[string]any{
		"service": e.machine.service, "address": e.fleet.app(e.machine), "zone": e.machine.zone, "release": "v1",
		"slots": 6, "state": phase, "coldMs": 0, "seq": e.calls.Add(1),
	})
	return "/servers/" + e.id, body
}

// call sends a beat, or a sign-off without a body, and reports whether it was acknowledged within a
// second.
func (e *endpoint) call(method, path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+e.fleet.admin(e.machine)+path, bytes.NewReader(body))
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	resp, err := e.fleet.client.Do(request)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < 300
}

// beatOn beats about every 1.5 s, and at once while no beat is acknowledged, until the endpoint
// leaves.
func (e *endpoint) beatOn() {
	for {
		path, body := e.beat("alive")
		pause := 1500 * time.Millisecond
		if !e.call(http.MethodPut, path, body) {
			pause = 200 * time.Millisecond
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(pause):
		}
	}
}

// stopBeats ends the beats; the endpoint still serves.
func (e *endpoint) stopBeats() { close(e.stopped) }
