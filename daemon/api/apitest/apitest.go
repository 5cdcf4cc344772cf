// Package apitest serves the API of a core in tests, without separate processes or sockets.
package apitest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
	"cottonarch.example/cottonarch/wire/server"
)

// ReadyTimeout is the maximum time until a started core must execute operations.
const ReadyTimeout = time.Minute

// memoryFolder is an in-memory data folder.
type memoryFolder struct{ *ring.MemoryFolder }

// Close does nothing.
func (memoryFolder) Close() error { return nil }

// API is the API of the only core in a mesh.
type API struct{ router *mux.Router }

// Start starts a core with an in-memory data folder and waits until the core executes operations:
// until a GET request for probe, the path of an object that does not exist, returns 404. The core is
// closed at the end of the test.
func Start(t *testing.T, paths func(*core.Core) server.Paths, probe string) API {
	t.Helper()
	const addr = ident.Addr("127.0.0.1:1") // a single core opens no connections
	options := settings.Core{
		Addr: addr, Listen: addr, Zone: "z",
		Seeds: []ident.Addr{addr}, Founders: []ident.Addr{addr}, Voters: 1,
		RingFileBytes: 1 << 20, RingFiles: 4,
	}
	c, err := core.Open(options, zap.NewNop(), memoryFolder{ring.NewMemoryFolder()})
	must.NoError(t, err)
	c.Start()
	t.Cleanup(c.Close)
	api := API{mux.NewRouter()}
	for path, handlers := range paths(c) {
		for method, handler := range handlers {
			api.router.HandleFunc(path, handler).Methods(method)
		}
	}
	for deadline := time.Now().Add(ReadyTimeout); ; time.Sleep(10 * time.Millisecond) {
		code, body := api.Request(http.MethodGet, probe, "")
		if code == http.StatusNotFound {
			return api
		}
		must.True(t, time.Now().Before(deadline), must.Sprint("the core is not ready: ", body))
	}
}

// Request sends a request and returns the status and the body of the response.
func (a API) Request(method, path, body string) (int, string) {
	recorder := httptest.NewRecorder()
	a.router.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}
