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

// Label is the profile's label that names the path a sample was spent on.
const Label = "path"

// Count is what came and went on one path or with one address. Bytes of a path are
// bodies and heads as text, those of an address are all that TCP carried.
type Count struct {
	Messages int64 `json:"messages,omitempty"`
	Failed   int64 `json:"failed,omitempty"`
	In       int64 `json:"in"`
	Out      int64 `json:"out"`
}

// Sub is what was added since.
func (c Count) Sub(o Count) Count {
	return Count{c.Messages - o.Messages, c.Failed - o.Failed, c.In - o.In, c.Out - o.Out}
}

// Add sums.
func (c Count) Add(o Count) Count {
	return Count{c.Messages + o.Messages, c.Failed + o.Failed, c.In + o.In, c.Out + o.Out}
}

type cell struct{ messages, failed, in, out atomic.Int64 }

func (c *cell) read() Count {
	return Count{c.messages.Load(), c.failed.Load(), c.in.Load(), c.out.Load()}
}

// table is cells by name. Invariant: a name's cell never changes.
type table struct {
	mu  sync.RWMutex
	all map[string]*cell
}

func (t *table) at(name string) *cell {
	t.mu.RLock()
	c := t.all[name]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = map[string]*cell{}
	}
	if c = t.all[name]; c == nil {
		c = &cell{}
		t.all[name] = c
	}
	return c
}

func (t *table) read() map[string]Count {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[string]Count{}
	for n, c := range t.all {
		out[n] = c.read()
	}
	return out
}

// Meter is the counters of one process.
type Meter struct {
	paths, peers table
	cut          *cuts
}

// New makes one; region tells in which region an address lies, -1 for none.
func New(region func(ip string) int) *Meter { return &Meter{cut: newCuts(region)} }

// Paths reads the counts by path, Peers by the other side's address.
func (m *Meter) Paths() map[string]Count { return m.paths.read() }

// Peers reads the counts by the other side's address.
func (m *Meter) Peers() map[string]Count { return m.peers.read() }

// Sub takes an older reading off a newer one, and leaves out what did not move.
func Sub(now, old map[string]Count) map[string]Count {
	out := map[string]Count{}
	for n, c := range now {
		if d := c.Sub(old[n]); d != (Count{}) {
			out[n] = d
		}
	}
	return out
}

// Sum adds b to a.
func Sum(a, b map[string]Count) map[string]Count {
	out := maps.Clone(a)
	if out == nil {
		out = map[string]Count{}
	}
	for n, c := range b {
		out[n] = out[n].Add(c)
	}
	return out
}

// Path is the form in which paths are counted: the mesh's own whole, of others the
// first part.
func Path(p string) string {
	if strings.HasPrefix(p, "/cottonarch/") {
		return p
	}
	head, _, _ := strings.Cut(strings.TrimPrefix(p, "/"), "/")
	return "/" + head
}

type body struct {
	io.ReadCloser
	n *atomic.Int64
}

func (b body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.n.Add(int64(n))
	return n, err
}

type writer struct {
	http.ResponseWriter
	c    *cell
	code int
}

func (w *writer) WriteHeader(code int) { w.code = code; w.ResponseWriter.WriteHeader(code) }

func (w *writer) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.c.out.Add(int64(n))
	return n, err
}

// Unwrap lets http.ResponseController through.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func text(h http.Header) (n int64) {
	for k, list := range h {
		for _, v := range list {
			n += int64(len(k) + len(v) + 4)
		}
	}
	return n
}

// Wrap counts what a handler serves, and labels its work for the profile.
func (m *Meter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := Path(r.URL.Path)
		c := m.paths.at(name)
		c.messages.Add(1)
		c.in.Add(int64(len(r.Method)+len(r.RequestURI)+len(r.Host)+21) + text(r.Header))
		if r.Body != nil {
			r.Body = body{r.Body, &c.in}
		}
		out := &writer{ResponseWriter: w, c: c, code: http.StatusOK}
		pprof.Do(r.Context(), pprof.Labels(Label, name), func(context.Context) { next.ServeHTTP(out, r) })
		c.out.Add(19 + text(w.Header()))
		if out.code >= 400 {
			c.failed.Add(1)
		}
	})
}
