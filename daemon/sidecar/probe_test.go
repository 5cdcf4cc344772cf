package sidecar

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/mesh/endpoint"
	"cottonarch.example/cottonarch/settings"
	"cottonarch.example/cottonarch/wire/exchange"
)

// When a sidecar starts, an endpoint counts as healthy only if the response to a probe says so and names
// the server.
func TestHeartbeatFromProbe(t *testing.T) {
	s := New(settings.Sidecar{
		EndpointAddr:    "127.0.0.1:9",
		EndpointService: "svc",
		Headers:         settings.Headers{ServerID: "X-Who", LoadReport: "X-Room"},
	}, nil)
	for _, status := range []int{200, 204, 404, 503} {
		for _, serverID := range []string{"", "i-1"} {
			for loadHeader, slots := range map[string]int{
				"":       defaultSlots,
				"1,0,9":  9,
				"1,0":    defaultSlots,
				"1,0,x":  defaultSlots,
				"0,0,-3": defaultSlots,
			} {
				heartbeat, ok := s.heartbeatFromProbe(&exchange.Response{
					Status: status,
					Header: http.Header{"X-Who": {serverID}, "X-Room": {loadHeader}},
				})
				must.Eq(t, status == 200 && serverID != "", ok, must.Sprint(status, serverID))
				if ok {
					must.Eq(t, endpoint.Heartbeat{Server: "i-1", Service: "svc", Addr: "127.0.0.1:9", State: endpoint.Alive, Slots: slots}, heartbeat)
				}
			}
		}
	}
	_, ok := s.heartbeatFromProbe(nil)
	must.False(t, ok)
}
