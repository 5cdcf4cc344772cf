package mesh_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon/api/mesh"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
)

type memoryFolder struct{ *ring.MemoryFolder }

func (memoryFolder) Close() error { return nil }

// startCore starts a core with the given other founders, which are not running, and returns the core
// and its API.
func startCore(t *testing.T, founders ...ident.Addr) (*core.Core, http.Handler) {
	addr := ident.Addr("127.0.0.1:9")
	config := settings.Core{
		Addr:          addr,
		Listen:        addr,
		Zone:          "d",
		Founders:      append(founders, addr),
		Voters:        5,
		RingFileBytes: 1 << 20,
		RingFiles:     4,
	}
	c, err := core.Open(config, zap.NewNop(), memoryFolder{ring.NewMemoryFolder()})
	must.NoError(t, err)
	r := mux.NewRouter()
	for path, methods := range mesh.Paths(c, "mark") {
		for m, h := range methods {
			r.HandleFunc(path, h).Methods(m)
		}
	}
	c.Start()
	t.Cleanup(c.Close)
	return c, r
}

func getStatus(h http.Handler, path string) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", path, strings.NewReader("")))
	return w.Code
}

// Guards against a core without a majority that responds from incomplete state. Such a core must
// respond with 503, not 404, to a lookup of a missing record and to a request for a configuration.
// A core with a majority responds to the same lookup with 404.
func TestCoreWithoutMajorityDoesNotReportNotFound(t *testing.T) {
	_, isolated := startCore(t, "127.0.0.1:7", "127.0.0.1:8")
	_, connected := startCore(t)
	deadline := time.Now().Add(2 * time.Minute)
	for getStatus(connected, "/address/none") != http.StatusNotFound && time.Now().Before(deadline) {
		<-time.After(10 * time.Millisecond)
	}
	must.Eq(t, http.StatusNotFound, getStatus(connected, "/address/none"))
	must.Eq(t, http.StatusServiceUnavailable, getStatus(isolated, "/address/none"))
	must.Eq(t, http.StatusServiceUnavailable, getStatus(isolated, mesh.ConfigPartPath+"?at=0"))
}
