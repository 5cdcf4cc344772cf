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
	// forwardEvery is one request in how many that makes a request of its own.
	forwardEvery = 3
	// Sizes of the padding in a response, in bytes; it grows with the request's body.
	minPadding    = 200
	paddingSpread = 100
)

// Headers of requests. forwardedHeader marks one that an endpoint makes itself.
const (
	requestIDHeader = "X-Request-Id"
	callerHeader    = "X-Caller"
	forwardedHeader = "X-Onward"
)

// ForwardedIDSuffix ends the id of a request that an endpoint makes while it works on another; what
// stands before it is the other's id.
const ForwardedIDSuffix = "-on"

// Echo is the body of every response; the client checks it.
type Echo struct {
	ID      string        `json:"id"`
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Path    string        `json:"path"`
	Pad     string        `json:"pad"`
}

// serve executes a request, logs the execution and responds as the behavior says.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(requestIDHeader)
	number := e.requests.Add(1)
	behavior := e.behavior.Load()
	work := behavior.drawWorkTime()
	if e.Executions != nil {
		index := e.Executions.Add(Execution{ID: id, Server: e.Server, Service: e.Service, ReceivedAt: receivedAt(r), WorkTime: work})
		defer func() { e.Executions.End(index, time.Now()) }()
	}
	if !behavior.work(r.Context(), work) {
		panic(http.ErrAbortHandler)
	}
	if e.ForwardAddr != "" && number%forwardEvery == 0 && r.Header.Get(forwardedHeader) == "" {
		e.forward(id)
	}
	draw := rand.Float64()
	echo, err := json.Marshal(Echo{
		ID:      id,
		Server:  e.Server,
		Service: e.Service,
		Path:    r.URL.Path,
		Pad:     strings.Repeat("0", minPadding+len(body)%paddingSpread),
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	respond(w, echo, behavior.corruption(draw), number)
}

// respond sends a response, corrupted as asked. number is that of the request; it chooses among the
// malformed responses. http.ErrAbortHandler makes net/http close the connection.
func respond(w http.ResponseWriter, echo []byte, how corruption, number int64) {
	switch how {
	case lost:
		panic(http.ErrAbortHandler)
	case garbage:
		writeRaw(w, "\x00\x17garbage that is not HTTP\r\n\r\n")
	case truncated:
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(echo)))
		_, _ = w.Write(echo[:len(echo)/2])
		panic(http.ErrAbortHandler)
	case malformed:
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(echo), echo)
		writeRaw(w, malformedResponses[int(number)%len(malformedResponses)](whole, string(echo)))
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(echo)
	}
}

// receivedAt is when a request reached the endpoint: for one that waited in the socket of an
// endpoint that hung, when its connection was accepted.
func receivedAt(r *http.Request) time.Time {
	if c, ok := r.Context().Value(connKey{}).(*hangConn); ok && c.delayed.Load() {
		return c.acceptedAt
	}
	return time.Now()
}

// drawWorkTime draws how long a request takes.
func (b *Behavior) drawWorkTime() time.Duration {
	if rand.Float64() < b.LongShare {
		return LongWorkTime
	}
	return b.WorkTime
}

// work takes the time of a request. It is false if the connection was closed before.
func (b *Behavior) work(ctx context.Context, duration time.Duration) bool {
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

// writeRaw writes bytes to the request's connection and closes it.
func writeRaw(w http.ResponseWriter, text string) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_, _ = c.Write([]byte(text))
		_ = c.Close()
	}
}

// forward makes a request to another service, as part of the work on the request with that id.
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
