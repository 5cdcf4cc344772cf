package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// try is one request of a client. Sent is when its last byte was sent, as far as the client can
// tell; status is 0 when the connection ended without a complete answer.
type try struct {
	id       string
	from     *machine
	sent     time.Time
	ended    time.Time
	status   int
	refused  bool // no connection came up: nothing was sent
	note     string
	body     string
	seal     string
	deadline time.Duration
}

type tryLog struct {
	mu   sync.Mutex
	list []try
}

func (l *tryLog) add(t try) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, t)
}

func (l *tryLog) all() []try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]try(nil), l.list...)
}

var tryCount atomic.Int64

// send sends one request over a new connection to the address for clients of a machine.
func (f *fleet) send(m *machine, method, host, path string, body []byte, deadline time.Duration) try {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return f.sendOver(transport, m, method, host, path, bytes.NewReader(body), deadline)
}

// sendOver sends one request over the connections of a transport. A body that is no *bytes.Reader
// goes in chunks.
func (f *fleet) sendOver(
	transport *http.Transport, m *machine, method, host, path string, body io.Reader, deadline time.Duration,
) try {
	t := try{id: fmt.Sprintf("%s-%06d", m.name, tryCount.Add(1)), from: m, deadline: deadline}
	client := &http.Client{
		Transport:     transport,
		Timeout:       deadline,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	request, _ := http.NewRequest(method, "http://"+f.outgoing(m)+path, body)
	request.Host = host
	request.GetBody = nil
	request.Header.Set("X-Try-Id", t.id)
	request.Header.Set("X-Time-Left-Ms", fmt.Sprint(deadline.Milliseconds()))
	t.sent = time.Now()
	resp, err := client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		t.body, t.seal = string(data), resp.Header.Get("X-Server-Seal")
		if err == nil {
			t.status = resp.StatusCode
		}
	}
	t.ended = time.Now()
	if err != nil {
		t.note = err.Error()
		t.refused = bytes.Contains([]byte(t.note), []byte("connection refused"))
	}
	f.rec.line("try %s sent at %.3f: %d %s", t.id, f.rec.at(t.sent), t.status, t.note)
	return t
}

// load sends requests at a rate until stop is closed, and waits for their answers.
func (f *fleet) load(m *machine, method, host, path string, perSecond float64, deadline time.Duration, log *tryLog, stop <-chan struct{}) *sync.WaitGroup {
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			wait.Add(1)
			go func() {
				defer wait.Done()
				log.add(f.send(m, method, host, path, nil, deadline))
			}()
		}
	}()
	return &wait
}
