// Package meter counts what a process is sent and sends back, by path and by the
// address of the other side, and can cut two regions apart.
package meter

import (
	"context"
	"io"
	"maps"
	"net/http"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
)

// PathLabel is the profile's label that names the path a sample was spent on.
const PathLabel = "path"

// Traffic is what came and went on one path or with one address. Bytes of a path are
// bodies and heads as text, those of an address are all that TCP carried.
type Traffic struct {
	Messages int64 `json:"messages,omitempty"`
	Failed   int64 `json:"failed,omitempty"`
	BytesIn  int64 `json:"in"`
	BytesOut int64 `json:"out"`
}

// Sub is what was added since.
func (t Traffic) Sub(older Traffic) Traffic {
	return Traffic{t.Messages - older.Messages, t.Failed - older.Failed, t.BytesIn - older.BytesIn, t.BytesOut - older.BytesOut}
}

// Add sums.
func (t Traffic) Add(other Traffic) Traffic {
	return Traffic{t.Messages + other.Messages, t.Failed + other.Failed, t.BytesIn + other.BytesIn, t.BytesOut + other.BytesOut}
}

type trafficCounter struct{ messages, failed, bytesIn, bytesOut atomic.Int64 }

func (c *trafficCounter) read() Traffic {
	return Traffic{c.messages.Load(), c.failed.Load(), c.bytesIn.Load(), c.bytesOut.Load()}
}

// counterTable is cells by name. Invariant: a name's cell never changes.
type counterTable struct {
	mu     sync.RWMutex
	byName map[string]*trafficCounter
}

func (t *counterTable) counter(name string) *trafficCounter {
	t.mu.RLock()
	c := t.byName[name]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byName == nil {
		t.byName = map[string]*trafficCounter{}
	}
	if c = t.byName[name]; c == nil {
		c = &trafficCounter{}
		t.byName[name] = c
	}
	return c
}

func (t *counterTable) read() map[string]Traffic {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[string]Traffic{}
	for n, c := range t.byName {
		out[n] = c.read()
	}
	return out
}

// Meter is the counters of one process.
type Meter struct {
	paths, peers counterTable
	partition    *partition
}

// New makes one; region tells in which region an address lies, -1 for none.
func New(regionOf func(ip string) int) *Meter { return &Meter{partition: newPartition(regionOf)} }

// Paths reads the counts by path, Peers by the other side's address.
func (m *Meter) Paths() map[string]Traffic { return m.paths.read() }

// Peers reads the counts by the other side's address.
func (m *Meter) Peers() map[string]Traffic { return m.peers.read() }

// Subtract takes an older reading off a newer one, and leaves out what did not move.
func Subtract(newer, older map[string]Traffic) map[string]Traffic {
	out := map[string]Traffic{}
	for n, c := range newer {
		if difference := c.Sub(older[n]); difference != (Traffic{}) {
			out[n] = difference
		}
	}
	return out
}

// Sum adds b to a.
func Sum(a, b map[string]Traffic) map[string]Traffic {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]Traffic{}
	}
	for n, c := range b {
		out[n] = out[n].Add(c)
	}
	return out
}

// CountedPath is the form in which paths are counted: the mesh's own whole, of others the
// first part.
func CountedPath(path string) string {
	if strings.HasPrefix(path, "/cottonarch/") {
		return path
	}
	head, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + head
}

type countedBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

type countedWriter struct {
	http.ResponseWriter
	counter *trafficCounter
	status  int
}

func (w *countedWriter) WriteHeader(code int) { w.status = code; w.ResponseWriter.WriteHeader(code) }

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.counter.bytesOut.Add(int64(n))
	return n, err
}

// Unwrap lets http.ResponseController through.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func headerSize(h http.Header) (n int64) {
	for k, list := range h {
		for _, v := range list {
			n += int64(len(k) + len(v) + 4)
		}
	}
	return n
}

// WrapHandler counts what a handler serves, and labels its work for the profile.
func (m *Meter) WrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := CountedPath(r.URL.Path)
		c := m.paths.counter(name)
		c.messages.Add(1)
		c.bytesIn.Add(int64(len(r.Method)+len(r.RequestURI)+len(r.Host)+21) + headerSize(r.Header))
		if r.Body != nil {
			r.Body = countedBody{r.Body, &c.bytesIn}
		}
		out := &countedWriter{ResponseWriter: w, counter: c, status: http.StatusOK}
		pprof.Do(r.Context(), pprof.Labels(PathLabel, name), func(context.Context) { next.ServeHTTP(out, r) })
		c.bytesOut.Add(19 + headerSize(w.Header()))
		if out.status >= 400 {
			c.failed.Add(1)
		}
	})
}
