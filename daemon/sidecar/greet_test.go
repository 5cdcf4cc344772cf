package sidecar

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"cottonarch.example/cottonarch/boot"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/wire/exchange"
)

// Only an endpoint that says it is well, and who it is, is taken for well when a sidecar
// starts; a beat that came meanwhile goes before.
func TestWhatAGreetingTells(t *testing.T) {
	s := New(boot.Sidecar{App: "127.0.0.1:9", Own: "svc", Headers: boot.Headers{Server: "X-Who", LoadReport: "X-Room"}}, nil)
	for _, status := range []int{200, 204, 404, 503} {
		for _, who := range []string{"", "i-1"} {
			for room, slots := range map[string]int{"": greetSlots, "1,0,9": 9, "1,0": greetSlots, "1,0,x": greetSlots, "0,0,-3": greetSlots} {
				b, ok := s.greeted(&exchange.Return{Status: status, Header: http.Header{"X-Who": {who}, "X-Room": {room}}})
				must.Eq(t, status == 200 && who != "", ok, must.Sprint(status, who))
				if ok {
					must.Eq(t, gate.Beat{Server: "i-1", Service: "svc", Addr: "127.0.0.1:9", State: gate.Alive, Slots: slots}, b)
				}
			}
		}
	}
	_, ok := s.greeted(nil)
	must.False(t, ok)
}
