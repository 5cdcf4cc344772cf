package endpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

const (
	// forwardEvery is the number of requests of which one makes the endpoint send a request of its own.
	forwardEvery = 3
	// A response has at least minPadding and fewer than minPadding + paddingSpread bytes of padding,
	// depending on the size of the request body.
	minPadding    = 200
	paddingSpread = 100
)

// Headers of requests. forwardedHeader marks requests that endpoints send.
const (
	requestIDHeader = "X-Request-Id"
	callerHeader    = "X-Caller"
	forwardedHeader = "X-Onward"
)

// ForwardedIDSuffix is the suffix of the id of a request that an endpoint sends while it executes
// another request. The part before the suffix is the id of the other request.
const ForwardedIDSuffix = "-on"

// Echo is the body of every response. The client compares Echo with the request.
type Echo struct {
	ID      string        `json:"id"`
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Path    string        `json:"path"`
	Padding string        `json:"pad"`
}

// serve executes a request, logs the execution and responds according to the behavior.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(requestIDHeader)
	requestNumber := e.requestCount.Add(1)
	behavior := e.behavior.Load()
	work := behavior.drawWorkTime()
	if e.Executions != nil {
		index := e.Executions.Add(Execution{ID: id, Server: e.Server, Service: e.Service, ReceivedAt: receivedAt(r), WorkTime: work})
		defer func() { e.Executions.End(index, time.Now()) }()
	}
	if !behavior.waitWorkTime(r.Context(), work) {
		panic(http.ErrAbortHandler)
	}
	if e.ForwardAddr != "" && requestNumber%forwardEvery == 0 && r.Header.Get(forwardedHeader) == "" {
		e.forward(id)
	}
	draw := rand.Float64()
	echo, err := json.Marshal(Echo{
		ID:      id,
		Server:  e.Server,
		Service: e.Service,
		Path:    r.URL.Path,
		Padding: strings.Repeat("0", minPadding+len(body)%paddingSpread),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeResponse(w, echo, behavior.chooseFault(draw), requestNumber)
}

// writeResponse writes a response with the given fault. requestNumber selects one of the malformed
// variants. A panic with http.ErrAbortHandler makes net/http close the connection.
func writeResponse(w http.ResponseWriter, echo []byte, fault responseFault, requestNumber int64) {
	switch fault {
	case lostResponse:
		panic(http.ErrAbortHandler)
	case garbageResponse:
		writeRaw(w, "\x00\x17garbage that is not HTTP\r\n\r\n")
	case truncatedResponse:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(echo)))
		_, _ = w.Write(echo[:len(echo)/2])
		panic(http.ErrAbortHandler)
	case malformedResponse:
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(echo), echo)
		writeRaw(w, malformedVariants[int(requestNumber)%len(malformedVariants)](whole, string(echo)))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(echo)
	}
}

// receivedAt returns the time at which a request reached the endpoint. For a request that waited in
// the socket of a hung endpoint, that time is when the connection was accepted.
func receivedAt(r *http.Request) time.Time {
	if c, ok := r.Context().Value(connContextKey{}).(*hangingConn); ok && c.delayedByHang.Load() {
		return c.acceptedAt
	}
	return time.Now()
}

// drawWorkTime draws the work time of a request at random.
func (b *Behavior) drawWorkTime() time.Duration {
	if rand.Float64() < b.LongShare {
		return LongWorkTime
	}
	return b.WorkTime
}

// waitWorkTime waits for the work time of a request, and then until Release is closed if Release is
// set. The result is false if the connection was closed before the end.
func (b *Behavior) waitWorkTime(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	if b.Release == nil {
		return true
	}
	select {
	case <-b.Release:
		return true
	case <-ctx.Done():
		return false
	}
}

// writeRaw writes bytes to the request's connection and closes the connection.
func writeRaw(w http.ResponseWriter, data string) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_, _ = c.Write([]byte(data))
		_ = c.Close()
	}
}

// forward sends a request to another service, as part of executing the request with the given id.
func (e *Endpoint) forward(id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+string(e.ForwardAddr)+e.ForwardPath, nil)
	if err != nil {
		return
	}
	request.Host = e.ForwardHost
	request.Header.Set(requestIDHeader, id+ForwardedIDSuffix)
	request.Header.Set(forwardedHeader, "1")
	request.Header.Set(callerHeader, string(e.Service))
	if response, err := e.client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
