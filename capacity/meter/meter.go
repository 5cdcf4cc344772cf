// Package meter counts the messages and bytes that a process receives and sends, by HTTP path and by
// the address of the other side; reads its processor time, by activity, and its memory; and can cut
// the network between regions.
package meter

import (
	"context"
	"io"
	"net/http"
	"runtime/pprof"
	"strings"
	"sync/atomic"
)

// PathLabel is the profile label that names the path a sample was spent on.
const PathLabel = "path"

// Bytes of an HTTP head besides method, URI, host and headers: separators and the version of
// a request line, and a status line without its text.
const (
	requestLineOverhead = 21
	statusLineBytes     = 19
	headerOverhead      = 4 // of each header: colon, space and line end
)

// Meter is the counters of one process.
type Meter struct {
	paths, peers counterTable
	partition    *partition
}

// New makes a meter. regionOf tells in which region an IP lies, -1 for none.
func New(regionOf func(ip string) int) *Meter { return &Meter{partition: newPartition(regionOf)} }

// Paths reads the traffic by path.
func (m *Meter) Paths() map[string]Traffic { return m.paths.read() }

// Peers reads the traffic by the other side's IP.
func (m *Meter) Peers() map[string]Traffic { return m.peers.read() }

// CountedPath is the name under which a path is counted: the mesh's own paths whole, of
// others the first element.
func CountedPath(path string) string {
	if strings.HasPrefix(path, "/cottonarch/") {
		return path
	}
	head, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + head
}

// countedBody is a request body whose bytes are counted as they are read.
type countedBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

// countedWriter counts the bytes of a response's body and keeps its status.
type countedWriter struct {
	http.ResponseWriter
	counter *trafficCounter
	status  int
}

func (w *countedWriter) WriteHeader(code int) {
	w.status = code
	w.ResponseWriter.WriteHeader(code)
}

func (w *countedWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.counter.bytesOut.Add(int64(n))
	return n, err
}

// Unwrap gives http.ResponseController the underlying writer.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// headerSize is the length of headers as text.
func headerSize(header http.Header) (size int64) {
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerOverhead)
		}
	}
	return size
}

// WrapHandler counts what a handler serves, and labels its work for the profile.
func (m *Meter) WrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := CountedPath(r.URL.Path)
		counter := m.paths.counter(name)
		counter.messages.Add(1)
		counter.bytesIn.Add(int64(len(r.Method)+len(r.RequestURI)+len(r.Host)+requestLineOverhead) + headerSize(r.Header))
		if r.Body != nil {
			r.Body = countedBody{r.Body, &counter.bytesIn}
		}
		out := &countedWriter{ResponseWriter: w, counter: counter, status: http.StatusOK}
		pprof.Do(r.Context(), pprof.Labels(PathLabel, name), func(context.Context) { next.ServeHTTP(out, r) })
		counter.bytesOut.Add(statusLineBytes + headerSize(w.Header()))
		if out.status >= http.StatusBadRequest {
			counter.failed.Add(1)
		}
	})
}
