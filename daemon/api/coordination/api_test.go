package coordination_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/daemon/api/apitest"
	"cottonarch.example/cottonarch/daemon/api/coordination"
)

// apiCall is a request with the expected response.
type apiCall struct {
	method, path, body string
	code               int
	want               string // the body without the cursor; for a failure, a substring of the body
}

// operationCalls covers every path of the API. The calls depend on each other and run in sequence.
// CURSOR stands for the cursor in the response to the latest watch.
var operationCalls = []apiCall{
	{"POST", "/locks/l/claim", `{"holder":"a","ttlMs":600000}`, 200, `{"fence":1,"held":true,"holder":"a","revision":1,"ttlMs":600000}`},
	{"POST", "/locks/l/claim", `{"holder":"b","ttlMs":600000}`, 409, `"defect":"held"`},
	{"POST", "/locks/l/claim", `{`, 400, `"defect":"malformed"`},
	{"POST", "/locks/cottonarch.x/claim", `{"holder":"a","ttlMs":600000}`, 422, `"defect":"invalid"`},
	{"POST", "/locks/l/renew", `{"holder":"a","fence":1}`, 200, `{"fence":1,"held":true,"holder":"a","revision":1,"ttlMs":600000}`},
	{"POST", "/locks/l/pass", `{"holder":"a","fence":1,"to":"b"}`, 200, `{"fence":2,"held":true,"holder":"b","revision":2,"ttlMs":600000}`},
	{"GET", "/locks/l", ``, 200, `{"fence":2,"grant":2,"held":true,"holder":"b","revision":2,"ttlMs":600000}`},
	{"POST", "/locks/l/release", `{"holder":"b","fence":2}`, 200, `{"fence":2,"held":false,"holder":"","revision":3,"ttlMs":600000}`},
	{"POST", "/numbers/n/next", ``, 200, `{"number":1,"revision":1}`},
	{"POST", "/numbers/n/next", `{"by":5}`, 200, `{"number":6,"revision":2}`},
	{"GET", "/numbers/n", ``, 200, `{"number":6,"revision":2}`},
	{"GET", "/keys", ``, 200, `{"keys":[]}`},
	{"GET", "/watch?waitMs=50", ``, 200, `{"events":[]`},
	{"GET", "/watch?waitMs=x", ``, 400, `"defect":"malformed"`},
	{"GET", "/watch?place=*", ``, 400, `"defect":"malformed"`},
	{"PUT", "/keys/a/1", `{"x": 1}`, 200, `{"revision":1,"value":{"x":1}}`},
	{"PUT", "/keys/a/1?ifRevision=7", `2`, 409, `"defect":"conflict"`},
	{"PUT", "/keys/a/1?ifRevision=x", `2`, 400, `"defect":"malformed"`},
	{"PUT", "/keys/a/1", ``, 400, `"defect":"malformed"`},
	{"PUT", "/keys/a/1", `2`, 200, `{"revision":2,"value":2}`},
	{"PUT", "/keys/b", `3`, 200, `{"revision":1,"value":3}`},
	{"GET", "/keys/a/1", ``, 200, `{"revision":2,"value":2}`},
	{"DELETE", "/keys/b?ifRevision=9", ``, 409, `"defect":"conflict"`},
	{"GET", "/keys?prefix=", ``, 200, `{"keys":[{"key":"a/1","revision":2,"value":2},{"key":"b","revision":1,"value":3}]}`},
	{"GET", "/keys?prefix=a/", ``, 200, `{"keys":[{"key":"a/1","revision":2,"value":2}]}`},
	{"GET", "/watch?prefix=a/&waitMs=50", ``, 200, `{"events":[{"key":"a/1","revision":2,"value":2}]`},
	{"GET", "/watch?prefix=&waitMs=50", ``, 200, `{"events":[{"key":"a/1","revision":2,"value":2},{"key":"b","revision":1,"value":3}]`},
	{"PUT", "/keys/a/1", `4`, 200, `{"revision":3,"value":4}`},
	{"PUT", "/keys/a/2", `5`, 200, `{"revision":1,"value":5}`},
	{"DELETE", "/keys/b", ``, 200, `{"deleted":true,"revision":2}`},
	{"GET", "/keys/b", ``, 404, `"defect":"missing"`},
	{"GET", "/keys?prefix=", ``, 200, `{"keys":[{"key":"a/1","revision":3,"value":4},{"key":"a/2","revision":1,"value":5}]}`},
	{"GET", "/watch?prefix=&waitMs=50&place=CURSOR", ``, 200, `{"events":[{"key":"a/1","revision":3,"value":4},{"key":"a/2","revision":1,"value":5},{"key":"b","revision":2,"deleted":true}]`},
	{"GET", "/watch?prefix=&waitMs=50&place=CURSOR", ``, 200, `{"events":[]`},
	{"PUT", "/cells/g.a", `"x"`, 200, `{"name":"g.a","value":"x","revision":1}`},
	{"PUT", "/cells/g.a", `x`, 400, `"defect":"malformed"`},
	{"PUT", "/cells/g.a?ifRevision=70", `"y"`, 409, `"defect":"conflict"`},
	{"PUT", "/cells/g.a?ifRevision=y", `"y"`, 400, `"defect":"malformed"`},
	{"PUT", "/cells/g.b", `{"y": 2}`, 200, `{"name":"g.b","value":{"y":2},"revision":2}`},
	{"GET", "/cells/g.a", ``, 200, `{"name":"g.a","value":"x","revision":1}`},
	{"GET", "/cells/g.none", ``, 404, `"defect":"missing"`},
	{"GET", "/cells/cottonarch.x", ``, 422, `"defect":"invalid"`},
	{"GET", "/groups/g.?waitMs=50", ``, 200, `{"events":[],"revision":2}`},
	{"GET", "/groups/g.?after=1&waitMs=50", ``, 200, `{"events":[{"name":"g.b","value":{"y":2},"revision":2}],"revision":2}`},
	{"GET", "/groups/g.?after=2&waitMs=50", ``, 200, `{"events":[],"revision":2}`},
	{"GET", "/groups/g.?after=x&waitMs=50", ``, 400, `"defect":"malformed"`},
	{"GET", "/groups/g.?after=2&waitMs=x", ``, 400, `"defect":"malformed"`},
}

