package operator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/ident"
	"cottonarch.example/cottonarch/control/audit/tree"
	"cottonarch.example/cottonarch/daemon/api/operator"
	"cottonarch.example/cottonarch/daemon/core"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/storage/ring"
)

// memoryFolder is a folder in memory.
type memoryFolder struct{ *ring.MemoryFolder }

// Close does nothing.
func (memoryFolder) Close() error { return nil }

// readyTimeout bounds how long a core may take until it serves operations.
const readyTimeout = time.Minute

// startCore starts the only core of a mesh, on a disk in memory, and returns its API.
func startCore(t *testing.T) http.Handler {
	const addr = ident.Addr("127.0.0.1:1") // a single core sends nothing
	options := settings.Core{Addr: addr, Listen: addr, Zone: "z", Seeds: []ident.Addr{addr}, Founders: []ident.Addr{addr}, Voters: 1, RingFileBytes: 1 << 20, RingFiles: 4}
	c, err := core.Open(options, zap.NewNop(), memoryFolder{ring.NewMemoryFolder()})
	must.NoError(t, err)
	c.Start()
	t.Cleanup(c.Close)
	router := mux.NewRouter()
	for path, handlers := range operator.Paths(c) {
		for method, handler := range handlers {
			router.HandleFunc(path, handler).Methods(method)
		}
	}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(10 * time.Millisecond) {
		if code, body := request(router, "GET", "/rollouts/none", ""); code == http.StatusNotFound {
			return router
		} else if time.Now().After(deadline) {
			t.Fatal("the core is not ready: ", body)
		}
	}
}

// request returns the status and the body of a response.
func request(api http.Handler, method, path, body string) (int, string) {
	recorder := httptest.NewRecorder()
	api.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, recorder.Body.String()
}

// The operations of the API, one after the other: the whole body of an accepted one, the kind
// of failure or the first fault of a rejected one.
func TestOperations(t *testing.T) {
	api := startCore(t)
	for _, call := range []struct {
		method, path, body string
		code               int
		want               string
	}{
		{"GET", "/manifest", ``, 404, `"defect":"missing"`},
		{"GET", "/audit", ``, 200, `{"checkpoint":"cottonarch.example/audit\n0\n47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=\n","leaves":[]}`},
		{"PATCH", "/manifest", `{"ways":{"w":{"service":"b"}}}`, 422, `"faults":[{"path":"ways.w.host"`},
		{"PUT", "/manifest", `{"services":{"a":{},"b":{}},"ways":{"w":{"host":"h","pathStart":"/","service":"a"}}}`, 200, `{"epoch":1}`},
		{"PUT", "/manifest", `{`, 400, `"defect":"malformed"`},
		{"PUT", "/manifest", `{"services":{"a":{"x":1}}}`, 422, `"faults":[{"path":"services.a.x"`},
		{"PUT", "/manifest?baseEpoch=x", `{}`, 400, `"defect":"malformed"`},
		{"PUT", "/manifest?baseEpoch=0", `{"services":{"c":{}}}`, 409, `"defect":"conflict"`},
		{"PUT", "/manifest?baseEpoch=70", `{"services":{"c":{}}}`, 409, `"defect":"conflict"`},
		{"GET", "/manifest", ``, 200, `{"epoch":1,"manifest":{"services":{"a":{},"b":{}},"ways":{"w":{"host":"h","pathStart":"/","service":"a"}}}}`},
		{"PATCH", "/manifest?baseEpoch=1", `{"services":{"c":{}}}`, 200, `{"epoch":2}`},
		{"PATCH", "/manifest?baseEpoch=1", `{"services":{"c":{}}}`, 200, `{"epoch":2}`},
		{"PATCH", "/manifest", `{"services":{"a":null}}`, 422, `"faults":[{"path":"ways.w.service"`},
		{"GET", "/manifest", ``, 200, `{"epoch":2,"manifest":{"services":{"a":{},"b":{},"c":{}},"ways":{"w":{"host":"h","pathStart":"/","service":"a"}}}}`},
		{"GET", "/rollouts/w", ``, 404, `"defect":"missing"`},
		{"DELETE", "/rollouts/w", ``, 404, `"defect":"missing"`},
		{"POST", "/rollouts/none", `{"to":"b"}`, 404, `"defect":"missing"`},
		{"POST", "/rollouts/w", `{"to":"none"}`, 404, `"defect":"missing"`},
		{"POST", "/rollouts/w", `{"to":"a"}`, 422, `"defect":"invalid"`},
		{"POST", "/rollouts/w", `{"to":"b","steps":[10,5]}`, 422, `"defect":"invalid"`},
		{"POST", "/rollouts/w", `{`, 400, `"defect":"malformed"`},
		{"POST", "/rollouts/w", `{"to":"b","stepS":600}`, 200, `{"way":"w","from":"a","to":"b","steps":[5,25,50,100],"stepS":600,"mostDefects":0.05,"at":0,"phase":"running","round":1}`},
		{"POST", "/rollouts/w", `{"to":"b"}`, 409, `"defect":"conflict"`},
		{"GET", "/rollouts/w", ``, 200, `{"way":"w","from":"a","to":"b","steps":[5,25,50,100],"stepS":600,"mostDefects":0.05,"at":0,"phase":"running","round":1}`},
		{"DELETE", "/rollouts/w", ``, 200, `{"way":"w","from":"a","to":"b","steps":[5,25,50,100],"stepS":600,"mostDefects":0.05,"at":0,"phase":"backing","why":"an operator took it back","round":1}`},
		{"DELETE", "/rollouts/w", ``, 422, `"defect":"invalid"`},
	} {
		code, body := request(api, call.method, call.path, call.body)
		must.Eq(t, call.code, code, must.Sprint(call, body))
		if code == http.StatusOK {
			must.Eq(t, call.want, body, must.Sprint(call))
		} else {
			must.StrContains(t, body, call.want, must.Sprint(call))
		}
	}
}

// The audit log comes to hold an entry for each accepted configuration, and continues what it
// was before.
func TestAuditLogFollowsConfigurations(t *testing.T) {
	api := startCore(t)
	older := ""
	for revision := 1; revision <= 3; revision++ {
		code, body := request(api, "PUT", "/manifest", fmt.Sprintf(`{"services":{"s%d":{}}}`, revision))
		must.Eq(t, http.StatusOK, code, must.Sprint(body))
		log := awaitAuditLog(t, api, revision)
		must.NoError(t, tree.Verify(log, older))
		older = log.Checkpoint
	}
}

// awaitAuditLog returns the audit log once it has a number of entries.
func awaitAuditLog(t *testing.T, api http.Handler, entries int) (log tree.Log) {
	t.Helper()
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(10 * time.Millisecond) {
		code, body := request(api, "GET", "/audit", "")
		must.Eq(t, http.StatusOK, code)
		must.NoError(t, json.Unmarshal([]byte(body), &log))
		if len(log.Leaves) == entries {
			return log
		}
		must.True(t, time.Now().Before(deadline), must.Sprint("entries of the audit log: ", len(log.Leaves)))
	}
}
