package sidecar

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/base/failure"
	"cottonarch.example/cottonarch/control/config/validation"
	"cottonarch.example/cottonarch/settings"
)

// readRequest enforces the limits of the configuration and the memory budget for bodies, both with
// a Content-Length and with chunked encoding. A rejected request has not been executed and holds no
// memory.
func TestReadRequestEnforcesLimits(t *testing.T) {
	s := New(settings.Sidecar{MaxBodyBytes: 1000}, nil)
	s.bodies.limits.Store(&validation.Limits{MaxHeaderBytes: 500, MaxBodyBytes: 800})
	for _, chunked := range []bool{false, true} {
		for _, c := range []struct {
			body, head, held int
			kind             failure.Kind
		}{
			{0, 0, 0, ""},
			{800, 0, 0, ""},
			{801, 0, 0, failure.Oversize},
			{0, 9000, 0, failure.Oversize},
			{500, 0, 500, ""},
			{501, 0, 500, failure.Busy},
			{0, 0, 1000, ""},
		} {
			s.bodies.inFlight.Store(int64(c.held))
			r := httptest.NewRequest("POST", "/x", strings.NewReader(strings.Repeat("b", c.body)))
			if chunked {
				r.ContentLength = -1
			}
			r.Header.Set("X-Long", strings.Repeat("h", c.head))
			body, release, fail := s.readRequest(r)
			if c.kind != "" {
				must.NotNil(t, fail, must.Sprint(chunked, c))
				must.Eq(t, c.kind, fail.Kind, must.Sprint(chunked, c))
				must.Eq(t, failure.NotExecuted, fail.Outcome)
				must.Eq(t, int64(c.held), s.bodies.inFlight.Load())
				continue
			}
			must.Nil(t, fail, must.Sprint(chunked, c))
			must.Eq(t, c.body, len(body))
			must.Eq(t, int64(c.held+c.body), s.bodies.inFlight.Load())
			release()
			must.Eq(t, int64(c.held), s.bodies.inFlight.Load())
		}
	}
}
