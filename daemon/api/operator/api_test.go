package operator_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/control/audit/tree"
	"cottonarch.example/cottonarch/daemon/api/apitest"
	"cottonarch.example/cottonarch/daemon/api/operator"
)

// Runs requests to every path of the API in sequence. Each accepted request must get the expected
// body, and each rejected request the expected kind of failure or first fault.
func TestOperations(t *testing.T) {
	api := apitest.Start(t, operator.Paths, "/rollouts/none")
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
		code, body := api.Request(call.method, call.path, call.body)
		must.Eq(t, call.code, code, must.Sprint(call, body))
		if code == http.StatusOK {
			must.Eq(t, call.want, body, must.Sprint(call))
		} else {
			must.StrContains(t, body, call.want, must.Sprint(call))
		}
	}
}

// The audit log must eventually contain one entry for each accepted configuration, and each read
// must be consistent with the checkpoint of the read before.
func TestAuditLogFollowsConfigurations(t *testing.T) {
	api := apitest.Start(t, operator.Paths, "/rollouts/none")
	older := ""
	for revision := 1; revision <= 3; revision++ {
		code, body := api.Request("PUT", "/manifest", fmt.Sprintf(`{"services":{"s%d":{}}}`, revision))
		must.Eq(t, http.StatusOK, code, must.Sprint(body))
		log := awaitAuditLog(t, api, revision)
		must.NoError(t, tree.Verify(log, older))
		older = log.Checkpoint
	}
}

// awaitAuditLog waits until the audit log has the given number of entries and returns the log.
func awaitAuditLog(t *testing.T, api apitest.API, entries int) (log tree.Log) {
	t.Helper()
	for deadline := time.Now().Add(apitest.ReadyTimeout); ; time.Sleep(10 * time.Millisecond) {
		code, body := api.Request("GET", "/audit", "")
		must.Eq(t, http.StatusOK, code)
		must.NoError(t, json.Unmarshal([]byte(body), &log))
		if len(log.Leaves) == entries {
			return log
		}
		must.True(t, time.Now().Before(deadline), must.Sprint("entries of the audit log: ", len(log.Leaves)))
	}
}
