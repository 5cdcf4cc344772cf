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

type memFolder struct{ *ring.MemoryFolder }

func (memFolder) Close() error { return nil }

// startCore starts a core that looks for the other founders, and gives its API.
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
	c, err := core.Open(config, zap.NewNop(), memFolder{ring.NewMemoryFolder()})
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

func get(h http.Handler, path string) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest("GET", path, strings.NewReader("")))
	return w.Code
}

// A core that hears no majority says neither that a record is there nor that it is not, and not
// that there is no configuration: 503. With a majority the same record is missing: 404.
func TestNoMajorityIsNoMissing(t *testing.T) {
	_, isolated := startCore(t, "127.0.0.1:7", "127.0.0.1:8")
	_, connected := startCore(t)
	deadline := time.Now().Add(2 * time.Minute)
	for get(connected, "/address/none") != http.StatusNotFound && time.Now().Before(deadline) {
		<-time.After(10 * time.Millisecond)
	}
	must.Eq(t, http.StatusNotFound, get(connected, "/address/none"))
	must.Eq(t, http.StatusServiceUnavailable, get(isolated, "/address/none"))
	must.Eq(t, http.StatusServiceUnavailable, get(isolated, mesh.ConfigPartPath+"?at=0"))
}
