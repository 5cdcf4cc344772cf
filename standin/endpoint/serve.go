package endpoint

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"cottonarch.example/cottonarch/base/ident"
)

// forwardEvery is that each so many-th request makes a request of its own.
const forwardEvery = 3

// Echo is the body of every response; the client checks it.
type Echo struct {
	ID      string        `json:"id"`
	Server  ident.Server  `json:"serverId"`
	Service ident.Service `json:"service"`
	Path    string        `json:"path"`
	Pad     string        `json:"pad"`
}

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	if e.Executions != nil {
		e.Executions.Add(Execution{ID: id, Server: e.Server, Service: e.Service, ReceivedAt: receivedAt(r)})
	}
	number := e.requests.Add(1)
	behavior := e.behavior.Load()
	behavior.work()
	if e.ForwardAddr != "" && number%forwardEvery == 0 && r.Header.Get("X-Onward") == "" {
		e.forward(id)
	}
	draw := rand.Float64()
	echo, _ := json.Marshal(Echo{ID: id, Server: e.Server, Service: e.Service, Path: r.URL.Path, Pad: fmt.Sprintf("%0*d", 200+len(body)%100, 0)})
	switch behavior.corruption(draw) {
	case lost:
		panic(http.ErrAbortHandler)
	case garbage:
		writeRaw(w, "\x00\x17garbage that is no return\r\n\r\n")
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

// work takes the time of a request.
func (b *Behavior) work() {
	work := b.WorkTime
	if rand.Float64() < b.LongShare {
		work = LongWorkTime
	}
	time.Sleep(work)
	if b.Release != nil {
		<-b.Release
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
	request.Header.Set("X-Request-Id", id+"-on")
	request.Header.Set("X-Onward", "1")
	request.Header.Set("X-Caller", string(e.Service))
	if response, err := e.client.Do(request); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
