// Package meter measures the current process: messages and bytes received and sent, by HTTP path and by
// peer address; CPU time, by activity; and memory. The package can also partition the network between
// regions.
package meter

import (
	"context"
	"io"
	"net/http"
	"runtime/pprof"
	"strings"
	"sync/atomic"
)

// PathLabel is the profile label for the HTTP path of the request that a sample belongs to.
const PathLabel = "path"

// Sizes of the parts of an HTTP head other than the method, the URI, the host and the headers: the
// separators and the version of a request line, and a status line without the reason phrase.
const (
	requestLineOverhead = 21
	statusLineBytes     = 19
	headerOverhead      = 4 // per header: colon, space and line end
)

// Meter holds the traffic counters of one process.
type Meter struct {
	paths, peers counterTable
	partition    *partition
}

// New creates a meter. regionOf returns the region of an IP address, or -1 for an IP address without a
// region.
func New(regionOf func(ip string) int) *Meter { return &Meter{partition: newPartition(regionOf)} }

// Paths returns the current traffic by normalized path.
func (m *Meter) Paths() map[string]Traffic { return m.paths.read() }

// Peers returns the current traffic by the peer's IP address.
func (m *Meter) Peers() map[string]Traffic { return m.peers.read() }

// NormalizePath returns the name under which the traffic of a path is counted: the whole path for the
// mesh's own paths, the first path element for all others.
func NormalizePath(path string) string {
	if strings.HasPrefix(path, "/cottonarch/") {
		return path
	}
	head, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return "/" + head
}

// countingBody is a request body that counts the bytes read.
type countingBody struct {
	io.ReadCloser
	bytes *atomic.Int64
}

func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes.Add(int64(n))
	return n, err
}

// countingWriter counts the bytes of a response's body and records the status code.
type countingWriter struct {
	http.ResponseWriter
	counter *trafficCounter
	status  int
}

func (w *countingWriter) WriteHeader(code int) {
	w.status = code
	w.ResponseWriter.WriteHeader(code)
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.counter.bytesOut.Add(int64(n))
	return n, err
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// headerSize returns the size of headers in HTTP/1.1 text form.
func headerSize(header http.Header) (size int64) {
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name) + len(value) + headerOverhead)
		}
	}
	return size
}

// WrapHandler counts the requests, failures and bytes of a handler by path, and labels the handler's work
// for the CPU profile.
func (m *Meter) WrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name := NormalizePath(r.URL.Path)
		counter := m.paths.counter(name)
		counter.messages.Add(1)
		counter.bytesIn.Add(int64(len(r.Method)+len(r.RequestURI)+len(r.Host)+requestLineOverhead) + headerSize(r.Header))
		if r.Body != nil {
			r.Body = countingBody{r.Body, &counter.bytesIn}
		}
		out := &countingWriter{ResponseWriter: w, counter: counter, status: http.StatusOK}
		pprof.Do(r.Context(), pprof.Labels(PathLabel, name), func(context.Context) { next.ServeHTTP(out, r) })
		counter.bytesOut.Add(statusLineBytes + headerSize(w.Header()))
		if out.status >= http.StatusBadRequest {
			counter.failed.Add(1)
		}
	})
}