// Runs operationCalls in sequence. Each accepted operation must get the expected body, and each
// rejected operation the expected kind of failure.
func TestOperations(t *testing.T) {
	api := apitest.Start(t, coordination.Paths, "/keys/none")
	cursor := ""
	for _, call := range operationCalls {
		path := strings.ReplaceAll(call.path, "CURSOR", cursor)
		code, body := api.Request(call.method, path, call.body)
		must.Eq(t, call.code, code, must.Sprint(call, body))
		if code != http.StatusOK {
			must.StrContains(t, body, call.want, must.Sprint(call))
			continue
		}
		var watched struct {
			Cursor string `json:"place"`
		}
		must.NoError(t, json.Unmarshal([]byte(body), &watched))
		if watched.Cursor == "" {
			must.Eq(t, call.want, body, must.Sprint(call))
			continue
		}
		cursor = watched.Cursor
		must.Eq(t, call.want+`,"place":"`+cursor+`"}`, body, must.Sprint(call))
	}
}

// Guards against a missed signal, after which a watch would wait for its full time. A watch of keys
// and a watch of a keyspace must respond as soon as a watched key changes.
func TestWatchReturnsOnAChange(t *testing.T) {
	api := apitest.Start(t, coordination.Paths, "/keys/none")
	code, _ := api.Request("PUT", "/keys/a", "1")
	must.Eq(t, http.StatusOK, code)
	_, first := api.Request("GET", "/watch?prefix=a", "")
	var seen struct {
		Cursor string `json:"place"`
	}
	must.NoError(t, json.Unmarshal([]byte(first), &seen))
	bodies := make(chan string, 2)
	for _, path := range []string{"/watch?prefix=a&waitMs=60000&place=" + seen.Cursor, "/groups/g.?after=1&waitMs=60000"} {
		go func() {
			_, body := api.Request("GET", path, "")
			bodies <- body
		}()
	}
	for _, path := range []string{"/keys/a", "/cells/g.a", "/cells/g.b"} {
		code, body := api.Request("PUT", path, "2")
		must.Eq(t, http.StatusOK, code, must.Sprint(path, body))
	}
	got := []string{<-bodies, <-bodies}
	slices.Sort(got)
	must.StrContains(t, got[0], `{"events":[{"key":"a","revision":2,"value":2}],"place":`)
	must.Eq(t, `{"events":[{"name":"g.b","value":2,"revision":2}],"revision":2}`, got[1])
}
