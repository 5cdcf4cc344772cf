package integration

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a core that responds from its local state after losing its majority, for example as
// the former proposer. On every path of the core's API the core must respond with 503, or with 504 if a
// change may have started, to requests that were accepted or rejected with a majority. When the
// majority returns, the core must give the original responses again.
func TestCoreWithoutMajorityRespondsUnavailable(t *testing.T) {
	c := startCores(t, 3)
	calls := []struct {
		method, path, body string
		code               int // with a majority
	}{
		{"PUT", "/manifest", `{"services":{"a":{}},"ways":{"w":{"host":"h","pathStart":"/","service":"a"}}}`, 200},
		{"PUT", "/manifest?baseEpoch=70", `{"services":{"a":{}}}`, 409},
		{"GET", "/manifest", "", 200},
		{"GET", "/audit", "", 200},
		{"POST", "/locks/l/claim", `{"holder":"me","ttlMs":600000}`, 200},
		{"POST", "/locks/l/claim", `{"holder":"other","ttlMs":600000}`, 409},
		{"POST", "/locks/l/renew", `{"holder":"me","fence":99}`, 409},
		{"POST", "/locks/l/release", `{"holder":"other","fence":1}`, 409},
		{"GET", "/locks/l", "", 200},
		{"POST", "/numbers/n/next", "", 200},
		{"GET", "/numbers/n", "", 200},
		{"PUT", "/cells/g.a", `"x"`, 200},
		{"PUT", "/cells/g.a?ifRevision=70", `"y"`, 409},
		{"GET", "/cells/g.a", "", 200},
		{"GET", "/cells/g.none", "", 404},
		{"GET", "/groups/g.?after=0&waitMs=100", "", 200},
		{"PUT", "/keys/k", `"x"`, 200},
		{"GET", "/keys/none", "", 404},
		{"GET", "/keys?prefix=", "", 200},
		{"GET", "/watch?waitMs=100", "", 200},
		{"GET", "/rollouts/none", "", 404},
		{"DELETE", "/rollouts/none", "", 404},
		{"GET", "/address/none", "", 404},
		{"POST", "/cottonarch/v1/claim", `{"node":"n"}`, 200},
		{"POST", "/cottonarch/v1/share", `{"node":"n","claim":0}`, 409},
	}
	statusOf := func(i int) int {
		call := calls[i]
		code, _ := request(call.method, c.addrs[0], "", call.path, []byte(call.body), nil)
		return code
	}
	for i, call := range calls {
		must.Eq(t, call.code, statusOf(i), must.Sprint(call))
	}
	c.powerOff(1)
	c.powerOff(2)
	c.awaitStatus(0, "majority", false)
	for i, call := range calls {
		code := statusOf(i)
		must.True(t, code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout && call.method != "GET", must.Sprint(call, code))
	}
	c.start(1)
	c.start(2)
	c.awaitStatus(0, "majority", true)
	for i, call := range calls {
		eventually(t, call.method+" "+call.path, func() bool { return statusOf(i) == call.code })
	}
}
