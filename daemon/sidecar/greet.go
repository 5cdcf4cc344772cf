package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cottonarch.example/cottonarch/kernel/ident"
	"cottonarch.example/cottonarch/mesh/gate"
	"cottonarch.example/cottonarch/wire/exchange"
)

const (
	// greetMost is how often a sidecar that starts asks the endpoint beside it, greetEvery
	// the pause between, and greetWait how long one question waits.
	greetMost  = 4
	greetEvery = 300 * time.Millisecond
	greetWait  = 700 * time.Millisecond
	// greetSlots is how many requests an endpoint is given at once that did not say how
	// many it works on, until its first beat.
	greetSlots = 4
)

// greet asks the endpoint beside a sidecar that was just started whether it is well: its
// next beat may be a whole pace away, and until then nothing could be sent to it. What it
// says counts as a beat. It needs to be told where the endpoint is and which service it
// serves, and a manifest that names the path to ask.
func (s *Sidecar) greet() {
	if s.Boot.App == "" || s.Boot.Own == "" || s.Boot.Headers.Server == "" {
		return
	}
	for !s.inUse.Load() {
		if s.pause(5 * time.Millisecond); s.ended() {
			return
		}
	}
	for range greetMost {
		s.mu.Lock()
		path := s.path.Manifest().Services[s.Boot.Own].CheckPath
		known := len(s.gate.Workloads()) > 0 || s.leaving.Load()
		s.mu.Unlock()
		if known || path == "" {
			return
		}
		ret, _, d := s.ends.Do(context.Background(), s.Boot.App, exchange.Call{Method: http.MethodGet, Target: path, Host: string(s.Boot.App), Fresh: true, Until: time.Now().Add(greetWait)})
		s.Board.Add("greetings", 1)
		if b, ok := s.greeted(ret); d == nil && ok {
			s.mu.Lock()
			if known := len(s.gate.Workloads()) > 0; !known {
				now := s.clock()
				if c, d := s.gate.Take(now, b); d == nil {
					s.changed(c)
					s.endpointBeat(now, b)
				}
			}
			s.mu.Unlock()
			return
		}
		if s.pause(greetEvery); s.ended() {
			return
		}
	}
}

// greeted makes a beat of what the endpoint said; it is none unless it says that it is
// well, and who it is.
func (s *Sidecar) greeted(ret *exchange.Return) (gate.Beat, bool) {
	if ret == nil || ret.Status != http.StatusOK || first(ret.Header, s.Boot.Headers.Server) == "" {
		return gate.Beat{}, false
	}
	b := gate.Beat{Server: ident.Server(first(ret.Header, s.Boot.Headers.Server)), Service: s.Boot.Own, Addr: s.Boot.App, State: gate.Alive, Slots: greetSlots}
	if parts := strings.Split(first(ret.Header, s.Boot.Headers.LoadReport), ","); len(parts) == 3 {
		if n, err := strconv.Atoi(strings.TrimSpace(parts[2])); err == nil && n > 0 {
			b.Slots = n
		}
	}
	return b, true
}

// ended tells whether the duties end.
func (s *Sidecar) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
